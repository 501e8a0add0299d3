#include "operator/text.h"

#include "operator/dependencies.h"
#include "operator/tablereader.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <optional>
#include <tuple>

namespace Kumquatpick {

namespace {

    constexpr size_t mostServices = 1000;
    constexpr size_t mostTeams = 10'000;
    constexpr size_t mostFaults = 1000;
    constexpr NumberRange weightsBytesRange { 0, std::numeric_limits<int64_t>::max() };
    constexpr NumberRange hostsRange { 1, 1024 };
    constexpr NumberRange replicasRange { 0, 100'000 };
    constexpr NumberRange streamsRange { 1, 100'000 };
    constexpr NumberRange queueRange { 0, 1'000'000 };
    constexpr NumberRange streamLimitRange { 0, 10'000'000 };

    // Keys about loading a model or placing its hosts, which plain services do not have.
    constexpr std::string_view modelOnlyKeys[] = { "model", "model_version", "weights_bytes", "hosts_per_replica",
        "fencing", "group_downtime_weight", "stranded_weight" };

    using Faults = std::vector<TextFault>;

    // toml++ creates a nested table for each part of a dotted key and frees them recursively, so a line with a million
    // dots would overflow the stack. The limit on the line length bounds the depth.
    std::optional<TextFault> tooLarge(std::string_view text)
    {
        if (text.size() > longestOperatorsText)
            return TextFault { 1, 1, "", fmt::format("a configuration of at most {} bytes", longestOperatorsText) };
        uint32_t line = 1;
        while (!text.empty()) {
            size_t length = std::min(text.find('\n'), text.size());
            if (length > longestOperatorsLine)
                return TextFault { line, static_cast<uint32_t>(longestOperatorsLine), "",
                    fmt::format("lines of at most {} bytes", longestOperatorsLine) };
            text.remove_prefix(std::min(length + 1, text.size()));
            ++line;
        }
        return std::nullopt;
    }

    void readDeployment(TableReader& reader, OperatorsText& into)
    {
        reader.name("name", into.deployment, Presence::Required);
        reader.names("zones", into.zones, Presence::Required);
    }

    void readModelKeys(TableReader& reader, ServiceText& service)
    {
        bool ignoresFencing = false;
        reader.name("model", service.model, Presence::Required);
        reader.name("model_version", service.modelVersion, Presence::Required);
        reader.number("weights_bytes", service.weightsBytes, weightsBytesRange, Presence::Optional);
        reader.number("hosts_per_replica", service.hostsPerReplica, hostsRange, Presence::Optional);
        reader.choice("fencing", "checked", "ignored", ignoresFencing);
        reader.weight("group_downtime_weight", service.groupDowntimeWeight);
        reader.weight("stranded_weight", service.strandedWeight);
        service.fencing = ignoresFencing ? FencingSupport::Ignored : FencingSupport::Checked;
    }

    ServiceText readService(TableReader& reader)
    {
        ServiceText service;
        bool isPlain = false;
        reader.name("name", service.name, Presence::Required);
        reader.choice("kind", "model", "plain", isPlain);
        reader.number("replicas", service.replicas, replicasRange, Presence::Required);
        reader.names("depends_on", service.dependsOn, Presence::Optional);
        reader.number("streams_per_replica", service.streamsPerReplica, streamsRange, Presence::Optional);
        reader.number("queue_limit", service.queueLimit, queueRange, Presence::Optional);
        service.kind = isPlain ? ServiceKind::Plain : ServiceKind::Model;
        if (!isPlain)
            readModelKeys(reader, service);
        else
            for (std::string_view key : modelOnlyKeys)
                reader.refuse(key, "this key only in a service with kind = \"model\"");
        return service;
    }

    TeamText readTeam(TableReader& reader)
    {
        TeamText team;
        reader.name("name", team.name, Presence::Required);
        reader.share("share", team.share);
        reader.number("stream_limit", team.streamLimit, streamLimitRange, Presence::Optional);
        return team;
    }

    // Reports entries whose name was used before.
    class UniqueNames {
    public:
        void add(const std::string& name, TableReader& reader)
        {
            if (!name.empty() && !m_seen.emplace(name, true).second)
                reader.faultAt("name", fmt::format("each name once; '{}' is there already", name));
        }

    private:
        std::map<std::string, bool> m_seen;
    };

    // Calls a function with each table of an array such as [[service]].
    template <typename Use>
    void forEachTable(const toml::table& root, std::string_view key, size_t most, Faults& faults, Use&& use)
    {
        const toml::node* node = root.get(key);
        if (!node)
            return;
        const toml::array* array = node->as_array();
        if (!array || array->size() > most) {
            std::string expected = fmt::format("tables [[{}]], at most {}", key, most);
            faults.push_back(faultAt(node->source(), std::string(key), std::move(expected)));
            return;
        }
        for (size_t i = 0; i < array->size(); ++i) {
            std::string path = fmt::format("{}[{}]", key, i);
            const toml::node& element = (*array)[i];
            if (const toml::table* table = element.as_table())
                use(*table, path);
            else
                faults.push_back(faultAt(element.source(), path, fmt::format("a table [[{}]]", key)));
        }
    }

    void checkDependencies(const std::vector<ServiceText>& services, std::vector<TableReader>& readers)
    {
        for (const DependencyFault& fault : dependencyFaults(services))
            readers[fault.service].faultAtElement("depends_on", fault.index, fault.expected);
    }

    OperatorsText readRoot(const toml::table& root, Faults& faults)
    {
        OperatorsText text;
        const toml::table empty;
        const toml::table* deployment = root["deployment"].as_table();
        if (!deployment)
            faults.push_back({ 1, 1, "deployment", "a table [deployment] with name and zones" });
        TableReader deploymentReader(deployment ? *deployment : empty, "deployment", faults);
        if (deployment) {
            readDeployment(deploymentReader, text);
            if (text.zones.empty() && deployment->contains("zones") && deployment->get("zones")->is_array())
                deploymentReader.faultAt("zones", "at least one zone");
            deploymentReader.finish();
        }

        std::vector<TableReader> serviceReaders;
        UniqueNames serviceNames;
        forEachTable(root, "service", mostServices, faults, [&](const toml::table& table, const std::string& path) {
            TableReader& reader = serviceReaders.emplace_back(table, path, faults);
            text.services.push_back(readService(reader));
            serviceNames.add(text.services.back().name, reader);
            reader.finish();
        });
        checkDependencies(text.services, serviceReaders);

        UniqueNames teamNames;
        forEachTable(root, "team", mostTeams, faults, [&](const toml::table& table, const std::string& path) {
            TableReader reader(table, path, faults);
            text.teams.push_back(readTeam(reader));
            teamNames.add(text.teams.back().name, reader);
            reader.finish();
        });

        TableReader rootReader(root, "", faults);
        for (std::string_view key : { "deployment", "service", "team" })
            rootReader.expect(key);
        rootReader.finish();
        return text;
    }

    // Sorts the faults by position and limits their number, so that the list stays readable.
    void arrange(Faults& faults)
    {
        std::ranges::stable_sort(
            faults, {}, [](const TextFault& fault) { return std::tuple(fault.line, fault.column); });
        if (faults.size() <= mostFaults)
            return;
        size_t more = faults.size() - mostFaults;
        faults.resize(mostFaults);
        faults.push_back(
            { faults.back().line, faults.back().column, "", fmt::format("no further faults; {} more", more) });
    }

    std::variant<OperatorsText, Faults> parseTables(std::string_view toml)
    {
        Faults faults;
        const toml::table root = toml::parse(toml);
        OperatorsText text = readRoot(root, faults);
        if (faults.empty())
            return text;
        arrange(faults);
        return faults;
    }

}

const ServiceText* OperatorsText::service(std::string_view name) const
{
    auto found = std::ranges::find(services, name, &ServiceText::name);
    return found == services.end() ? nullptr : &*found;
}

const TeamText* OperatorsText::team(std::string_view name) const
{
    auto found = std::ranges::find(teams, name, &TeamText::name);
    return found == teams.end() ? nullptr : &*found;
}

std::string TextFault::describe(std::string_view file) const
{
    return fmt::format("{}:{}:{}: {}{}expected {}", file, line, column, key, key.empty() ? "" : ": ", expected);
}

std::variant<OperatorsText, std::vector<TextFault>> parseOperatorsText(std::string_view toml)
{
    if (auto fault = tooLarge(toml))
        return Faults { *fault };
    try {
        return parseTables(toml);
    } catch (const toml::parse_error& error) {
        return Faults { faultAt(error.source(), "", fmt::format("TOML: {}", error.description())) };
    } catch (const std::exception& error) {
        return Faults { { 1, 1, "", fmt::format("a readable configuration: {}", error.what()) } };
    }
}

} // namespace Kumquatpick
