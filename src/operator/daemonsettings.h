#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "base/logline.h"
#include "base/settings.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Kumquatpick {

// Command-line settings of the daemon. docs/CONFIGURATION.md describes each setting.
struct DaemonSettings {
    std::string name;
    std::string zone;
    std::string region;

    Address callerListen;
    Address callerAdvertised; // Defaults to callerListen.
    Address peerListen;
    Address peerAdvertised; // Defaults to peerListen.

    Address logService;
    std::string logName = "kumquatpick";
    Address membership;
    Address weightStore;

    uint64_t callerThreads = 512;
    uint64_t backendThreads = 512;
    uint64_t maxBodyBytes = 1024 * 1024;
    uint64_t memoryMb = 0; // That the daemon may use; 0: all of the host's.
    uint64_t maxDescriptors = 0; // That it may open; 0: as many as the system allows.
    uint64_t callerMemoryMb = 0; // For all callers' connections; 0: a share of memoryMb.
    uint64_t callerConnections = 0; // 0: a share of maxDescriptors.
    Milliseconds readTimeout { 30'000 };

    Milliseconds probePeriod { 1000 };
    Milliseconds probeLifetime { 3000 };
    Milliseconds engineOrderTimeout { 5000 };
    Milliseconds gossipPeriod { 500 };
    Milliseconds lease { 10'000 };

    std::chrono::seconds keyRetention { 3600 };
    std::chrono::seconds answerRetention { 600 };
    uint64_t answerBytes = 64 * 1024 * 1024; // Total size of all kept answers.
    std::chrono::seconds logRetention { 86'400 }; // How long the log service retains a record.
    uint64_t snapshotEvery = 10'000; // In records.

    std::chrono::seconds stopTimeout { 0 }; // 0: waits for all requests in flight, without a limit.
    std::string traceFile; // Empty: no traces.
    LogLevel logLevel = LogLevel::Info;
};

// The arguments don't include the program name.
std::variant<DaemonSettings, SettingsExit> parseDaemonSettings(
    std::span<const std::string> arguments, const Environment& = processEnvironment);

// All flags and the text of `--help`, used to check that the documentation is complete.
struct DaemonSettingsHelp {
    std::vector<std::string> flags; // "--name"
    std::vector<std::string> variables; // "KUMQUATPICK_NAME"
    std::string text;
};
DaemonSettingsHelp daemonSettingsHelp();

} // namespace Kumquatpick
