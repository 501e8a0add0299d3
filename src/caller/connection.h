#pragma once

#include "caller/connectionlimits.h"
#include "caller/settings.h"
#include <httplib.h>

#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Parts of a request that are removed before the HTTP library processes them. The library would decode forms and
// content encodings, cut answers to byte ranges and match paths with recursive regular expressions.
struct RequestLine {
    std::string target; // The path and query as sent by the caller.
    std::string contentType;
    std::string framingProblem; // Why the framing is invalid; empty if it is valid.

    // The target without its query.
    std::string_view path() const;
};

// A caller's connection. Adds the limits on time and bytes that the library lacks against slow or hostile callers.
// Used by one thread at a time.
class CallerConnection : public httplib::Stream {
public:
    // Registers itself with the limits.
    CallerConnection(int socket, const CallerSettings&, ConnectionLimits&);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // The connection whose request this thread is serving, or nullptr.
    static CallerConnection* forCurrentThread();

    // Whether there was a place for it. Without one, it may only be refused.
    bool isAdmitted() const { return m_id.has_value(); }
    void enter(ClientStage);

    // Starts the read timeout and resets the byte counts for the next request.
    void beginRequest();
    // Called once the head is read. Applies the body limit to the bytes that follow and changes the request so that
    // the library reads its body as plain bytes and sends the complete response.
    void processHead(httplib::Request&);
    const RequestLine& line() const { return m_line; }

    // Whether the request was read to its end, so that the next bytes start another request.
    bool isBodyConsumed() const;
    bool hasBufferedInput() const { return m_position < m_buffer.size(); }
    bool isOverLimit() const { return m_isOverLimit; }
    // Both functions refer to the request in progress.
    bool hasReadInput() const { return m_bytesRead > 0; }
    bool hasWrittenOutput() const { return m_bytesWritten > 0; }

    // Whether the caller closed its end or the connection broke.
    bool isCallerGone() const;
    // Sends without blocking and ignores failures. Used by the accept thread for refusals.
    void writeNonBlocking(std::string_view);
    void shutdownWriting();
    // Shuts down the socket, which unblocks a thread that waits on it.
    void shutdownSocket();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char*, size_t) override;
    ssize_t write(const char*, size_t) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_socket; }

private:
    friend class CurrentConnectionScope;

    bool fillBuffer();
    bool waitFor(short events, MonotonicTime until) const;
    void checkFraming(httplib::Request&);

    bool reserveForRequest();

    int m_socket;
    ConnectionLimits& m_limits;
    std::optional<ConnectionLimits::Id> m_id;
    size_t m_reserved = 0;
    const CallerSettings& m_settings;
    std::string m_buffer;
    size_t m_position = 0;

    RequestLine m_line;
    MonotonicTime m_readDeadline {};
    size_t m_bytesRead = 0; // Bytes of the request in progress that the library has read.
    size_t m_readLimit = 0;
    size_t m_headBytes = 0;
    size_t m_bodyBytes = 0; // The value of Content-Length.
    bool m_bodyHasLength = true;
    bool m_isOverLimit = false;
    size_t m_bytesWritten = 0;
};

// Sets the connection that CallerConnection::forCurrentThread() returns for the lifetime of this object.
class CurrentConnectionScope {
public:
    explicit CurrentConnectionScope(CallerConnection&);
    ~CurrentConnectionScope();
    CurrentConnectionScope(const CurrentConnectionScope&) = delete;
    CurrentConnectionScope& operator=(const CurrentConnectionScope&) = delete;
};

} // namespace Kumquatpick
