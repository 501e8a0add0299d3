#pragma once

#include "backend/fakeengine.h"
#include "base/brokenanswers.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Kumquatpick {

// The value of a field of a request; empty if it has none.
inline std::string fieldOf(std::string_view request, std::string_view name)
{
    std::string start = "\r\n" + std::string(name) + ": ";
    size_t at = request.find(start);
    if (at == std::string_view::npos)
        return {};
    std::string_view value = request.substr(at + start.size());
    return std::string(value.substr(0, value.find('\r')));
}

// A server that answers each request with the same bytes. Counts requests by the value of their id field.
class AnsweringServer {
public:
    // Where the bytes name "{id}", the request's id takes its place. A server that keeps its connections waits for the
    // other side to close them.
    AnsweringServer(std::string idField, std::string answer, bool keepsConnections)
        : m_idField(std::move(idField))
        , m_answer(std::move(answer))
        , m_keepsConnections(keepsConnections)
        , m_engine([this](FakeConnection& connection, const std::string& request) { serve(connection, request); })
    {
    }

    const Address& address() const { return m_engine.address(); }

    void setAnswer(std::string answer, bool keepsConnections)
    {
        std::lock_guard lock(m_mutex);
        m_answer = std::move(answer);
        m_keepsConnections = keepsConnections;
    }

    int requests(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        return m_requests[id];
    }

    // Connections that carried an answer and were not closed yet.
    int openConnections()
    {
        std::lock_guard lock(m_mutex);
        return m_openConnections;
    }

private:
    void serve(FakeConnection& connection, const std::string& request)
    {
        std::string id = fieldOf(request, m_idField);
        std::unique_lock lock(m_mutex);
        ++m_requests[id];
        ++m_openConnections;
        std::string bytes = m_answer;
        bool waits = m_keepsConnections;
        lock.unlock();
        connection.send(withId(std::move(bytes), id));
        if (waits)
            connection.waitForClose();
        lock.lock();
        --m_openConnections;
    }

    std::mutex m_mutex;
    std::string m_idField;
    std::string m_answer;
    bool m_keepsConnections;
    std::map<std::string, int> m_requests;
    int m_openConnections = 0;
    FakeEngine m_engine; // Last: its threads use the others.
};

} // namespace Kumquatpick
