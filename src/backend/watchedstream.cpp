#include "backend/watchedstream.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace Kumquatpick {

namespace {

    bool isTransient(int error) { return error == EINTR || error == EAGAIN || error == EWOULDBLOCK; }

}

WatchedStream::WatchedStream(int socket, MonotonicTime deadline, int cancelDescriptor)
    : m_socket(socket)
    , m_deadline(deadline)
    , m_cancelDescriptor(cancelDescriptor)
{
}

bool WatchedStream::endedWithBlankLine() const { return std::string_view(m_tail.data(), tailBytes) == "\r\n\r\n"; }

bool WatchedStream::is_readable() const { return !m_unread.empty() || waitFor(POLLIN); }

bool WatchedStream::is_writable() const { return waitFor(POLLOUT); }

ssize_t WatchedStream::read(char* bytes, size_t size)
{
    bool isHeadRead = m_isHeadChecked || readHead();
    if (!isHeadRead || (m_unread.empty() && !fill()))
        return m_state == State::Closed ? 0 : -1;
    size_t count = std::min({ size, m_unread.size(), bufferBytes });
    m_framingBytes += count;
    if (m_framingBytes > framingBytes) {
        m_state = State::Excessive;
        return -1;
    }
    std::copy_n(m_unread.data(), count, bytes);
    rememberTail(m_unread.substr(0, count));
    m_unread.remove_prefix(count);
    return static_cast<ssize_t>(count);
}

// Never blocks in the kernel, so that a cancel is noticed while the peer does not read; a peer that is gone
// is an error here and no signal.
ssize_t WatchedStream::write(const char* bytes, size_t size)
{
    size_t written = 0;
    while (written < size) {
        if (!waitFor(POLLOUT))
            return -1;
        ssize_t count = ::send(m_socket, bytes + written, size - written, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0)
            written += static_cast<size_t>(count);
        else if (!isTransient(errno)) {
            m_state = State::Closed;
            return -1;
        }
    }
    return static_cast<ssize_t>(size);
}

// Nobody asks a client for these.
void WatchedStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void WatchedStream::get_local_ip_and_port(std::string& ip, int& port) const { get_remote_ip_and_port(ip, port); }

bool WatchedStream::waitFor(short events) const
{
    while (m_state == State::Open) {
        auto remaining = std::chrono::ceil<Milliseconds>(m_deadline - monotonicNow());
        if (remaining <= Milliseconds::zero()) {
            m_state = State::TimedOut;
            break;
        }
        std::array<pollfd, 2> watched { { { m_socket, events, 0 }, { m_cancelDescriptor, POLLIN, 0 } } };
        constexpr Milliseconds longestWait { 60'000 };
        int ready = ::poll(watched.data(), watched.size(), static_cast<int>(std::min(remaining, longestWait).count()));
        if (ready < 0 && errno != EINTR) {
            m_state = State::Closed;
            break;
        }
        if (ready <= 0)
            continue;
        if (watched[1].revents != 0) {
            m_state = State::Cancelled;
            break;
        }
        return true;
    }
    return false;
}

bool WatchedStream::fill()
{
    while (waitFor(POLLIN)) {
        ssize_t count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_unread = { m_buffer.data(), static_cast<size_t>(count) };
            return true;
        }
        if (count == 0 || !isTransient(errno))
            m_state = State::Closed;
    }
    return false;
}

// Takes in the head of the final response, with what has arrived after it.
bool WatchedStream::readHead()
{
    ResponseHeadCheck check;
    while (true) {
        ResponseHeadCheck::Progress progress = check.advance(m_head);
        if (auto* problem = std::get_if<HeadProblem>(&progress)) {
            m_headProblem = *problem;
            m_state = State::Malformed;
            return false;
        }
        auto* head = std::get_if<ResponseHeadCheck::Head>(&progress);
        if (head && isFinalStatus(head->status)) {
            m_unread = m_head;
            m_isHeadChecked = true;
            return true;
        }
        if (head) {
            m_framingBytes += head->size;
            m_head.erase(0, head->size);
            check = {};
            continue;
        }
        if (m_framingBytes + m_head.size() > framingBytes) {
            m_state = State::Excessive;
            return false;
        }
        if (!fill())
            return false;
        m_head += std::exchange(m_unread, {});
    }
}

void WatchedStream::rememberTail(std::string_view handedOut)
{
    handedOut.remove_prefix(handedOut.size() - std::min(handedOut.size(), tailBytes));
    std::rotate(m_tail.begin(), m_tail.begin() + static_cast<ptrdiff_t>(handedOut.size()), m_tail.end());
    std::copy(handedOut.begin(), handedOut.end(), m_tail.end() - static_cast<ptrdiff_t>(handedOut.size()));
}

} // namespace Kumquatpick
