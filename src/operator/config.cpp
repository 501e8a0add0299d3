#include "operator/config.h"

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

    constexpr size_t maxServices = 1000;
    constexpr size_t maxTeams = 10'000;
    constexpr size_t maxFaults = 1000;
    constexpr NumberRange weightsBytesRange { 0, std::numeric_limits<int64_t>::max() };
    constexpr NumberRange hostsRange { 1, 1024 };
    constexpr NumberRange replicasRange { 0, 100'000 };
    constexpr NumberRange streamsRange { 1, 100'000 };
    constexpr NumberRange queueRange { 0, 1'000'000 };
    constexpr NumberRange streamLimitRange { 0, 10'000'000 };

    // Keys about loading a model or placing its hosts, which plain services do not have.
    constexpr std::string_view modelKeys[] = { "model", "model_version", "weights_bytes", "hosts_per_replica",
        "fencing", "group_downtime_weight", "stranded_weight" };

    using Faults = std::vector<ConfigFault>;

    // toml++ creates a nested table for each part of a dotted key and frees them recursively, so a line with a million
    // dots would overflow the stack. The limit on the line length bounds the depth.
    std::optional<ConfigFault> findSizeFault(std::string_view text)
    {
        if (text.size() > maxConfigBytes)
            return ConfigFault { 1, 1, "", fmt::format("a configuration of at most {} bytes", maxConfigBytes) };
        uint32_t line = 1;
        while (!text.empty()) {
            size_t length = std::min(text.find('\n'), text.size());
            if (length > maxConfigLineBytes)
                return ConfigFault { line, static_cast<uint32_t>(maxConfigLineBytes), "",
                    fmt::format("lines of at most {} bytes", maxConfigLineBytes) };
            text.remove_prefix(std::min(length + 1, text.size()));
            ++line;
        }
        return std::nullopt;
    }

    void readDeployment(TableReader& reader, OperatorConfig& into)
    {
        reader.readName("name", into.deployment, Presence::Required);
        reader.readNames("zones", into.zones, Presence::Required);
    }

    void readModelKeys(TableReader& reader, ServiceConfig& service)
    {
        bool ignoresFencing = false;
        reader.readName("model", service.model, Presence::Required);
        reader.readName("model_version", service.modelVersion, Presence::Required);
        reader.readNumber("weights_bytes", service.weightsBytes, weightsBytesRange, Presence::Optional);
        reader.readNumber("hosts_per_replica", service.hostsPerReplica, hostsRange, Presence::Optional);
        reader.readChoice("fencing", "checked", "ignored", ignoresFencing);
        reader.readWeight("group_downtime_weight", service.groupDowntimeWeight);
        reader.readWeight("stranded_weight", service.strandedWeight);
        service.fencing = ignoresFencing ? FencingSupport::Ignored : FencingSupport::Checked;
    }

    ServiceConfig readService(TableReader& reader)
    {
        ServiceConfig service;
        bool isPlain = false;
        reader.readName("name", service.name, Presence::Required);
        reader.readChoice("kind", "model", "plain", isPlain);
        reader.readNumber("replicas", service.replicas, replicasRange, Presence::Required);
        reader.readNames("depends_on", service.dependsOn, Presence::Optional);
        reader.readNumber("streams_per_replica", service.streamsPerReplica, streamsRange, Presence::Optional);
        reader.readNumber("queue_limit", service.queueLimit, queueRange, Presence::Optional);
        service.kind = isPlain ? ServiceKind::Plain : ServiceKind::Model;
        if (!isPlain)
            readModelKeys(reader, service);
        else
            for (std::string_view key : modelKeys)
                reader.rejectKey(key, "this key only in a service with kind = \"model\"");
        return service;
    }

    TeamConfig readTeam(TableReader& reader)
    {
        TeamConfig team;
        reader.readName("name", team.name, Presence::Required);
        reader.readShare("share", team.share);
        reader.readNumber("stream_limit", team.streamLimit, streamLimitRange, Presence::Optional);
        return team;
    }

    // Reports entries whose name was used before.
    class UniqueNames {
    public:
        void add(const std::string& name, TableReader& reader)
        {
            if (!name.empty() && !m_seen.emplace(name, true).second)
                reader.addFault("name", fmt::format("each name once; '{}' is there already", name));
        }

    private:
        std::map<std::string, bool> m_seen;
    };

    // Calls a function with each table of an array such as [[service]].
    template <typename Use>
    void forEachTable(const toml::table& root, std::string_view key, size_t maxCount, Faults& faults, Use&& use)
    {
        const toml::node* node = root.get(key);
        if (!node)
            return;
        const toml::array* array = node->as_array();
        if (!array || array->size() > maxCount) {
            std::string expected = fmt::format("tables [[{}]], at most {}", key, maxCount);
            faults.push_back(makeFault(node->source(), std::string(key), std::move(expected)));
            return;
        }
        for (size_t i = 0; i < array->size(); ++i) {
            std::string path = fmt::format("{}[{}]", key, i);
            const toml::node& element = (*array)[i];
            if (const toml::table* table = element.as_table())
                use(*table, path);
            else
                faults.push_back(makeFault(element.source(), path, fmt::format("a table [[{}]]", key)));
        }
    }

    void checkDependencies(const std::vector<ServiceConfig>& services, std::vector<TableReader>& readers)
    {
        for (const DependencyFault& fault : dependencyFaults(services))
            readers[fault.service].addElementFault("depends_on", fault.index, fault.expected);
    }

    OperatorConfig readRoot(const toml::table& root, Faults& faults)
    {
        OperatorConfig text;
        const toml::table empty;
        const toml::table* deployment = root["deployment"].as_table();
        if (!deployment)
            faults.push_back({ 1, 1, "deployment", "a table [deployment] with name and zones" });
        TableReader deploymentReader(deployment ? *deployment : empty, "deployment", faults);
        if (deployment) {
            readDeployment(deploymentReader, text);
            if (text.zones.empty() && deployment->contains("zones") && deployment->get("zones")->is_array())
                deploymentReader.addFault("zones", "at least one zone");
            deploymentReader.reportUnknownKeys();
        }

        std::vector<TableReader> serviceReaders;
        UniqueNames serviceNames;
        forEachTable(root, "service", maxServices, faults, [&](const toml::table& table, const std::string& path) {
            TableReader& reader = serviceReaders.emplace_back(table, path, faults);
            text.services.push_back(readService(reader));
            serviceNames.add(text.services.back().name, reader);
            reader.reportUnknownKeys();
        });
        checkDependencies(text.services, serviceReaders);

        UniqueNames teamNames;
        forEachTable(root, "team", maxTeams, faults, [&](const toml::table& table, const std::string& path) {
            TableReader reader(table, path, faults);
            text.teams.push_back(readTeam(reader));
            teamNames.add(text.teams.back().name, reader);
            reader.reportUnknownKeys();
        });

        TableReader rootReader(root, "", faults);
        for (std::string_view key : { "deployment", "service", "team" })
            rootReader.markKnown(key);
        rootReader.reportUnknownKeys();
        return text;
    }

    // Sorts the faults by position and limits their number, so that the list stays readable.
    void sortAndLimit(Faults& faults)
    {
        std::ranges::stable_sort(
            faults, {}, [](const ConfigFault& fault) { return std::tuple(fault.line, fault.column); });
        if (faults.size() <= maxFaults)
            return;
        size_t omitted = faults.size() - maxFaults;
        faults.resize(maxFaults);
        faults.push_back(
            { faults.back().line, faults.back().column, "", fmt::format("no further faults; {} more", omitted) });
    }

    std::variant<OperatorConfig, Faults> parseTables(std::string_view toml)
    {
        Faults faults;
        const toml::table root = toml::parse(toml);
        OperatorConfig text = readRoot(root, faults);
        if (faults.empty())
            return text;
        sortAndLimit(faults);
        return faults;
    }

}

const ServiceConfig* OperatorConfig::service(std::string_view name) const
{
    auto found = std::ranges::find(services, name, &ServiceConfig::name);
    return found == services.end() ? nullptr : &*found;
}

const TeamConfig* OperatorConfig::team(std::string_view name) const
{
    auto found = std::ranges::find(teams, name, &TeamConfig::name);
    return found == teams.end() ? nullptr : &*found;
}

std::string ConfigFault::describe(std::string_view file) const
{
    return fmt::format("{}:{}:{}: {}{}expected {}", file, line, column, key, key.empty() ? "" : ": ", expected);
}

std::variant<OperatorConfig, std::vector<ConfigFault>> parseOperatorConfig(std::string_view toml)
{
    if (auto fault = findSizeFault(toml))
        return Faults { *fault };
    try {
        return parseTables(toml);
    } catch (const toml::parse_error& error) {
        return Faults { makeFault(error.source(), "", fmt::format("TOML: {}", error.description())) };
    } catch (const std::exception& error) {
        return Faults { { 1, 1, "", fmt::format("a readable configuration: {}", error.what()) } };
    }
}

} // namespace Kumquatpick
