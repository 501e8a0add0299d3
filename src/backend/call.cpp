#include "backend/call.h"

#include "backend/transfer.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <string_view>
#include <thread>
#include <vector>

namespace Kumquatpick {

namespace {

    bool hasControl(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; });
    }

    // The HTTP library writes names and values as they are: a line end in one would start another header.
    bool isSendable(const BackendRequest& request)
    {
        bool pathIsWhole = request.path.starts_with('/') && request.path.find(' ') == std::string::npos;
        return pathIsWhole && !request.requestId.empty() && !request.method.empty() && !hasControl(request.method)
            && !hasControl(request.path) && !hasControl(request.requestId) && !hasControl(request.key)
            && !hasControl(request.contentType) && !hasControl(request.traceparent);
    }

    class StartedCall final : public BackendCall {
    public:
        explicit StartedCall(std::shared_ptr<Transfer> transfer)
            : m_transfer(std::move(transfer))
        {
        }
        ~StartedCall() override { m_transfer->cancel(); }

        Result<BackendResponseHead> head() override { return m_transfer->head(); }
        Result<std::string> next() override { return m_transfer->next(); }
        bool waitReady(Milliseconds longest) override { return m_transfer->waitReady(longest); }

    private:
        std::shared_ptr<Transfer> m_transfer;
    };

}

struct BackendCaller::Impl {
    void work();
    void release(const std::shared_ptr<Transfer>&);

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::shared_ptr<Transfer>> waiting; // For a thread that is on its way; never more than free threads.
    std::set<std::shared_ptr<Transfer>> inProgress; // Those waiting included.
    std::vector<std::thread> threads;
    size_t limit = 0;
    bool isStopping = false;
};

void BackendCaller::Impl::work()
{
    std::unique_lock lock(mutex);
    while (true) {
        changed.wait(lock, [this] { return !waiting.empty() || isStopping; });
        if (waiting.empty())
            return;
        auto transfer = std::move(waiting.front());
        waiting.pop_front();
        lock.unlock();
        transfer->run([&] { release(transfer); });
        release(transfer);
        lock.lock();
    }
}

// The slot is free before the reader sees the end of its call: one that starts the next call at once must not
// find every thread busy with calls that are over.
void BackendCaller::Impl::release(const std::shared_ptr<Transfer>& transfer)
{
    std::lock_guard lock(mutex);
    inProgress.erase(transfer);
}

BackendCaller::BackendCaller(size_t threads)
    : m_impl(std::make_shared<Impl>())
{
    m_impl->limit = threads;
}

BackendCaller::~BackendCaller()
{
    {
        std::lock_guard lock(m_impl->mutex);
        m_impl->isStopping = true;
        for (const auto& transfer : m_impl->inProgress)
            transfer->cancel();
    }
    m_impl->changed.notify_all();
    for (auto& thread : m_impl->threads)
        thread.join();
}

// Threads are made when first needed and then kept.
Result<std::unique_ptr<BackendCall>> BackendCaller::start(BackendRequest request)
{
    if (!isSendable(request))
        return fail(
            { ErrorCode::InvalidArgument, Step::Dispatch, request.host, "the request can't be written as HTTP" });
    std::lock_guard lock(m_impl->mutex);
    if (m_impl->isStopping)
        return fail({ ErrorCode::ShuttingDown, Step::Dispatch, request.host, {} });
    if (m_impl->inProgress.size() >= m_impl->limit)
        return fail({ ErrorCode::Overloaded, Step::Dispatch, request.host, "every thread for calls is busy" });
    auto transfer = std::make_shared<Transfer>(std::move(request));
    m_impl->inProgress.insert(transfer);
    m_impl->waiting.push_back(transfer);
    if (m_impl->threads.size() < m_impl->inProgress.size())
        m_impl->threads.emplace_back([impl = m_impl.get()] { impl->work(); });
    m_impl->changed.notify_one();
    return std::unique_ptr<BackendCall>(std::make_unique<StartedCall>(std::move(transfer)));
}

} // namespace Kumquatpick
