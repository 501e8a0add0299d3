#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Review {

inline nlohmann::json route(const std::string& name, const std::string& type, const std::string& service)
{
    return { { "name", name }, { "host", "desk.example" }, { "pathPrefix", "/" + name + "/" }, { "type", type },
        { "timeoutMs", 1500 }, { "targetLatencyMs", 100 }, { "priority", 2 }, { "service", service },
        { "maxAttempts", 2 }, { "public", true } };
}

inline nlohmann::json plainService(const std::string& name)
{
    return { { "name", name }, { "healthCheck", "/healthz" } };
}

// Groups of two replicas; the times are those of a small deployment's smaller model.
inline nlohmann::json modelService(const std::string& name)
{
    nlohmann::json model { { "name", "pair" }, { "size", 2 }, { "fraction", 1.0 }, { "pace", 0.6 }, { "loadS", 12.0 },
        { "warmS", 1.1 } };
    nlohmann::json runtime { { "capacity", 17 }, { "modelList", { model } }, { "loadsPerS", 5.0 },
        { "loads_at_once", 7 }, { "step_ms", 7.8 }, { "per_seq_ms", 0.0947 }, { "read_per_s", 45900.0 },
        { "context_per_k", 0.0096 }, { "stride", 5 }, { "report_lag_ms", 200 },
        { "usual", { { "prompt", 674 }, { "answer", 50 } } } };
    return { { "name", name }, { "healthCheck", "/healthz" }, { "runtime", runtime } };
}

inline nlohmann::json config(int version, std::vector<nlohmann::json> routes, std::vector<nlohmann::json> services)
{
    return { { "version", version }, { "routes", std::move(routes) }, { "services", std::move(services) },
        { "limits",
            { { "maxHeaderBytes", 8192 }, { "maxBodyBytes", 1048576 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } };
}

} // namespace Review
