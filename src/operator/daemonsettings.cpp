#include "operator/daemonsettings.h"

#include "operator/tablereader.h"

#include <fmt/format.h>
#include <optional>

namespace Kumquatpick {

namespace {

    constexpr uint64_t maxThreads = 10'000;
    constexpr uint64_t maxPeriodMs = 60'000;
    constexpr uint64_t maxTimeoutMs = 3'600'000;
    constexpr uint64_t maxRetentionS = 31'536'000; // A year.
    constexpr std::string_view nameRequirement
        = "a name of 1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit";

    struct Advertised {
        std::optional<Address> caller;
        std::optional<Address> peer;
    };

    SettingGroup nodeGroup(DaemonSettings& settings)
    {
        return { "This node",
            {
                { .flag = "name",
                    .into = &settings.name,
                    .help = "Name of this node, unique in the deployment.",
                    .required = true,
                    .accepts = isPlainName,
                    .expected = nameRequirement },
                { .flag = "zone",
                    .into = &settings.zone,
                    .help = "Availability zone of this node.",
                    .required = true,
                    .accepts = isPlainName,
                    .expected = nameRequirement },
                { .flag = "region",
                    .into = &settings.region,
                    .help = "Region of this node; empty if there is only one.",
                    .accepts = isPlainName,
                    .expected = nameRequirement },
            } };
    }

    SettingGroup addressGroup(DaemonSettings& settings, Advertised& advertised)
    {
        return { "Addresses",
            {
                { .flag = "caller-listen",
                    .into = &settings.callerListen,
                    .help = "Address to listen on for callers and operators (HTTP).",
                    .required = true },
                { .flag = "caller-advertised",
                    .into = &advertised.caller,
                    .help = "Address that callers are given for this node; defaults to --caller-listen." },
                { .flag = "peer-listen",
                    .into = &settings.peerListen,
                    .help = "Address to listen on for other nodes (Cap'n Proto).",
                    .required = true },
                { .flag = "peer-advertised",
                    .into = &advertised.peer,
                    .help = "Address that other nodes are given for this node; defaults to --peer-listen." },
            } };
    }

    SettingGroup platformGroup(DaemonSettings& settings)
    {
        return { "Platform",
            {
                { .flag = "log-service",
                    .into = &settings.logService,
                    .help = "Address of the platform's log service.",
                    .required = true },
                { .flag = "log-name",
                    .into = &settings.logName,
                    .help = "Name of the log of this deployment; each deployment needs a log of its own.",
                    .accepts = isPlainName,
                    .expected = nameRequirement },
                { .flag = "log-retention-s",
                    .into = &settings.logRetention,
                    .help
                    = "How long the log service retains a record; snapshots are appended well before records expire.",
                    .lowest = 60,
                    .highest = maxRetentionS },
                { .flag = "snapshot-every",
                    .into = &settings.snapshotEvery,
                    .help = "Number of records after which a snapshot is appended, unless one is due earlier by time.",
                    .unit = "records",
                    .lowest = 10,
                    .highest = 100'000'000 },
                { .flag = "membership",
                    .into = &settings.membership,
                    .help = "Address of the platform's membership list.",
                    .required = true },
                { .flag = "weight-store",
                    .into = &settings.weightStore,
                    .help = "Address that engines load weights from.",
                    .required = true },
            } };
    }

    SettingGroup requestGroup(DaemonSettings& settings)
    {
        return { "Requests",
            {
                { .flag = "caller-threads",
                    .into = &settings.callerThreads,
                    .help = "Threads that serve callers; each request or stream occupies one.",
                    .unit = "threads",
                    .lowest = 1,
                    .highest = maxThreads },
                { .flag = "backend-threads",
                    .into = &settings.backendThreads,
                    .help = "Threads that call backend servers; each request or stream occupies one.",
                    .unit = "threads",
                    .lowest = 1,
                    .highest = maxThreads },
                { .flag = "max-body-bytes",
                    .into = &settings.maxBodyBytes,
                    .help = "Maximum size of a request body.",
                    .unit = "bytes",
                    .lowest = 1024,
                    .highest = 1024 * 1024 * 1024 },
                { .flag = "memory-mb",
                    .into = &settings.memoryMb,
                    .help = "Memory that the daemon may use; 0: all of the host's.",
                    .unit = "MB" },
                { .flag = "max-descriptors",
                    .into = &settings.maxDescriptors,
                    .help = "Descriptors that the daemon may open; 0: as many as the system allows.",
                    .unit = "descriptors" },
                { .flag = "caller-memory-mb",
                    .into = &settings.callerMemoryMb,
                    .help = "Memory for the requests of all callers; 0: three eighths of memory-mb.",
                    .unit = "MB" },
                { .flag = "caller-connections",
                    .into = &settings.callerConnections,
                    .help = "Connections of callers; 0: three eighths of the descriptors for connections.",
                    .unit = "connections" },
                { .flag = "read-timeout-ms",
                    .into = &settings.readTimeout,
                    .help = "How long a caller may pause while sending a request.",
                    .lowest = 10,
                    .highest = maxTimeoutMs },
                { .flag = "key-retention-s",
                    .into = &settings.keyRetention,
                    .help
                    = "How long a key is remembered; a non-repeatable request with an older one gets may-have-run.",
                    .lowest = 60,
                    .highest = maxRetentionS },
                { .flag = "answer-retention-s",
                    .into = &settings.answerRetention,
                    .help = "How long a finished answer is kept for a caller that repeats the request.",
                    .lowest = 0,
                    .highest = maxRetentionS },
                { .flag = "answer-bytes",
                    .into = &settings.answerBytes,
                    .help = "Memory for all kept answers together; the oldest are evicted first.",
                    .unit = "bytes",
                    .highest = 1024ULL * 1024 * 1024 * 1024 },
            } };
    }

