#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace Kumquatpick {

// What breaks the head of an HTTP/1.1 response (RFC 9112).
enum class HeadProblem : uint8_t {
    StatusLine = 1, // Not a version of HTTP/1, a status and a reason.
    Status, // A number that no response may have.
    LineEnd, // Not CR and LF.
    FieldName, // Missing, or holds a character that no name may hold, such as a blank.
    FieldValue, // Holds a control character.
    BodyLength, // The fields that tell where the body ends are unreadable or contradict each other.
};

// For logs and errors: "the response has a status that no response may have".
std::string_view describe(HeadProblem);

// Statuses of responses that others follow; not that of a change of protocol, which nobody asks for.
bool isInterimStatus(unsigned status);
// Statuses of responses that end their requests.
bool isFinalStatus(unsigned status);
bool isFieldName(std::string_view);
bool isFieldValue(std::string_view);

// Checks the head of one response as it arrives, before any of it is used. The HTTP libraries are more tolerant, each
// in its own way: they take any three digits for a status, join or skip lines that are no fields, and then take other
// bytes for the body than the server meant.
class ResponseHeadCheck {
public:
    struct MoreNeeded { };
    struct Head {
        unsigned status = 0;
        size_t size = 0; // In bytes, up to and including the blank line.
    };
    using Progress = std::variant<MoreNeeded, Head, HeadProblem>;

    // received: all bytes from the head's first one on that have arrived so far. It may hold bytes after the head.
    Progress advance(std::string_view received);

private:
    std::optional<HeadProblem> checkLine(std::string_view line, bool isWhole);
    std::optional<HeadProblem> checkStatusLine(std::string_view line, bool isWhole);
    std::optional<HeadProblem> checkField(std::string_view line, bool isWhole);
    std::optional<HeadProblem> checkFraming(std::string_view name, std::string_view value);

    size_t m_lineStart = 0;
    unsigned m_status = 0; // 0 until the status line is whole.
    bool m_mayBeChunked = false; // Chunks are unknown to HTTP/1.0.
    std::optional<uint64_t> m_bodyLength;
    bool m_isChunked = false;
};

} // namespace Kumquatpick
