#pragma once

#include "base/settings.h"

#include <csignal>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

using Arguments = std::span<const std::string>;

// Flags only: variables meant for a daemon in the same environment must not turn a stand-in.
// Ends the process on help and on faulty flags.
void parseFlags(std::string_view program, std::string_view purpose, std::vector<Setting>, Arguments);

// Parts separated by commas.
std::vector<std::string> splitList(const std::string&);

sigset_t terminationSignals();

} // namespace Kumquatpick
