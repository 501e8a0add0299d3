#include "caller/requesttrace.h"

#include <nlohmann/json.hpp>

namespace Kumquatpick {

namespace {

    double milliseconds(std::chrono::nanoseconds time) { return toSeconds(time) * 1000; }

}

RequestTrace::RequestTrace(
    std::string requestId, const std::optional<TraceContext>& parent, TraceExporter& exporter, Random& random)
    : m_requestId(std::move(requestId))
    , m_exporter(exporter)
    , m_arrivedAt(monotonicNow())
{
    m_root.context = parent ? parent->child(random) : TraceContext::fresh(random);
    m_root.parentSpanId = parent ? parent->spanId : "";
    m_root.name = "accept";
    m_root.start = wallNow();
}

void RequestTrace::addField(std::string_view field, std::string value)
{
    std::lock_guard lock(m_mutex);
    m_fields.emplace_back(field, std::move(value));
}

void RequestTrace::finish(std::string_view outcome, std::string_view type, bool failed)
{
    addField("outcome", std::string(outcome));
    if (!type.empty())
        addField("type", std::string(type));
    m_root.end = wallNow();
    m_root.failed = failed;
    m_exporter.write(m_root);
}

nlohmann::json RequestTrace::toJson() const
{
    std::lock_guard lock(m_mutex);
    nlohmann::json steps = nlohmann::json::array();
    for (const Entry& entry : m_entries) {
        steps.push_back({ { "step", entry.hop }, { "peer", entry.peer }, { "detail", entry.detail },
            { "at_ms", milliseconds(entry.at) }, { "took_ms", milliseconds(entry.duration) },
            { "failed", entry.failed } });
    }
    nlohmann::json result { { "request_id", m_requestId }, { "arrived_ms", m_root.start.time_since_epoch().count() },
        { "steps", std::move(steps) } };
    for (const auto& [field, value] : m_fields)
        result[field] = value;
    return result;
}

void RequestTrace::add(const Span& span, std::string detail, MonotonicTime startedAt)
{
    m_exporter.write(span);
    std::lock_guard lock(m_mutex);
    m_entries.push_back(
        { span.name, span.peer, std::move(detail), startedAt - m_arrivedAt, monotonicNow() - startedAt, span.failed });
}

RequestTrace::Hop::Hop(RequestTrace& trace, Random& random, std::string_view name)
    : m_trace(trace)
    , m_startedAt(monotonicNow())
{
    m_span.context = trace.m_root.context.child(random);
    m_span.parentSpanId = trace.m_root.context.spanId;
    m_span.name = name;
    m_span.start = wallNow();
}

RequestTrace::Hop::~Hop()
{
    m_span.end = wallNow();
    m_trace.add(m_span, std::move(m_detail), m_startedAt);
}

void RequestTrace::Hop::end(std::string detail, bool failed)
{
    m_detail = std::move(detail);
    m_span.failed = failed;
}

} // namespace Kumquatpick
