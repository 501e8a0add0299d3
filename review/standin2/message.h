#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <strings.h>
#include <utility>
#include <vector>

namespace Review {

// A request or a response of HTTP/1.1.
struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isWhole = false; // The end of the body was seen.

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        }
        return {};
    }

    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    // 0 if it is not a response.
    int status() const { return startLine.starts_with("HTTP/") ? std::atoi(startLine.c_str() + 9) : 0; }

    std::string parameter(const std::string& name) const
    {
        std::string query = target();
        size_t mark = query.find('?');
        query = mark == std::string::npos ? "" : "&" + query.substr(mark + 1);
        size_t found = query.find("&" + name + "=");
        if (found == std::string::npos)
            return {};
        size_t begin = found + name.size() + 2;
        return query.substr(begin, query.find('&', begin) - begin);
    }
};

} // namespace Review
