#pragma once

#include "base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Kumquatpick {

// Calls that each team asked for and got within the last seconds, to divide scarce room between teams: a team that asks
// for less than an equal share gets all of it, and the others get the same each. Not thread-safe; the caller passes the
// time in.
class TeamShares {
public:
    void recordAsked(std::string_view team, MonotonicTime now);
    void recordAdmitted(std::string_view team, MonotonicTime now);
    // Whether the team got more than its share while others are refused.
    bool isOverShare(std::string_view team, MonotonicTime now);
    // Calls that a team may get if room is short, of those of the last seconds; nothing is short if it is infinite.
    double equalShare(MonotonicTime now);

private:
    struct Use {
        double asked = 0;
        double admitted = 0;
        MonotonicTime updatedAt {};
    };

    Use& current(std::string_view team, MonotonicTime now);
    void refreshShare(MonotonicTime now);

    std::map<std::string, Use, std::less<>> m_uses;
    double m_equalShare = 0;
    MonotonicTime m_shareComputedAt {};
};

} // namespace Kumquatpick
