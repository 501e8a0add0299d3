#include "standin/roles.h"

#include "standin/engine.h"
#include "standin/logservice.h"
#include "standin/membershiplist.h"
#include "standin/plainservice.h"
#include "standin/registration.h"
#include "standin/weightstore.h"

#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    using RegisterHost = std::function<std::unique_ptr<Registration>(const Address&)>;

    // Says where it listens, then waits for the end. Open streams are not waited for: the process just ends.
    int serve(StandinServer& server, const Address& listen, const RegisterHost& registerAt)
    {
        auto started = settle([&] { return server.start(listen); });
        const Address* address = std::get_if<Address>(&started);
        if (!address) {
            fmt::print(stderr, "{}\n", describe(std::get<Error>(started)));
            return exitFailed;
        }
        std::unique_ptr<Registration> registration = registerAt(*address);
        fmt::print("{{\"listening\":\"{}\"}}\n", address->toString());
        std::fflush(stdout);
        sigset_t signals = terminationSignals();
        int signal = 0;
        sigwait(&signals, &signal);
        _exit(exitOk);
    }

    int serve(StandinServer& server, const Address& listen)
    {
        return serve(server, listen, [](const Address&) { return std::unique_ptr<Registration>(); });
    }

    const Address anyLocalPort { "127.0.0.1", 0 };

    Setting listenFlag(Address& listen)
    {
        return { .flag = "listen", .into = &listen, .help = "Where to listen; port 0 takes a free one." };
    }

    // What an engine and a plain service have in common.
    struct HostFlags {
        std::string host = "h1";
        std::string zone = "zone-1";
        std::string domain = "domain-1";
        Address listen = anyLocalPort;
        std::optional<Address> membership;
        std::string crashOn;
        std::string record;

        std::vector<Setting> settings()
        {
            return {
                listenFlag(listen),
                { .flag = "host", .into = &host, .help = "Name of the host." },
                { .flag = "zone", .into = &zone, .help = "Its availability zone." },
                { .flag = "domain", .into = &domain, .help = "Its fabric domain." },
                { .flag = "membership", .into = &membership, .help = "Membership list to register with." },
                { .flag = "crash-on", .into = &crashOn, .help = "A request with these bytes ends the process." },
                { .flag = "record", .into = &record, .help = "File to which runs are appended." },
            };
        }

        std::unique_ptr<Registration> registerAt(
            const Address& address, const std::string& service, const std::string& incarnation) const
        {
            if (!membership)
                return nullptr;
            nlohmann::json entry = {
                { "host", host },
                { "role", "backend" },
                { "address", address.toString() },
                { "zone", zone },
                { "domain", domain },
                { "service", service },
                { "incarnation", incarnation },
                { "state", "live" },
            };
            return std::make_unique<Registration>(*membership, host, entry.dump());
        }
    };

    constexpr std::array<std::string_view, 2> fencingChoices { "checked", "ignored" };

    // Shares are given in percent.
    double shareOf(uint64_t percent) { return static_cast<double>(percent) / 100; }

}

int runLog(Arguments arguments)
{
    Address listen = anyLocalPort;
    Milliseconds retention { 0 };
    parseFlags("kumquatpick-standin log", "the platform's log service",
        {
            listenFlag(listen),
            { .flag = "retention-ms", .into = &retention, .help = "How long records are kept; 0 is for ever." },
        },
        arguments);
    LogService service(retention);
    return serve(service.server(), listen);
}

int runMembership(Arguments arguments)
{
    Address listen = anyLocalPort;
    MembershipSettings settings;
    parseFlags("kumquatpick-standin membership", "the platform's membership list",
        {
            listenFlag(listen),
            { .flag = "lag-ms", .into = &settings.lag, .help = "From a change to its showing in the list." },
            { .flag = "dead-after-ms",
                .into = &settings.deadAfter,
                .help = "Silence after which a host is taken out." },
            { .flag = "probe-ms", .into = &settings.probePeriod, .help = "Between probes of a host.", .lowest = 1 },
        },
        arguments);
    MembershipList list(settings);
    return serve(list.server(), listen);
}

