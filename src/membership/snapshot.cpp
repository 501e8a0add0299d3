#include "membership/snapshot.h"

#include "base/documentparts.h"
#include "base/documentreader.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <set>
#include <string>

namespace Kumquatpick {

namespace {

    constexpr DocumentLimits fieldLimits { 4 << 10, 4, 100 };

    Error notAList(std::string detail) { return { ErrorCode::Malformed, Step::MembershipRead, {}, std::move(detail) }; }

    Address addressFrom(const DocumentReader& field)
    {
        std::string text(field.text());
        auto parsed = settle([&] { return Address::parse(text); });
        const auto* address = std::get_if<Address>(&parsed);
        if (address && address->port != 0)
            return *address;
        field.reject("an address");
        return {};
    }

    uint64_t incarnationFrom(const DocumentReader& field)
    {
        std::string_view text = field.text();
        uint64_t value = 0;
        constexpr int hexadecimal = 16;
        auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        if (text.empty() || code != std::errc() || end != text.data() + text.size())
            field.reject("a hexadecimal incarnation number");
        return value;
    }

    // An unknown state counts as leaving: the host is alive but gets no new work.
    bool isLeaving(const DocumentReader& host) { return host["state"].text() != "live"; }

    ListedHost backendFrom(const DocumentReader& host)
    {
        ListedHost backend;
        backend.host = host["host"].name();
        backend.address = addressFrom(host["address"]);
        backend.zone = host["zone"].text("");
        backend.domain = host["domain"].text("");
        backend.service = host["service"].text("");
        backend.incarnation = incarnationFrom(host["incarnation"]);
        backend.leaving = isLeaving(host);
        return backend;
    }

    ListedNode nodeFrom(const DocumentReader& host)
    {
        ListedNode entry;
        entry.node.id.name = host["host"].name();
        // Optional in the list; nodes learn the incarnations of their peers by gossip.
        if (host["incarnation"].exists())
            entry.node.id.incarnation = incarnationFrom(host["incarnation"]);
        entry.node.zone = host["zone"].text("");
        entry.node.callerAddress = addressFrom(host["address"]);
        entry.node.peerAddress = addressFrom(host["peer_address"]);
        entry.leaving = isLeaving(host);
        return entry;
    }

    // Reads a list host by host: what is odd about one of them costs the others nothing.
    class ListReader {
    public:
        explicit ListReader(const MembershipSnapshot* last)
            : m_last(last)
        {
        }

        void add(const nlohmann::json& host)
        {
            DocumentReader::Problem problem;
            std::string name(DocumentReader(host, problem)["host"].name());
            if (problem.isFound()) {
                m_hasNameless = true;
                return report({}, problem.text);
            }
            if (!m_names.insert(name).second)
                return markUnreadable(name, "it is listed twice");
            addNamed(DocumentReader(host, problem));
            if (problem.isFound())
                markUnreadable(name, problem.text);
        }

        Settled<MembershipSnapshot> finish(MembershipSnapshot snapshot)
        {
            if (m_hasNameless && !m_last)
                return notAList("an entry does not say which host it is about");
            std::erase_if(m_backends, [&](const auto& host) { return m_unreadable.contains(host.host); });
            std::erase_if(m_entries, [&](const auto& entry) { return m_unreadable.contains(entry.node.id.name); });
            if (m_last)
                keepLast();
            listAsUnknown();
            snapshot.backends = std::move(m_backends);
            snapshot.entries = std::move(m_entries);
            snapshot.problems = std::move(m_problems);
            return snapshot;
        }

    private:
        void addNamed(const DocumentReader& host)
        {
            std::string_view role = host["role"].text();
            if (role == "backend")
                m_backends.push_back(backendFrom(host));
            else if (role == "entry")
                m_entries.push_back(nodeFrom(host));
        }

        void markUnreadable(const std::string& name, std::string_view why)
        {
            m_unreadable.insert(name);
            report(name, why);
        }

        void report(std::string_view name, std::string_view why)
        {
            constexpr size_t mostReports = 3; // Enough to find the writer.
            if (m_problems.size() < mostReports)
                m_problems.push_back(fmt::format("'{}': {}", name, why));
        }

        // A host whose entry can't be read stays listed as before. An entry without a name may be any host's: then no
        // absence proves anything.
        void keepLast()
        {
            auto isKept = [&](const std::string& name) {
                bool isAbsent = !m_names.contains(name);
                return m_unreadable.contains(name) || (m_hasNameless && isAbsent);
            };
            auto keep = [&](const auto& name, const auto& host, auto& kept) {
                if (!isKept(name))
                    return;
                kept.push_back(host);
                m_known.insert(name);
            };
            for (const ListedHost& host : m_last->backends)
                keep(host.host, host, m_backends);
            for (const ListedNode& entry : m_last->entries)
                keep(entry.node.id.name, entry, m_entries);
        }

        // Nothing is known of these but that they exist.
        void listAsUnknown()
        {
            for (const std::string& name : m_unreadable) {
                if (m_known.contains(name))
                    continue;
                m_backends.push_back({ name, {}, {}, {}, {}, 0, true });
                m_entries.push_back({ { { name, 0 }, {}, {}, {} }, true });
            }
        }

        const MembershipSnapshot* m_last;
        std::set<std::string> m_names;
        std::set<std::string> m_unreadable;
        std::set<std::string> m_known; // Unreadable, but with an entry from before.
        bool m_hasNameless = false;
        std::vector<std::string> m_problems;
        std::vector<ListedHost> m_backends;
        std::vector<ListedNode> m_entries;
    };

    // The entries' text; the other fields go into the head.
    std::optional<std::vector<std::string_view>> splitList(std::string_view text, nlohmann::json& head)
    {
        auto fields = jsonFields(text);
        std::optional<std::vector<std::string_view>> entries;
        if (!fields)
            return entries;
        for (const auto& [name, value] : *fields) {
            if (name == "\"hosts\"")
                entries = jsonElements(value);
            else if (name == "\"revision\"")
                head = decodeFields(fmt::format("{{{}:{}}}", name, value), fieldLimits, Step::MembershipRead)
                           .value_or(head);
        }
        return entries;
    }

    Settled<MembershipSnapshot> readList(std::string_view text, MonotonicTime readAt, const MembershipSnapshot* last)
    {
        nlohmann::json head = nlohmann::json::object();
        auto entries = splitList(text, head);
        if (!entries)
            return notAList("not a list of hosts");
        DocumentReader::Problem problem;
        MembershipSnapshot snapshot;
        snapshot.revision = DocumentReader(head, problem)["revision"].integer(UINT64_MAX);
        snapshot.readAt = readAt;
        if (problem.isFound())
            return notAList(problem.text);
        ListReader reader(last);
        for (std::string_view entry : *entries) {
            auto host = decodeFields(entry, fieldLimits, Step::MembershipRead);
            reader.add(host ? *host : nlohmann::json());
        }
        return reader.finish(std::move(snapshot));
    }

}

Result<MembershipSnapshot> parseMembership(std::string_view text, MonotonicTime readAt, const MembershipSnapshot* last)
{
    auto list = readList(text, readAt, last);
    if (auto* error = std::get_if<Error>(&list))
        return fail(std::move(*error));
    return std::get<0>(std::move(list));
}

} // namespace Kumquatpick
