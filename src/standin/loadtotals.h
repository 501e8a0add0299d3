#pragma once

#include "standin/loadcall.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Kumquatpick {

// What one caller counted; merged at the end.
struct LoadTotals {
    std::map<std::string, uint64_t> finals; // Requests by their final outcome.
    std::map<std::string, uint64_t> replies; // Each sending by its outcome, and "outcome:type" if it has one.
    uint64_t requests = 0;
    uint64_t resends = 0;
    uint64_t duplicates = 0;
    uint64_t wrongAnswers = 0;
    std::vector<double> firstByteMs; // Of answered requests, from when they were due.
    std::vector<double> totalMs;

    void addReply(const LoadReply&);
    void add(const LoadTotals&);
    std::string summary(double seconds) const;
};

} // namespace Kumquatpick
