#include "base/trace.h"

#include "base/logline.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Kumquatpick {

namespace {

    using nlohmann::json;

    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t headerLength = 55; // 00-TRACE-SPAN-FLAGS
    constexpr int clientSpanKind = 3; // SPAN_KIND_CLIENT of opentelemetry.proto.trace.v1.Span.
    constexpr int internalSpanKind = 1;
    constexpr int errorStatus = 2;

    bool isLowerHex(std::string_view text)
    {
        return std::all_of(
            text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    // W3C Trace Context forbids identifiers of all zeros.
    bool isIdentity(std::string_view text)
    {
        return isLowerHex(text) && text.find_first_not_of('0') != std::string_view::npos;
    }

    std::string randomSpanId(Random& random) { return fmt::format("{:016x}", random() | 1); }

    json textAttribute(std::string_view key, std::string_view value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    // 64-bit integers are strings in the JSON form of protocol buffers.
    std::string unixNanoseconds(WallTime time)
    {
        return std::to_string(std::chrono::nanoseconds(time.time_since_epoch()).count());
    }

    json spanJson(const Span& span)
    {
        json result = { { "traceId", span.context.traceId }, { "spanId", span.context.spanId }, { "name", span.name },
            { "kind", span.peer.empty() ? internalSpanKind : clientSpanKind },
            { "startTimeUnixNano", unixNanoseconds(span.start) }, { "endTimeUnixNano", unixNanoseconds(span.end) } };
        if (!span.parentSpanId.empty())
            result["parentSpanId"] = span.parentSpanId;
        if (!span.peer.empty())
            result["attributes"] = json::array({ textAttribute("peer", span.peer) });
        if (span.failed)
            result["status"] = { { "code", errorStatus } };
        return result;
    }

    json exportRequest(const Span& span, const std::string& serviceName)
    {
        json resource = { { "attributes", json::array({ textAttribute("service.name", serviceName) }) } };
        json scopeSpans = { { "scope", { { "name", "kumquatpick" } } }, { "spans", json::array({ spanJson(span) }) } };
        json resourceSpans = { { "resource", resource }, { "scopeSpans", json::array({ scopeSpans }) } };
        return { { "resourceSpans", json::array({ resourceSpans }) } };
    }

    bool writeWhole(int file, std::string_view text)
    {
        while (!text.empty()) {
            ssize_t written = ::write(file, text.data(), text.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return false;
            text.remove_prefix(static_cast<size_t>(written));
        }
        return true;
    }

}

// Later versions may append fields; version 00 has exactly this length and version ff is invalid.
std::optional<TraceContext> TraceContext::parse(std::string_view header)
{
    if (header.size() < headerLength || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    std::string_view version = header.substr(0, 2);
    std::string_view traceId = header.substr(3, traceIdDigits);
    std::string_view spanId = header.substr(36, spanIdDigits);
    std::string_view flags = header.substr(53, 2);
    if (!isLowerHex(version) || version == "ff" || !isIdentity(traceId) || !isIdentity(spanId) || !isLowerHex(flags))
        return std::nullopt;
    bool tooLong
        = version == "00" ? header.size() > headerLength : header.size() > headerLength && header[headerLength] != '-';
    if (tooLong)
        return std::nullopt;
    bool sampled = ((flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0') & 1) != 0;
    return TraceContext { std::string(traceId), std::string(spanId), sampled };
}

TraceContext TraceContext::fresh(Random& random) { return { randomHex128(random), randomSpanId(random), true }; }

TraceContext TraceContext::child(Random& random) const { return { traceId, randomSpanId(random), sampled }; }

std::string TraceContext::header() const { return fmt::format("00-{}-{}-{}", traceId, spanId, sampled ? "01" : "00"); }

TraceExporter::TraceExporter(std::string path, std::string serviceName)
    : m_serviceName(std::move(serviceName))
{
    if (path.empty())
        return;
    constexpr mode_t readableByOwner = 0600;
    m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, readableByOwner);
    if (m_file < 0)
        logLine(LogLevel::Warning, "trace export disabled: the file could not be opened",
            { { "path", path }, { "detail", std::strerror(errno) } });
}

TraceExporter::~TraceExporter()
{
    if (m_file >= 0)
        ::close(m_file);
}

void TraceExporter::write(const Span& span)
{
    if (m_file < 0 || !span.context.sampled)
        return;
    std::string line = exportRequest(span, m_serviceName).dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    std::lock_guard lock(m_mutex);
    if (!writeWhole(m_file, line))
        logLine(LogLevel::Warning, "could not append a span to the trace file", { { "detail", std::strerror(errno) } });
}

} // namespace Kumquatpick
