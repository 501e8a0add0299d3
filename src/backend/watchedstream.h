#pragma once

#include "base/clock.h"
#include "base/responsehead.h"
#include <httplib.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Kumquatpick {

// The HTTP library's view of one connected socket, with what the library's own lacks: a deadline over all
// reads and writes together, a descriptor that cancels them at once, a bound on what the library keeps until it has a
// whole line or a whole head, a check of the head before the library sees any of it, and a look at the last bytes read.
// Interim responses are dropped.
class WatchedStream final : public httplib::Stream {
public:
    enum class State : uint8_t {
        Open,
        Closed,
        TimedOut,
        Cancelled,
        Excessive, // The peer sent too much that was no body.
        Malformed, // The head breaks the protocol: see headProblem().
    };

    // cancelDescriptor becomes readable to cancel; -1 for none. Both descriptors stay the caller's.
    WatchedStream(int socket, MonotonicTime deadline, int cancelDescriptor);

    State state() const { return m_state; }
    std::optional<HeadProblem> headProblem() const { return m_headProblem; }
    // Tells that bytes of the body arrived. Between two such calls, at most framingBytes are handed out: a head, or the
    // lines around a chunk.
    void notePieceOfBody() { m_framingBytes = 0; }
    // Whether the bytes handed out last are the two line ends that close a chunked body.
    bool endedWithBlankLine() const;

    using httplib::Stream::write;
    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* bytes, size_t size) override;
    ssize_t write(const char* bytes, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_socket; }

private:
    // The library keeps a field of a head in some hundred bytes, so a head may take ten times its size in memory.
    static constexpr size_t framingBytes = 32 * 1024;
    static constexpr size_t bufferBytes = 8192;
    static constexpr size_t tailBytes = 4;

    bool waitFor(short events) const;
    bool fill();
    bool readHead();
    void rememberTail(std::string_view handedOut);

    int m_socket;
    MonotonicTime m_deadline;
    int m_cancelDescriptor;
    mutable State m_state = State::Open;
    std::array<char, bufferBytes> m_buffer;
    std::string m_head; // As received, with what arrived of the body by then.
    bool m_isHeadChecked = false;
    std::optional<HeadProblem> m_headProblem;
    std::string_view m_unread; // In m_head or m_buffer.
    size_t m_framingBytes = 0; // Handed out since the last piece of the body.
    std::array<char, tailBytes> m_tail {};
};

} // namespace Kumquatpick
