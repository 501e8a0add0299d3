#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Kumquatpick {

enum class RunPhase : uint8_t {
    Started,
    Finished,
    Cancelled,
};

std::string_view name(RunPhase);

// One run of a request at a backend server, as its headers name it.
struct Run {
    std::string key;
    std::string request;
    uint64_t attempt = 0; // 0 if the headers don't tell.
    uint64_t promptHash = 0;
};

// A backend server's own record of what it ran. Each line goes to the file, if there is one, before the
// call returns: a process that is killed in the middle of a run has recorded its start.
class RunLog {
public:
    // An empty path keeps the record in memory alone.
    RunLog(std::string host, const std::string& path);
    ~RunLog();
    RunLog(const RunLog&) = delete;
    RunLog& operator=(const RunLog&) = delete;

    void add(const Run&, RunPhase);
    nlohmann::json all() const;

private:
    struct Line {
        Run run;
        RunPhase phase;
        WallTime at;
    };

    nlohmann::json toJson(const Line&) const;

    std::string m_host;
    int m_file = -1;
    mutable std::mutex m_mutex;
    std::deque<Line> m_lines;
};

} // namespace Kumquatpick