    SettingGroup controlGroup(DaemonSettings& settings)
    {
        return { "Control",
            {
                { .flag = "probe-period-ms",
                    .into = &settings.probePeriod,
                    .help = "Interval between probes of one backend server.",
                    .lowest = 10,
                    .highest = maxPeriodMs },
                { .flag = "probe-lifetime-ms",
                    .into = &settings.probeLifetime,
                    .help = "A host counts as missing when its latest probe answer is older than this.",
                    .lowest = 10,
                    .highest = maxPeriodMs },
                { .flag = "engine-order-timeout-ms",
                    .into = &settings.engineOrderTimeout,
                    .help = "How long an engine may take to answer an order.",
                    .lowest = 10,
                    .highest = maxTimeoutMs },
                { .flag = "gossip-period-ms",
                    .into = &settings.gossipPeriod,
                    .help = "Interval between gossip exchanges with other nodes.",
                    .lowest = 10,
                    .highest = maxPeriodMs },
                { .flag = "lease-ms",
                    .into = &settings.lease,
                    .help = "Duration of the controller's lease; another node takes over when it has expired.",
                    .lowest = 5'000,
                    .highest = maxTimeoutMs },
            } };
    }

    SettingGroup processGroup(DaemonSettings& settings)
    {
        return { "Process",
            {
                { .flag = "stop-timeout-s",
                    .into = &settings.stopTimeout,
                    .help = "How long a planned stop waits for requests in flight; 0 waits without a limit.",
                    .highest = maxRetentionS },
                { .flag = "trace-file",
                    .into = &settings.traceFile,
                    .help = "File that spans are appended to as OTLP JSON lines; empty for no traces." },
                { .flag = "log-level",
                    .into = &settings.logLevel,
                    .help = "Minimum level of the log lines on standard error." },
            } };
    }

    SettingsParser parserFor(DaemonSettings& settings, Advertised& advertised)
    {
        return { { "kumquatpickd", "one entry node of kumquatpick" },
            { nodeGroup(settings), addressGroup(settings, advertised), platformGroup(settings), requestGroup(settings),
                controlGroup(settings), processGroup(settings) } };
    }

    bool isAnyAddress(const Address& address) { return address.ip == "0.0.0.0" || address.ip == "::"; }

    // An advertised address must be one that others can connect to.
    void resolveAdvertised(std::string_view kind, const std::optional<Address>& configured, const Address& listen,
        Address& into, std::vector<std::string>& faults)
    {
        into = configured.value_or(listen);
        if (isAnyAddress(into))
            faults.push_back(
                fmt::format("--{0}-advertised: required when --{0}-listen is {1}, as others cannot connect to {1}",
                    kind, listen.ip));
        else if (configured && configured->port == 0)
            faults.push_back(fmt::format("--{}-advertised: the port must be above 0", kind));
    }

    std::vector<std::string> resolveAndCheck(DaemonSettings& settings, const Advertised& advertised)
    {
        std::vector<std::string> faults;
        resolveAdvertised("caller", advertised.caller, settings.callerListen, settings.callerAdvertised, faults);
        resolveAdvertised("peer", advertised.peer, settings.peerListen, settings.peerAdvertised, faults);
        if (settings.callerListen == settings.peerListen && settings.callerListen.port != 0)
            faults.emplace_back("--peer-listen: must differ from --caller-listen");
        if (settings.probeLifetime < 2 * settings.probePeriod)
            faults.emplace_back("--probe-lifetime-ms: must be at least twice --probe-period-ms, or a single lost "
                                "probe makes a replica unavailable");
        if (settings.answerRetention > settings.keyRetention)
            faults.emplace_back("--answer-retention-s: must be at most --key-retention-s, as an answer is looked up by "
                                "its key");
        return faults;
    }

}

std::variant<DaemonSettings, SettingsExit> parseDaemonSettings(
    std::span<const std::string> arguments, const Environment& environment)
{
    DaemonSettings settings;
    Advertised advertised;
    SettingsParser parser = parserFor(settings, advertised);
    if (auto exit = parser.parse(arguments, environment))
        return *exit;
    if (auto faults = resolveAndCheck(settings, advertised); !faults.empty())
        return parser.faults(faults);
    return settings;
}

DaemonSettingsHelp daemonSettingsHelp()
{
    DaemonSettings settings;
    Advertised advertised;
    SettingsParser parser = parserFor(settings, advertised);
    DaemonSettingsHelp help;
    help.text = parser.help();
    for (const SettingGroup& group : parser.groups()) {
        for (const Setting& setting : group.settings) {
            help.flags.push_back(fmt::format("--{}", setting.flag));
            help.variables.push_back(setting.environmentVariable());
        }
    }
    return help;
}

} // namespace Kumquatpick
