#pragma once

#include "connection.h"

#include <string>

namespace Review {

struct Request {
    std::string method = "POST";
    std::string path;
    std::string id; // Of the attempt.
    std::string body;
    int deadlineMs = 1500;
    std::string model; // Empty for plain services.
};

inline std::string text(const Request& request)
{
    Message message { request.method + " " + request.path + " HTTP/1.1",
        { { "Host", "desk.example" }, { "Attempt-Id", request.id },
            { "Deadline-Ms", std::to_string(request.deadlineMs) } },
        request.body };
    if (!request.model.empty()) {
        message.headers.emplace_back("Model-Id", request.model);
        message.headers.emplace_back("Token-Count", "674,50");
        message.headers.emplace_back("Prompt-Prefix", "5c1e07a2:40,91bd3f06:634");
    }
    return format(message);
}

// Sends one request over a connection of its own. Returns the status of its answer; 0 if it got none that is whole.
inline int send(int port, const Request& request)
{
    Connection connection(Connection::connectTo(port));
    Message answer;
    bool isAnswered = connection.write(text(request))
        && connection.read(answer, Connection::Milliseconds(request.deadlineMs + 500)) && answer.isWhole;
    return isAnswered ? answer.status() : 0;
}

} // namespace Review
