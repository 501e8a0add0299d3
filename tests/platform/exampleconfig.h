#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Kumquatpick {

inline nlohmann::json exampleRoute(const char* prefix, const char* type, const char* service)
{
    return { { "name", prefix }, { "host", "desk.example" }, { "pathPrefix", prefix }, { "type", type },
        { "timeoutMs", 4000 }, { "targetLatencyMs", 400 }, { "priority", 1 }, { "service", service },
        { "maxAttempts", 2 }, { "streamResume", true } };
}

// A configuration with a service of models, whose replicas have two hosts each, and a plain service.
inline nlohmann::json exampleConfig(int version, const std::vector<std::string>& keys)
{
    using nlohmann::json;
    json model { { "name", "pair" }, { "size", 2 }, { "fraction", 1.0 }, { "pace", 1.0 }, { "loadS", 0.1 },
        { "warmS", 0.1 } };
    json runtime { { "capacity", 4 }, { "modelList", { model } }, { "loadsPerS", 50 }, { "loads_at_once", 7 } };
    return { { "version", version },
        { "routes",
            { exampleRoute("/story/", "streaming", "writers"), exampleRoute("/once/", "non_idempotent", "desk"),
                exampleRoute("/again/", "idempotent", "desk") } },
        { "services",
            { { { "name", "writers" }, { "healthCheck", "/h" }, { "runtime", runtime } },
                { { "name", "desk" }, { "healthCheck", "/h" } } } },
        { "limits",
            { { "maxHeaderBytes", 4096 }, { "maxBodyBytes", 1000 }, { "headerTimeoutMs", 300 },
                { "idleTimeoutMs", 5000 } } },
        { "tenants", { { { "name", "coaches" }, { "apiKeys", keys } } } } };
}

} // namespace Kumquatpick
