#include "membership/snapshot.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    Address parseAddress(const std::string& text)
    {
        auto parsed = settle([&] { return Address::parse(text); });
        if (const Error* error = std::get_if<Error>(&parsed))
            throw std::invalid_argument(error->detail);
        return std::get<0>(parsed);
    }

    uint64_t parseIncarnation(const std::string& text)
    {
        uint64_t value = 0;
        constexpr int hexadecimal = 16;
        auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        if (text.empty() || code != std::errc() || end != text.data() + text.size())
            throw std::invalid_argument("not a hexadecimal incarnation number: " + text);
        return value;
    }

    // An unknown state counts as leaving: the host is alive but gets no new work.
    bool isLeaving(const json& host) { return host.at("state").get<std::string>() != "live"; }

    ListedHost parseBackend(const json& host)
    {
        ListedHost backend;
        host.at("host").get_to(backend.host);
        backend.address = parseAddress(host.at("address").get<std::string>());
        backend.zone = host.value("zone", "");
        backend.domain = host.value("domain", "");
        backend.service = host.value("service", "");
        backend.incarnation = parseIncarnation(host.at("incarnation").get<std::string>());
        backend.leaving = isLeaving(host);
        return backend;
    }

    ListedNode parseEntry(const json& host)
    {
        ListedNode entry;
        host.at("host").get_to(entry.node.id.name);
        // Optional in the list; nodes learn the incarnations of their peers by gossip.
        if (host.contains("incarnation"))
            entry.node.id.incarnation = parseIncarnation(host.at("incarnation").get<std::string>());
        entry.node.zone = host.value("zone", "");
        entry.node.callerAddress = parseAddress(host.at("address").get<std::string>());
        entry.node.peerAddress = parseAddress(host.at("peer_address").get<std::string>());
        entry.leaving = isLeaving(host);
        return entry;
    }

    MembershipSnapshot parseSnapshot(const json& page, MonotonicTime readAt)
    {
        MembershipSnapshot snapshot;
        page.at("revision").get_to(snapshot.revision);
        snapshot.readAt = readAt;
        std::set<std::string> names;
        for (const json& host : page.at("hosts")) {
            auto name = host.at("host").get<std::string>();
            if (!names.insert(name).second)
                throw std::invalid_argument("host is listed twice: " + name);
            auto role = host.at("role").get<std::string>();
            if (role == "backend")
                snapshot.backends.push_back(parseBackend(host));
            else if (role == "entry")
                snapshot.entries.push_back(parseEntry(host));
        }
        return snapshot;
    }

}

Result<MembershipSnapshot> parseMembership(std::string_view text, MonotonicTime readAt)
{
    try {
        return parseSnapshot(json::parse(text), readAt);
    } catch (const std::exception& fault) {
        return fail({ ErrorCode::Malformed, Step::MembershipRead, {}, fault.what() });
    }
}

} // namespace Kumquatpick
