#pragma once

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// A sound answer, from which broken ones are made.
struct SoundAnswer {
    std::string identity; // Fields that tell whose answer it is. "{id}" stands for the id of its request.
    std::string framing; // Fields that tell where its body ends.
    std::string body;

    std::string text() const { return "HTTP/1.1 200 OK\r\n" + identity + framing + "\r\n" + body; }
};

// An answer that breaks HTTP/1.1, and all of which a server sends.
struct BrokenAnswer {
    std::string what;
    std::string bytes;
};

inline SoundAnswer plainAnswerOf(std::string identity)
{
    return { std::move(identity), "Content-Type: text/plain\r\nContent-Length: 5\r\n", "hello" };
}

inline SoundAnswer streamAnswerOf(std::string identity)
{
    std::string_view event = "id: 1\ndata: one\n\n";
    return { std::move(identity), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", event.size(), event) };
}

// What is sent in answer to the request of this id.
inline std::string withId(std::string text, std::string_view id)
{
    constexpr std::string_view placeholder = "{id}";
    for (size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + id.size()))
        text.replace(at, placeholder.size(), id);
    return text;
}

// A status line without a status that a final answer may have.
inline std::vector<BrokenAnswer> answersWithBrokenStatus(const SoundAnswer& sound)
{
    std::vector<BrokenAnswer> result;
    for (std::string_view status :
        { "000", "001", "099", "101", "199", "600", "999", "20", "2000", "2x0", "-20", " 200" })
        result.push_back({ fmt::format("status '{}'", status),
            fmt::format("HTTP/1.1 {} OK\r\n{}{}\r\n{}", status, sound.identity, sound.framing, sound.body) });
    for (std::string_view line : { "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 200", "HTTP/2.0 200 OK", "HTTP/1.x 200 OK",
             "200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x01K" })
        result.push_back({ fmt::format("status line '{}'", line),
            fmt::format("{}\r\n{}{}\r\n{}", line, sound.identity, sound.framing, sound.body) });
    return result;
}

// A line among the fields that is none: its name holds what no name may hold, or it ends in the wrong way.
inline std::vector<BrokenAnswer> answersWithBrokenFields(const SoundAnswer& sound)
{
    using namespace std::string_literals;
    std::vector<BrokenAnswer> result;
    for (const std::string& line :
        { "Bad Name: x"s, "Name : x"s, "Name\t: x"s, " Name: x"s, "\tName: x"s, "Na\x01me: x"s, "Na\x7fme: x"s,
            "Na\0me: x"s, "Na\xc3\xa9me: x"s, "Na\rme: x"s, "Na\nme: x"s, ": x"s, "no colon"s, " "s, "Name: a\x01z"s,
            "Name: a\0z"s, "Name: a\rOther: b"s, "Name: a\nOther: b"s, "Name: a\x7fz"s }) {
        for (bool isFirst : { true, false }) {
            std::string fields = isFirst ? line + "\r\n" + sound.identity + sound.framing
                                         : sound.identity + sound.framing + line + "\r\n";
            result.push_back({ fmt::format("{} line '{}'", isFirst ? "first" : "last", line),
                "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + sound.body });
        }
    }
    return result;
}

// The field that says where the body ends is broken, so that a tolerant reader takes another body for the server's.
inline std::vector<BrokenAnswer> answersWithBrokenLength(const std::string& identity)
{
    using namespace std::string_literals;
    const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
    std::vector<BrokenAnswer> result;
    for (const std::string& field :
        { "Content-Length : 3"s, "Content\x01-Length: 3"s, " Content-Length: 3"s, "Content-Length: 3x"s,
            "Content-Length: x"s, "Content-Length: -3"s, "Content-Length: +3"s, "Content-Length: 0x3"s,
            "Content-Length:"s, "Content-Length: 3 5"s, "Content-Length: 3\r\nContent-Length: 5"s,
            "Content-Length: 99999999999999999999"s, "Content-Length: 3\nX: y"s,
            "Content-Length: 3\r\nTransfer-Encoding: chunked"s, "Transfer-Encoding: chunked\r\nContent-Length: 3"s,
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"s, "Transfer-Encoding : chunked"s,
            "Transfer-Encoding: gzip, chunked"s, "Transfer-Encoding: chunked, gzip"s,
            "Transfer-Encoding: chunked, chunked"s, "Transfer-Encoding: identity"s, "Transfer-Encoding: xchunked"s,
            "Transfer-Encoding:"s })
        result.push_back({ fmt::format("length by '{}'", field),
            fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n\r\n{}", identity, field, chunks) });
    result.push_back(
        { "chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n" + chunks });
    return result;
}

// The server stops in the middle of the head, after each of its parts.
inline std::vector<BrokenAnswer> answersThatEndInTheirHead(const SoundAnswer& sound)
{
    std::vector<BrokenAnswer> result;
    std::string head = sound.text();
    head.resize(head.size() - sound.body.size());
    for (size_t length = 1; length < head.size(); ++length) {
        std::string_view end = std::string_view(head).substr(length - 1, 2);
        bool isPartEnd = end.find_first_of("\r\n: /") != std::string_view::npos || length == 1;
        if (isPartEnd)
            result.push_back(
                { fmt::format("head of {} instead of {} bytes", length, head.size()), head.substr(0, length) });
    }
    // A body without the blank line before it.
    result.push_back({ "no blank line", head.substr(0, head.size() - 2) + sound.body });
    return result;
}

} // namespace Kumquatpick
