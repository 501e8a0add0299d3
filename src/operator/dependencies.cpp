#include "operator/dependencies.h"

#include "operator/config.h"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <string_view>

namespace Kumquatpick {

namespace {

    constexpr std::ptrdiff_t maxShownServices = 8; // In services, to keep the message readable.

    enum class Visit : uint8_t {
        NotYet,
        OnPath, // Its dependencies are being visited.
        Done,
    };

    // Depth-first search: an edge to a service that is still on the path closes a cycle.
    class CycleSearch {
    public:
        explicit CycleSearch(std::span<const ServiceConfig> services)
            : m_services(services)
            , m_visits(services.size(), Visit::NotYet)
        {
            for (size_t i = 0; i < services.size(); ++i)
                m_indexes.emplace(services[i].name, i);
        }

        std::vector<DependencyFault> run()
        {
            for (size_t i = 0; i < m_services.size(); ++i)
                if (m_visits[i] == Visit::NotYet)
                    visit(i);
            return std::move(m_faults);
        }

    private:
        // The recursion depth is bounded by the maximum number of services in a configuration.
        void visit(size_t service)
        {
            m_visits[service] = Visit::OnPath;
            m_path.push_back(service);
            const auto& dependsOn = m_services[service].dependsOn;
            for (size_t i = 0; i < dependsOn.size(); ++i)
                if (!dependsOn[i].empty())
                    visitDependency(service, i);
            m_path.pop_back();
            m_visits[service] = Visit::Done;
        }

        void visitDependency(size_t service, size_t index)
        {
            const std::string& target = m_services[service].dependsOn[index];
            auto found = m_indexes.find(target);
            if (found == m_indexes.end())
                m_faults.push_back(
                    { service, index, fmt::format("a service of this configuration; there is no '{}'", target) });
            else if (m_visits[found->second] == Visit::OnPath)
                m_faults.push_back({ service, index, fmt::format("no cycle: {}", describeCycle(found->second)) });
            else if (m_visits[found->second] == Visit::NotYet)
                visit(found->second);
        }

        std::string describeCycle(size_t service) const
        {
            auto begin = std::ranges::find(m_path, service);
            auto end = std::next(begin, std::min<std::ptrdiff_t>(m_path.end() - begin, maxShownServices));
            std::string cycle;
            for (auto i = begin; i != end; ++i)
                cycle += m_services[*i].name + " -> ";
            if (end != m_path.end())
                cycle += "... -> ";
            return cycle + m_services[service].name;
        }

        std::span<const ServiceConfig> m_services;
        std::vector<Visit> m_visits;
        std::map<std::string_view, size_t> m_indexes;
        std::vector<size_t> m_path;
        std::vector<DependencyFault> m_faults;
    };

}

std::vector<DependencyFault> dependencyFaults(std::span<const ServiceConfig> services)
{
    return CycleSearch(services).run();
}

} // namespace Kumquatpick
