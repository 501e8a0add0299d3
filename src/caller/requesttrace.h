#pragma once

#include "base/trace.h"

#include <functional>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// The trace of a request at this node, with one entry and one span for each hop. Written by the thread that serves the
// request, read by others for /v1/explain.
class RequestTrace {
public:
    // Starts a new trace if there is no parent.
    RequestTrace(std::string requestId, const std::optional<TraceContext>& parent, TraceExporter&, Random&);

    const std::string& requestId() const { return m_requestId; }
    // The span of the whole request, for the response.
    std::string traceparent() const { return m_root.context.header(); }
    void addField(std::string_view field, std::string value);
    void finish(std::string_view outcome, std::string_view type, bool failed);

    nlohmann::json toJson() const;

    // One hop, timed from its construction to its destruction.
    class Hop {
    public:
        Hop(RequestTrace&, Random&, std::string_view name);
        ~Hop();
        Hop(const Hop&) = delete;
        Hop& operator=(const Hop&) = delete;

        void setPeer(std::string peer) { m_span.peer = std::move(peer); }
        // Sets the result of the hop, as a short text.
        void end(std::string detail, bool failed = false);
        // The span of the hop, for the request to the peer.
        std::string traceparent() const { return m_span.context.header(); }

    private:
        RequestTrace& m_trace;
        Span m_span;
        std::string m_detail;
        MonotonicTime m_startedAt;
    };

private:
    struct Entry {
        std::string hop;
        std::string peer;
        std::string detail;
        std::chrono::nanoseconds at {}; // Time since the request arrived.
        std::chrono::nanoseconds duration {};
        bool failed = false;
    };

    void add(const Span&, std::string detail, MonotonicTime startedAt);

    std::string m_requestId;
    TraceExporter& m_exporter;
    MonotonicTime m_arrivedAt;
    Span m_root;
    mutable std::mutex m_mutex;
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::vector<Entry> m_entries;
};

} // namespace Kumquatpick
