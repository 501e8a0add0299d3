#include "gateway/settings.h"

#include "fleet/hostlimits.h"
#include "fleet/mechanism.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Kumquatpick {

namespace {

    // Share of a small entry host; if no node has the setting, all are treated alike.
    constexpr double defaultCpuShare = 0.25;
    constexpr double maxCpuShare = 1024;
    constexpr Milliseconds usualHostReadPause { 400 };
    constexpr Milliseconds maxHostReadPause { 800 };
    constexpr Milliseconds minMaxListAge { 1000 };

    std::optional<double> readCpuShare(std::string_view text)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isShare = error == std::errc {} && end == text.data() + text.size() && value > 0 && value <= maxCpuShare;
        return isShare ? std::optional(value) : std::nullopt;
    }

    constexpr std::array<std::string_view, 2> trueOrFalse { "true", "false" };

    bool areAddresses(std::string_view list)
    {
        while (!list.empty()) {
            std::string_view item = list.substr(0, list.find(','));
            list.remove_prefix(std::min(list.size(), item.size() + 1));
            auto parsed = settle([&] { return Address::parse(item); });
            if (std::holds_alternative<Error>(parsed))
                return false;
        }
        return true;
    }

    bool isRatio(std::string_view text)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc {} && end == text.data() + text.size() && value >= 0 && std::isfinite(value);
    }

    bool areMechanisms(std::string_view list) { return DisabledMechanisms::parse(list).has_value(); }

    std::vector<SettingGroup> groups(GatewaySettings& s)
    {
        return {
            { "Identity",
                {
                    { "name", &s.name, "name of this node", true },
                    { "zone", &s.zone, "availability zone of this node", true },
                    { "cpu-share", &s.cpuShare,
                        "share of one core that this node may use; nodes with larger shares perform duties for the "
                        "others" },
                } },
            { "Addresses",
                {
                    { "caller-listen", &s.callers, "where callers send requests", true },
                    { "readiness-listen", &s.readiness, "readiness checks and metrics", true },
                    { "entries-listen", &s.entries, "where callers request the list of nodes", true },
                    { "peer-listen", &s.peers, "where other nodes send requests", true },
                    { .flag = "seeds",
                        .into = &s.seeds,
                        .help = "peer addresses of some nodes, separated by commas",
                        .accepts = areAddresses,
                        .expected = "addresses such as 10.0.0.7:7101, separated by commas" },
                    { "store", &s.store, "the platform's store", true },
                    { .flag = "first-start",
                        .into = &s.firstStart,
                        .help = "whether all nodes start now, and for the first time",
                        .choices = trueOrFalse },
                } },
            { "Limits",
                {
                    { .flag = "stop-grace-s",
                        .into = &s.stopGrace,
                        .help = "from SIGTERM until the process is killed",
                        .unit = "seconds",
                        .fraction = Fraction::RoundedDown,
                        .scale = 1000 },
                    { .flag = "config-within-ms",
                        .into = &s.configWithin,
                        .help = "from the acceptance of a configuration until it must be in force here",
                        .lowest = 100,
                        .fraction = Fraction::RoundedDown },
                    { .flag = "leave-within-ms",
                        .into = &s.leaveWithin,
                        .help = "from the acceptance of a host's leaving until no node sends it work",
                        .lowest = 100,
                        .fraction = Fraction::RoundedDown },
                    { .flag = "evacuate-within-ms",
                        .into = &s.evacuateWithin,
                        .help = "from the request to evacuate a zone until its servers get nothing new",
                        .lowest = 100,
                        .fraction = Fraction::RoundedDown },
                    { .flag = "heartbeat-ms",
                        .into = &s.heartbeat,
                        .help = "time between two writes of a host's entry",
                        .lowest = 1,
                        .fraction = Fraction::RoundedUp },
                    { .flag = "entries-lifetime-ms",
                        .into = &s.entriesLifetime,
                        .help = "how long callers may use a list of nodes",
                        .lowest = 100 },
                    { .flag = "retry-ratio",
                        .into = &s.retryRatio,
                        .help = "retries allowed, as a share of the requests sent",
                        .accepts = isRatio,
                        .expected = "a number, at least 0" },
                    { .flag = "retry-window-s",
                        .into = &s.retryWindow,
                        .help = "time window of the retry ratio",
                        .lowest = 1,
                        .fraction = Fraction::RoundedUp },
                    { .flag = "retry-allowance",
                        .into = &s.retryAllowance,
                        .help = "additional retries that the fleet may make in each window",
                        .unit = "requests",
                        .fraction = Fraction::RoundedDown },
                    { .flag = "warmup-overrun",
                        .into = &s.warmupOverrun,
                        .help = "what a cold server takes in a second, as a multiple of its rate",
                        .accepts = isRatio,
                        .expected = "a number, at least 0" },
                    { .flag = "warmup-allowance",
                        .into = &s.warmupAllowance,
                        .help = "requests that a cold server takes in a second beyond that",
                        .unit = "requests",
                        .fraction = Fraction::RoundedDown },
                    { .flag = "queue-per-replica",
                        .into = &s.queuePerReplica,
                        .help = "requests that may queue at a replica beyond its slots",
                        .unit = "requests",
                        .highest = 1000 },
                } },
            { "Clients",
                {
                    { .flag = "memory-mb",
                        .into = &s.memoryMb,
                        .help = "memory that this node may use; 0: all of the host's",
                        .unit = "MB",
                        .fraction = Fraction::RoundedDown },
                    { .flag = "max-descriptors",
                        .into = &s.maxDescriptors,
                        .help = "descriptors that this node may open; 0: as many as the system allows",
                        .unit = "descriptors",
                        .fraction = Fraction::RoundedDown },
                    { .flag = "caller-memory-mb",
                        .into = &s.callerMemoryMb,
                        .help = "memory that callers may make this node hold; 0: three eighths of memory-mb",
                        .unit = "MB" },
                    { .flag = "caller-connections",
                        .into = &s.callerConnections,
                        .help = "connections of callers; 0: three eighths of the descriptors for connections",
                        .unit = "connections" },
                    { .flag = "peer-memory-mb",
                        .into = &s.peerMemoryMb,
                        .help = "memory that clients of the peer address may make this node hold; 0: an eighth of "
                                "memory-mb",
                        .unit = "MB" },
                    { .flag = "peer-connections",
                        .into = &s.peerConnections,
                        .help = "connections to the peer address; 0: an eighth of the descriptors for connections",
                        .unit = "connections" },
                    { .flag = "query-memory-mb",
                        .into = &s.queryMemoryMb,
                        .help = "memory for readiness checks, and as much again for requests for the list of nodes",
                        .unit = "MB",
                        .lowest = 1 },
                    { .flag = "query-connections",
                        .into = &s.queryConnections,
                        .help = "connections for each of them; 0: a sixteenth of the descriptors for connections",
                        .unit = "connections" },
                    { .flag = "body-period-ms",
                        .into = &s.bodyPeriod,
                        .help = "time in which the body of a request has to grow at its lowest rate, again and again",
                        .lowest = 100 },
                    { .flag = "body-bytes-per-s",
                        .into = &s.bodyBytesPerSecond,
                        .help = "lowest rate at which the body of a request has to grow",
                        .unit = "bytes",
                        .lowest = 1 },
                    { .flag = "answer-timeout-ms",
                        .into = &s.answerTimeout,
                        .help = "time for a caller to take an answer that has no deadline",
                        .lowest = 100 },
                } },
            { "Measurement",
                {
                    { .flag = "without",
                        .into = &s.disabledMechanisms,
                        .help = "mechanisms to disable, separated by commas",
                        .accepts = areMechanisms,
                        .expected
                        = fmt::format("names separated by commas, each one of {}", fmt::join(mechanismNames, ", ")) },
                } },
        };
    }

}

