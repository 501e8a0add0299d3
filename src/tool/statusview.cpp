#include "tool/statusview.h"

#include "tool/table.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    using Json = nlohmann::json;

    StatusView::Replica readReplica(const Json& json)
    {
        return { json.at("replica"), json.value("zone", ""), json.value("domain", ""),
            json.value("hosts", std::vector<std::string>()), json.at("serving"), json.value("reason", ""),
            json.value("blamed_host", "") };
    }

    StatusView::Service readService(const Json& json)
    {
        StatusView::Service service { json.at("service"), json.at("wanted"), json.at("serving"), {} };
        for (const Json& replica : json.at("replicas"))
            service.replicas.push_back(readReplica(replica));
        return service;
    }

    StatusView::Node readNode(const Json& json)
    {
        return { json.at("node"), json.value("zone", ""), json.at("config_version"), json.value("stopping", false) };
    }

    StatusView readView(const Json& json)
    {
        StatusView view;
        view.node = json.at("node");
        view.configVersion = json.at("config_version");
        view.logOffset = json.value("log_offset", uint64_t(0));
        view.logReachable = json.value("log_reachable", false);
        for (const Json& service : json.at("services"))
            view.services.push_back(readService(service));
        for (const Json& node : json.at("nodes"))
            view.nodes.push_back(readNode(node));
        view.strandedHosts = json.value("stranded_hosts", std::vector<std::string>());
        return view;
    }

    uint64_t newestVersion(const StatusView& view)
    {
        uint64_t newest = view.configVersion;
        for (const StatusView::Node& node : view.nodes)
            newest = std::max(newest, node.configVersion);
        return newest;
    }

    std::string formatServices(const StatusView& view)
    {
        std::vector<TableRow> rows;
        for (const StatusView::Service& service : view.services)
            rows.push_back({ service.service, std::to_string(service.wanted), std::to_string(service.serving) });
        return formatTable({ "SERVICE", "WANTED", "SERVING" }, rows);
    }

    std::string formatReplicas(const StatusView& view, bool all)
    {
        std::vector<TableRow> rows;
        for (const StatusView::Service& service : view.services)
            for (const StatusView::Replica& replica : service.replicas)
                if (all || !replica.serving)
                    rows.push_back({ service.service, replica.replica, replica.zone, replica.domain,
                        replica.serving ? "serving" : replica.reason, replica.blamedHost,
                        fmt::format("{}", fmt::join(replica.hosts, " ")) });
        return formatTable({ "SERVICE", "REPLICA", "ZONE", "DOMAIN", "STATE", "BECAUSE OF", "HOSTS" }, rows);
    }

    std::string formatNodes(const StatusView& view)
    {
        std::vector<TableRow> rows;
        for (const StatusView::Node& node : view.nodes)
            rows.push_back(
                { node.node, node.zone, std::to_string(node.configVersion), node.stopping ? "stopping" : "" });
        return formatTable({ "NODE", "ZONE", "VERSION", "STATE" }, rows);
    }

}

Result<StatusView> StatusView::read(const nlohmann::json& json)
{
    try {
        return readView(json);
    } catch (const Json::exception& error) {
        return fail(Error { ErrorCode::Malformed, Step::Parse, {}, error.what() });
    }
}

std::vector<std::string> StatusView::mismatches(uint64_t leastVersion) const
{
    std::vector<std::string> found;
    if (configVersion == 0)
        found.emplace_back("no text is in force");
    uint64_t needed = std::max(newestVersion(*this), leastVersion);
    if (configVersion < needed)
        found.push_back(fmt::format("node {} has version {}, not {}", node, configVersion, needed));
    for (const Node& other : nodes)
        if (!other.stopping && other.node != node && other.configVersion < needed)
            found.push_back(fmt::format("node {} has version {}, not {}", other.node, other.configVersion, needed));
    for (const Service& service : services)
        if (service.serving != service.wanted)
            found.push_back(fmt::format("{}: {} wanted, {} serving", service.service, service.wanted, service.serving));
    return found;
}

std::string formatStatus(const StatusView& view, uint64_t leastVersion, bool allReplicas)
{
    std::string text = fmt::format("node {}: version {}, log offset {}, log {}\n", view.node, view.configVersion,
        view.logOffset, view.logReachable ? "reachable" : "NOT REACHABLE");
    std::vector<std::string> mismatches = view.mismatches(leastVersion);
    text += mismatches.empty() ? "reality matches the text\n" : "reality does not match the text:\n";
    for (const std::string& mismatch : mismatches)
        text += fmt::format("  {}\n", mismatch);
    for (const std::string& table : { formatServices(view), formatReplicas(view, allReplicas), formatNodes(view) })
        if (!table.empty())
            text += "\n" + table;
    if (!view.strandedHosts.empty())
        text += fmt::format("\nstranded hosts: {}\n", fmt::join(view.strandedHosts, " "));
    return text;
}

} // namespace Kumquatpick
