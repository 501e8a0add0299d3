#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// How long the latest complete answers of each route took, to tell whether another call can end in a given time. The
// caller passes the durations in.
class AnswerTimes {
public:
    void record(std::string_view route, MonotonicTime::duration);
    // The longest of the latest answers; nothing while there are too few to tell.
    std::optional<MonotonicTime::duration> usualDuration(std::string_view route) const;

private:
    static constexpr size_t kept = 64;

    struct Latest {
        std::array<MonotonicTime::duration, kept> durations {};
        size_t recorded = 0;
    };

    std::map<std::string, Latest, std::less<>> m_routes;
};

} // namespace Kumquatpick
