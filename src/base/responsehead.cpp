#include "base/responsehead.h"

#include <algorithm>
#include <charconv>

namespace Kumquatpick {

namespace {

    constexpr std::string_view lineEnd = "\r\n";

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

    bool isLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

    bool isNameCharacter(char c)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        return isLetter(c) || isDigit(c) || marks.find(c) != std::string_view::npos;
    }

    // Bytes beyond ASCII are allowed, though they mean nothing.
    bool isValueCharacter(char c)
    {
        auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= ' ' && byte != 0x7f);
    }

    bool equalsIgnoringCase(std::string_view text, std::string_view lowerCase)
    {
        auto lower = [](char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c); };
        return std::ranges::equal(text, lowerCase, {}, lower);
    }

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        size_t begin = text.find_first_not_of(blanks);
        if (begin == std::string_view::npos)
            return {};
        return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
    }

    std::optional<uint64_t> bodyLength(std::string_view text)
    {
        uint64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isNumber = error == std::errc() && end == text.data() + text.size();
        return isNumber ? std::optional(value) : std::nullopt;
    }

}

std::string_view describe(HeadProblem problem)
{
    switch (problem) {
    case HeadProblem::StatusLine:
        return "the response does not begin with a status line";
    case HeadProblem::Status:
        return "the response has a status that no response may have";
    case HeadProblem::LineEnd:
        return "the response's head has a line that does not end with CR and LF";
    case HeadProblem::FieldName:
        return "the response's head has a field without a valid name";
    case HeadProblem::FieldValue:
        return "the response's head has a field with a control character";
    case HeadProblem::BodyLength:
        return "the response's head does not tell clearly where the body ends";
    }
    return {};
}

bool isInterimStatus(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    return status >= 100 && status <= 199 && status != switchingProtocols;
}

bool isFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

bool isFieldName(std::string_view text) { return !text.empty() && std::ranges::all_of(text, isNameCharacter); }

bool isFieldValue(std::string_view text) { return std::ranges::all_of(text, isValueCharacter); }

ResponseHeadCheck::Progress ResponseHeadCheck::advance(std::string_view received)
{
    while (true) {
        std::string_view rest = received.substr(m_lineStart);
        size_t size = rest.find('\n');
        bool isWhole = size != std::string_view::npos;
        std::string_view line = rest.substr(0, size);
        bool endsWithReturn = line.ends_with('\r');
        if (isWhole && !endsWithReturn)
            return HeadProblem::LineEnd;
        if (endsWithReturn)
            line.remove_suffix(1);
        if (isWhole && line.empty() && m_status != 0)
            return Head { m_status, m_lineStart + lineEnd.size() };
        if (auto problem = checkLine(line, isWhole))
            return *problem;
        if (!isWhole)
            return MoreNeeded {};
        m_lineStart += line.size() + lineEnd.size();
    }
}

// The beginning of a line that has not arrived as a whole is checked, too: a server that sends something else may send
// no line end at all.
std::optional<HeadProblem> ResponseHeadCheck::checkLine(std::string_view line, bool isWhole)
{
    return m_status == 0 ? checkStatusLine(line, isWhole) : checkField(line, isWhole);
}

std::optional<HeadProblem> ResponseHeadCheck::checkStatusLine(std::string_view line, bool isWhole)
{
    constexpr std::string_view pattern = "HTTP/1.# ###"; // '#' stands for a digit.
    auto matches = [](char c, char expected) { return expected == '#' ? isDigit(c) : c == expected; };
    size_t compared = std::min(line.size(), pattern.size());
    bool isStart = std::ranges::equal(line.substr(0, compared), pattern.substr(0, compared), matches);
    std::string_view reason = line.substr(compared);
    if (!isStart || (!reason.empty() && reason.front() != ' '))
        return HeadProblem::StatusLine;
    if (!isFieldValue(reason))
        return HeadProblem::StatusLine;
    if (!isWhole)
        return std::nullopt;
    if (reason.empty()) // The blank after the status may not be left out.
        return HeadProblem::StatusLine;
    constexpr size_t statusDigits = 3;
    unsigned status = 0;
    std::from_chars(line.data() + pattern.size() - statusDigits, line.data() + pattern.size(), status);
    if (!isInterimStatus(status) && !isFinalStatus(status))
        return HeadProblem::Status;
    m_status = status;
    m_mayBeChunked = line.starts_with("HTTP/1.1");
    return std::nullopt;
}

// A line that begins with a blank would go on with the field before it, which no server may send any more.
std::optional<HeadProblem> ResponseHeadCheck::checkField(std::string_view line, bool isWhole)
{
    size_t colon = line.find(':');
    bool hasName = colon != std::string_view::npos;
    std::string_view name = line.substr(0, colon);
    bool isName = isFieldName(name) || (line.empty() && !isWhole);
    if (!isName || (isWhole && !hasName))
        return HeadProblem::FieldName;
    if (!hasName)
        return std::nullopt;
    std::string_view value = line.substr(colon + 1);
    if (!isFieldValue(value))
        return HeadProblem::FieldValue;
    return isWhole ? checkFraming(name, trimmed(value)) : std::nullopt;
}

std::optional<HeadProblem> ResponseHeadCheck::checkFraming(std::string_view name, std::string_view value)
{
    if (equalsIgnoringCase(name, "content-length")) {
        auto length = bodyLength(value);
        if (!length || m_isChunked || length != m_bodyLength.value_or(*length))
            return HeadProblem::BodyLength;
        m_bodyLength = length;
    } else if (equalsIgnoringCase(name, "transfer-encoding")) {
        // No other encoding is asked for.
        if (!equalsIgnoringCase(value, "chunked") || !m_mayBeChunked || m_isChunked || m_bodyLength)
            return HeadProblem::BodyLength;
        m_isChunked = true;
    }
    return std::nullopt;
}

} // namespace Kumquatpick
