#pragma once

#include "base/random.h"
#include "coordination/record.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <thread>

namespace Kumquatpick {

class LogAppender;

// Appends proposals for components that must not block, one after another on its own thread. A proposal whose verdict
// can't be learnt is dropped: its proposer checks the state and proposes again.
class ProposalQueue {
public:
    explicit ProposalQueue(LogAppender&);
    ~ProposalQueue();

    // Returns false and drops the proposal if the queue is full.
    bool push(RecordBody);

private:
    void run();

    LogAppender& m_appender;
    Random m_random; // Used by m_thread only.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<RecordBody> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Kumquatpick
