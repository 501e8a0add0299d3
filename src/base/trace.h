#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// W3C Trace Context, as sent in the `traceparent` header.
struct TraceContext {
    std::string traceId; // 32 lower-case hexadecimal digits.
    std::string spanId; // 16 lower-case hexadecimal digits.
    bool sampled = true;

    // Parses a traceparent header; std::nullopt if it is invalid (the caller then starts a new trace).
    static std::optional<TraceContext> parse(std::string_view header);
    static TraceContext fresh(Random&);

    TraceContext child(Random&) const;
    std::string header() const;
};

// One step of one request: accept, permit, dispatch, stream, ...
struct Span {
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    std::string peer;
    WallTime start;
    WallTime end;
    bool failed = false;
};

// Writes finished spans as OTLP JSON, one ExportTraceServiceRequest per line, to a file, or discards them.
class TraceExporter {
public:
    // An empty path switches export off.
    TraceExporter(std::string path, std::string serviceName);
    ~TraceExporter();

    void write(const Span&);

private:
    std::mutex m_mutex;
    std::string m_serviceName;
    int m_file = -1;
};

} // namespace Kumquatpick
