#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <regex>
#include <string>
#include <string_view>

namespace Kumquatpick {

// All that a caller received on one connection for one request, read as strictly as HTTP/1.1 allows.
struct StrictAnswer {
    int status = 0; // 0 if the connection ended without a byte.
    std::multimap<std::string, std::string> fields; // Names in lower case.
    std::string body;
    bool isWhole = false; // Its length, or the last chunk, shows that nothing is missing.
    std::string problem; // What breaks the protocol; empty if nothing does.
};

namespace StrictAnswerDetail {

    // Whether the chunks end with the last one, and nothing follows.
    inline bool readChunks(std::string_view text, std::string& body)
    {
        while (true) {
            size_t lineEnd = text.find("\r\n");
            if (lineEnd == std::string_view::npos)
                return false;
            size_t size = std::strtoull(std::string(text.substr(0, lineEnd)).c_str(), nullptr, 16);
            text.remove_prefix(lineEnd + 2);
            if (size == 0)
                return text == "\r\n";
            if (text.size() < size + 2)
                return false;
            body += text.substr(0, size);
            text.remove_prefix(size + 2);
        }
    }

}

inline StrictAnswer readStrictly(const std::string& received)
{
    StrictAnswer answer;
    if (received.empty())
        return answer;
    static const std::regex statusLine("HTTP/1\\.1 ([2-5][0-9]{2}) [\\t\\x20-\\x7e]*");
    static const std::regex field("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*([\\t\\x20-\\x7e\\x80-\\xff]*)");
    size_t headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        answer.problem = "no whole head: " + received;
        return answer;
    }
    std::string_view rest = std::string_view(received).substr(0, headEnd + 2);
    for (bool isFirst = true; !rest.empty(); isFirst = false) {
        size_t lineEnd = rest.find("\r\n");
        std::string line(rest.substr(0, lineEnd));
        rest.remove_prefix(lineEnd + 2);
        std::smatch parts;
        if (!std::regex_match(line, parts, isFirst ? statusLine : field)) {
            answer.problem = "line of the head: " + line;
            return answer;
        }
        if (isFirst) {
            answer.status = std::stoi(parts[1]);
            continue;
        }
        std::string name = parts[1];
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        answer.fields.emplace(name, parts[2]);
    }
    std::string_view body = std::string_view(received).substr(headEnd + 4);
    auto length = answer.fields.find("content-length");
    if (answer.fields.contains("transfer-encoding")) {
        answer.isWhole = StrictAnswerDetail::readChunks(body, answer.body);
    } else if (length != answer.fields.end()) {
        answer.body = body;
        answer.isWhole = std::to_string(body.size()) == length->second;
    } else {
        answer.problem = "no length";
    }
    return answer;
}

// Whether nothing that follows could make more of an answer.
inline bool isStrictlyOver(const std::string& received)
{
    bool hasHead = received.find("\r\n\r\n") != std::string::npos;
    StrictAnswer answer = readStrictly(received);
    return hasHead && (answer.isWhole || !answer.problem.empty());
}

} // namespace Kumquatpick
