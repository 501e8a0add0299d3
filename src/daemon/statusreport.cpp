#include "daemon/statusreport.h"

#include "backend/directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Kumquatpick {

namespace {

    using Json = nlohmann::json;

    Json replicaReport(const ReplicaView& view)
    {
        Json report { { "replica", view.replica }, { "zone", view.zone }, { "domain", view.domain },
            { "claim", view.claim }, { "hosts", view.hosts }, { "serving", view.reason == NotServing::No } };
        if (view.reason != NotServing::No) {
            report["reason"] = name(view.reason);
            report["blamed_host"] = view.blamedHost;
        }
        return report;
    }

    Json serviceReport(const ServiceConfig& service, std::span<const ReplicaView> views)
    {
        Json replicas = Json::array();
        uint32_t serving = 0;
        for (const auto& view : views) {
            replicas.push_back(replicaReport(view));
            serving += view.reason == NotServing::No;
        }
        return { { "service", service.name }, { "kind", service.kind == ServiceKind::Model ? "model" : "plain" },
            { "wanted", service.replicas }, { "serving", serving }, { "replicas", std::move(replicas) } };
    }

    Json nodesReport(std::span<const NodeStatus> nodes)
    {
        Json report = Json::array();
        for (const auto& node : nodes)
            report.push_back({ { "node", node.name }, { "zone", node.zone }, { "config_version", node.configVersion },
                { "stopping", node.stopping } });
        return report;
    }

    // Healthy model hosts that belong to no replica while some model service has fewer serving replicas than wanted.
    Json strandedHosts(const StatusInput& input, const std::set<std::string>& hostsInUse, bool hasMissingReplicas)
    {
        Json stranded = Json::array();
        if (!hasMissingReplicas)
            return stranded;
        for (const auto& host : input.directory.listed()) {
            bool isHealthy = !host.leaving && input.directory.status(host.host).has_value();
            if (host.service.empty() && isHealthy && !hostsInUse.contains(host.host))
                stranded.push_back(host.host);
        }
        return stranded;
    }

}

nlohmann::json statusReport(const StatusInput& input)
{
    Json services = Json::array();
    std::set<std::string> hostsInUse;
    bool hasMissingReplicas = false;
    for (const auto& view : input.directory.replicas(input.now))
        hostsInUse.insert(view.hosts.begin(), view.hosts.end());
    if (input.text) {
        for (const auto& service : input.text->services) {
            auto views = input.directory.replicas(service.name, input.now);
            auto report = serviceReport(service, views);
            hasMissingReplicas
                = hasMissingReplicas || (service.kind == ServiceKind::Model && report["serving"] < service.replicas);
            services.push_back(std::move(report));
        }
    }
    return { { "node", input.self.id.name }, { "config_version", input.configVersion },
        { "log_offset", input.logOffset }, { "log_reachable", input.logReachable }, { "controller", input.holdsLease },
        { "services", std::move(services) }, { "nodes", nodesReport(input.nodes) },
        { "stranded_hosts", strandedHosts(input, hostsInUse, hasMissingReplicas) } };
}

} // namespace Kumquatpick
