#include "base/allocator.h"
#include "base/logline.h"
#include "daemon/daemon.h"

#include <csignal>
#include <fmt/format.h>

namespace {

using namespace Kumquatpick;

constexpr int exitFailed = 1;
constexpr int exitRequestsAborted = 3; // The stop timeout expired with requests still in flight.

// Blocks the stop signals in every thread, so that only sigwait() receives them. SIGPIPE is ignored, as writes to
// a broken connection return an error.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runDaemon(const DaemonSettings& settings)
{
    constexpr size_t largeBytes = 128 * 1024; // Each of the many threads has a heap of its own.
    returnLargeBlocks(largeBytes);
    sigset_t signals = blockSignals();
    setLogLevel(settings.logLevel);
    auto started = settle([&] { return Daemon::start(settings); });
    if (auto* error = std::get_if<Error>(&started)) {
        logError("failed to start", *error);
        return exitFailed;
    }
    auto& daemon = *std::get<std::unique_ptr<Daemon>>(started);
    fmt::print("{{\"listening\":\"{}\",\"peer\":\"{}\"}}\n", daemon.callerAddress().toString(),
        daemon.peerAddress().toString());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&signals, &signal);
    return daemon.stop() ? 0 : exitRequestsAborted;
}

}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    auto parsed = parseDaemonSettings(arguments);
    if (auto* exit = std::get_if<SettingsExit>(&parsed)) {
        fmt::print(exit->code == 0 ? stdout : stderr, "{}", exit->text);
        return exit->code;
    }
    return runDaemon(std::get<DaemonSettings>(parsed));
}
