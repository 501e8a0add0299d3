#include "base/logline.h"

#include "base/clock.h"

#include <atomic>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    std::atomic<LogLevel> lowestLevel { LogLevel::Info };

    constexpr std::string_view levelNames[] = { "debug", "info", "warning", "error" };

    std::string timestamp()
    {
        auto now = wallNow();
        auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
            (now - seconds).count());
    }

}

void setLogLevel(LogLevel level) { lowestLevel = level; }

void logLine(LogLevel level, std::string_view message, const nlohmann::json& fields)
{
    if (level < lowestLevel.load())
        return;
    nlohmann::json line = fields.is_object() ? fields : nlohmann::json::object();
    line["time"] = timestamp();
    line["level"] = levelNames[static_cast<size_t>(level)];
    line["message"] = message;
    // stderr is unbuffered, so one call per line keeps the lines of several threads from interleaving.
    std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    std::fwrite(text.data(), 1, text.size(), stderr);
}

void logLine(LogLevel level, std::string_view message) { logLine(level, message, nlohmann::json::object()); }

void logError(std::string_view message, const Error& error)
{
    logLine(LogLevel::Warning, message,
        { { "step", name(error.step) }, { "peer", error.peer }, { "code", name(error.code) },
            { "detail", error.detail } });
}

} // namespace Kumquatpick
