#pragma once

namespace Kumquatpick {

// What decides in which order engines admit a call; all that is known of it when it is sent.
struct CallStanding {
    bool hasBegun = false; // Its caller reads the answer already, or a broken replica had it.
    bool cameBack = false; // It was refused before; a caller comes back once.
    int rank = 0; // Of its team or route, 0 first.
};

// 0 goes first, 9 last.
int callPriority(const CallStanding&);

} // namespace Kumquatpick
