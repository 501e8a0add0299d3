#pragma once

#include "backend/call.h"
#include <httplib.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// One call to a backend server, between the thread that runs it and the thread that reads it.
class Transfer {
public:
    // How much of the body may wait for the reader; one piece of the HTTP library's may come on top.
    static constexpr size_t bufferBytes = 64 * 1024;

    explicit Transfer(BackendRequest);
    ~Transfer();
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    // Makes the exchange; blocks until its end, and tells the engine if it ended early. Where nothing is left to
    // tell, release is called just before the reader can see the end.
    void run(const std::function<void()>& release);

    Result<BackendResponseHead> head();
    Result<std::string> next();
    // Waits so long until the next call of head() or next() would not block; whether it would not.
    bool waitReady(Milliseconds longest);

    // The reader is gone: stops the exchange at once. Does not block.
    void cancel();

private:
    httplib::Request httpRequest();
    bool takeHead(const httplib::Response&, bool hasBody);
    bool takePiece(std::string_view);
    void finish(std::optional<Error>);
    void cancelAtEngine();
    Step step() const;
    std::string peer() const;
    Error error(ErrorCode, std::string detail) const;

    BackendRequest m_request;
    int m_cancelDescriptor;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<BackendResponseHead> m_head;
    std::string m_buffer;
    std::optional<Error> m_error;
    bool m_isHeadTaken = false;
    bool m_isFinished = false;
    bool m_isCancelled = false;
};

} // namespace Kumquatpick
