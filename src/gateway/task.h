#pragma once

#include "gateway/eventlog.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>

namespace Kumquatpick {

// Handlers for the end of a task that was started with co_spawn(). An exception ends a task without a trace unless it
// is logged.

inline void logTaskFailure(EventLog& log, std::string_view task, const std::exception_ptr& exception)
{
    if (!exception)
        return;
    std::string problem = "not a standard exception";
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception& error) {
        problem = error.what();
    } catch (...) {
        // Logged below.
    }
    log.write("task_failed", { { "task", task }, { "problem", problem } });
    log.flush();
}

inline auto loggingFailure(EventLog& log, std::string_view task)
{
    return [&log, task](const std::exception_ptr& exception) { logTaskFailure(log, task, exception); };
}

} // namespace Kumquatpick
