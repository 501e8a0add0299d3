#include "standin/entrychoices.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds askTimeout { 1000 };
    constexpr Milliseconds unansweredLifetime { 1000 };
    constexpr int ok = 200;

    std::optional<Address> addressIn(const nlohmann::json& entry)
    {
        std::string text = entry.value("address", "");
        auto parsed = settle([&] { return Address::parse(text); });
        if (const Address* address = std::get_if<Address>(&parsed))
            return *address;
        return std::nullopt;
    }

} // namespace

EntryChoices::EntryChoices(const LoadSettings& settings, uint32_t caller)
    : m_settings(settings)
    , m_caller("caller-" + std::to_string(caller))
{
}

const Address& EntryChoices::current(LoadConnections& connections)
{
    if (m_settings.direct)
        return *m_settings.direct;
    if (monotonicNow() >= m_validUntil)
        refresh(connections);
    return m_choices[m_current % m_choices.size()];
}

const Address& EntryChoices::another(LoadConnections& connections)
{
    current(connections);
    return m_choices[(m_current + 1) % m_choices.size()];
}

void EntryChoices::moveOn() { ++m_current; }

std::optional<std::string> EntryChoices::mintedKey(LoadConnections& connections, const std::string& service)
{
    Address node = current(connections);
    nlohmann::json body = { { "service", service }, { "count", 1 } };
    httplib::Result result = connections.to(node, askTimeout).Post("/v1/keys", body.dump(), "application/json");
    if (!result) {
        connections.drop(node);
        moveOn();
        return std::nullopt;
    }
    nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    if (result->status != ok || !answer.is_object() || !answer.contains("keys") || answer["keys"].empty())
        return std::nullopt;
    return answer["keys"][0].get<std::string>();
}

void EntryChoices::refresh(LoadConnections& connections)
{
    m_current = 0;
    for (const Address& node : m_settings.nodes) {
        if (askFor(connections, node))
            return;
    }
    m_choices = m_settings.nodes;
    m_validUntil = monotonicNow() + unansweredLifetime;
}

bool EntryChoices::askFor(LoadConnections& connections, const Address& node)
{
    httplib::Result result
        = connections.to(node, askTimeout).Get("/v1/entries?zone=" + m_settings.zone + "&caller=" + m_caller);
    if (!result) {
        connections.drop(node);
        return false;
    }
    nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    if (result->status != ok || !answer.is_object() || !answer.contains("entries"))
        return false;
    std::vector<Address> choices;
    for (const nlohmann::json& entry : answer["entries"]) {
        if (std::optional<Address> address = addressIn(entry))
            choices.push_back(*address);
    }
    if (choices.empty())
        return false;
    m_choices = std::move(choices);
    m_validUntil = monotonicNow() + Milliseconds(answer.value("ttl_ms", 0));
    return true;
}

} // namespace Kumquatpick