std::vector<Address> GatewaySettings::seedAddresses() const
{
    std::vector<Address> result;
    std::string_view list = seeds;
    while (!list.empty()) {
        std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        auto parsed = settle([&] { return Address::parse(item); });
        if (auto* address = std::get_if<Address>(&parsed))
            result.push_back(*address);
    }
    return result;
}

Milliseconds GatewaySettings::hostReadPause() const
{
    return std::min(std::min(leaveWithin, evacuateWithin) / 5, usualHostReadPause);
}

// A leaving host's record passes a reader and the node that reads from it, and both wait once.
Milliseconds GatewaySettings::quietHostReadPause() const
{
    return std::max(hostReadPause(), std::min(std::min(leaveWithin, evacuateWithin) / 8, maxHostReadPause));
}

Milliseconds GatewaySettings::maxHostListAge() const { return std::max(minMaxListAge, leaveWithin * 2 / 5); }

double GatewaySettings::cpuShareOrDefault() const { return readCpuShare(cpuShare).value_or(defaultCpuShare); }

bool GatewaySettings::isCpuShareReadable() const { return cpuShare.empty() || readCpuShare(cpuShare); }

RetryLimits GatewaySettings::retryLimits() const
{
    return { std::strtod(retryRatio.c_str(), nullptr), static_cast<double>(retryAllowance), retryWindow };
}

WarmupBound GatewaySettings::warmupBound() const
{
    return { std::strtod(warmupOverrun.c_str(), nullptr), static_cast<double>(warmupAllowance) };
}

// A call takes a connection to a backend server, too: as many remain for those, and some for the store and for peers.
ClientBudget::Limits GatewaySettings::callerBudget() const
{
    return clientLimits({ memoryMb, maxDescriptors }, { callerMemoryMb, callerConnections, 3, 6 });
}

ClientBudget::Limits GatewaySettings::peerBudget() const
{
    return clientLimits({ memoryMb, maxDescriptors }, { peerMemoryMb, peerConnections, 1, 2 });
}

ClientBudget::Limits GatewaySettings::queryBudget() const
{
    return clientLimits({ memoryMb, maxDescriptors }, { queryMemoryMb, queryConnections, 0, 1 });
}

size_t GatewaySettings::exchangeBudget() const
{
    return clientLimits({ memoryMb, maxDescriptors }, { 0, 0, 1, 0 }).bytes;
}

std::variant<GatewaySettings, SettingsExit> parseGatewaySettings(
    std::span<const std::string> arguments, const Environment& environment)
{
    GatewaySettings settings;
    SettingsParser parser(
        { "kumquatpick-gateway", "One node of the serving system on a platform with a log store." }, groups(settings));
    if (auto exit = parser.parse(arguments, environment))
        return std::move(*exit);
    return settings;
}

} // namespace Kumquatpick