int runWeights(Arguments arguments)
{
    Address listen = anyLocalPort;
    uint64_t bytesPerSecond = 100'000'000;
    parseFlags("kumquatpick-standin weights", "the platform's weight store",
        {
            listenFlag(listen),
            { .flag = "bytes-per-second",
                .into = &bytesPerSecond,
                .help = "For all readers together.",
                .unit = "bytes",
                .lowest = 1 },
        },
        arguments);
    WeightStore store(bytesPerSecond);
    return serve(store.server(), listen);
}

int runEngine(Arguments arguments)
{
    HostFlags common;
    EngineSettings engine;
    std::string fencing = "checked";
    uint64_t streams = engine.streams;
    uint64_t slowdownPercent = 0;
    uint64_t gapPercent = 0;
    std::vector<Setting> flags = common.settings();
    flags.insert(flags.end(),
        {
            { .flag = "fencing",
                .into = &fencing,
                .help = "Whether orders with an old fencing number are refused.",
                .choices = fencingChoices },
            { .flag = "token-ms", .into = &engine.tokenTime, .help = "Time of one token." },
            { .flag = "prefill-ms", .into = &engine.prefillTime, .help = "Time of 1 KiB of prompt not cached." },
            { .flag = "streams", .into = &streams, .help = "Runs at once; more are refused.", .lowest = 1 },
            { .flag = "batch-slowdown-percent",
                .into = &slowdownPercent,
                .help = "How much longer a token takes in a full batch." },
            { .flag = "cache-bytes",
                .into = &engine.cache.bytes,
                .help = "Size of the prefix cache.",
                .unit = "bytes" },
            { .flag = "cache-event-lag-ms", .into = &engine.cache.eventLag, .help = "Lag of cache events." },
            { .flag = "cache-event-gap-percent",
                .into = &gapPercent,
                .help = "Share of cache events at which the earlier ones are lost.",
                .highest = 100 },
            { .flag = "report-lag-ms", .into = &engine.reportLag, .help = "Greatest age of load reports." },
            { .flag = "peer-probe-ms",
                .into = &engine.peerProbePeriod,
                .help = "Between looks at the replica's other hosts.",
                .lowest = 1 },
        });
    parseFlags("kumquatpick-standin engine", "one host's model engine", std::move(flags), arguments);
    engine.host = common.host;
    engine.checksFencing = fencing == "checked";
    engine.streams = static_cast<uint32_t>(streams);
    engine.batchSlowdown = shareOf(slowdownPercent);
    engine.cache.eventGap = shareOf(gapPercent);
    engine.crashMarker = common.crashOn;
    engine.recordPath = common.record;
    Engine server(engine);
    return serve(server.server(), common.listen,
        [&](const Address& address) { return common.registerAt(address, "", server.incarnation()); });
}

int runPlain(Arguments arguments)
{
    HostFlags common;
    PlainSettings plain;
    plain.service = "plain";
    uint64_t calls = plain.calls;
    std::vector<Setting> flags = common.settings();
    flags.insert(flags.end(),
        {
            { .flag = "service", .into = &plain.service, .help = "Name of the service." },
            { .flag = "call-ms", .into = &plain.callTime, .help = "Time of one call." },
            { .flag = "calls", .into = &calls, .help = "Calls at once; more are refused.", .lowest = 1 },
        });
    parseFlags("kumquatpick-standin plain", "one host's plain service", std::move(flags), arguments);
    plain.host = common.host;
    plain.calls = static_cast<uint32_t>(calls);
    plain.crashMarker = common.crashOn;
    plain.recordPath = common.record;
    PlainService server(plain);
    return serve(server.server(), common.listen,
        [&](const Address& address) { return common.registerAt(address, plain.service, server.incarnation()); });
}

} // namespace Kumquatpick
