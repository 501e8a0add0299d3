#include "standin/load.h"

#include "base/hash.h"
#include "standin/entrychoices.h"

#include <atomic>
#include <future>
#include <thread>

namespace Kumquatpick {

namespace {

    constexpr Milliseconds brokenPause { 50 };
    constexpr Milliseconds undecidedPause { 200 };

    double millisecondsBetween(MonotonicTime from, MonotonicTime to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

    // Hands out the requests' turns to all callers.
    class Turns {
    public:
        explicit Turns(const LoadSettings& settings)
            : m_settings(settings)
            , m_start(monotonicNow())
        {
        }

        // When the next request is due; nothing once all are handed out.
        std::optional<MonotonicTime> next()
        {
            uint64_t turn = m_next.fetch_add(1);
            if (turn >= m_settings.requests)
                return std::nullopt;
            if (m_settings.perSecond == 0)
                return monotonicNow();
            std::chrono::duration<double> since(static_cast<double>(turn) / static_cast<double>(m_settings.perSecond));
            return m_start + std::chrono::duration_cast<MonotonicTime::duration>(since);
        }

    private:
        const LoadSettings& m_settings;
        MonotonicTime m_start;
        std::atomic<uint64_t> m_next { 0 };
    };

    class LoadCaller {
    public:
        LoadCaller(const LoadSettings& settings, uint32_t caller, OutcomeWriter& outcomes)
            : m_settings(settings)
            , m_outcomes(outcomes)
            , m_mix(settings, caller)
            , m_entries(settings, caller)
        {
        }

        LoadTotals run(Turns& turns)
        {
            while (std::optional<MonotonicTime> due = turns.next()) {
                std::this_thread::sleep_until(*due);
                LoadRequest request = m_mix.next();
                if (!m_settings.direct && !request.isRepeatable && m_mix.random()() % 100 < m_settings.mintedPercent)
                    request.key = m_entries.mintedKey(m_connections, request.service).value_or(request.key);
                perform(request, *due);
            }
            return std::move(m_totals);
        }

    private:
        // What is still to do for a request after a reply.
        struct Next {
            bool again = false;
            uint32_t attempt = 1;
            Milliseconds pause {};
            bool elsewhere = false;
        };

        void perform(const LoadRequest& request, MonotonicTime due)
        {
            ++m_totals.requests;
            MonotonicTime deadline = due + m_settings.deadline;
            LoadCall call { request, 1, wallNow(), m_settings.deadline, m_settings.direct.has_value() };
            std::future<LoadReply> duplicate = startDuplicate(call);
            LoadReply reply;
            while (true) {
                reply = sendOnce(m_entries.current(m_connections), call);
                Next next = afterReply(reply, call);
                bool again = next.again && monotonicNow() + next.pause < deadline;
                m_outcomes.write(lineOf(call, reply.outcome, !again, reply.answerHash));
                if (!again)
                    break;
                ++m_totals.resends;
                std::this_thread::sleep_for(next.pause);
                if (next.elsewhere)
                    m_entries.moveOn();
                call.attempt = next.attempt;
                call.deadline = std::chrono::duration_cast<Milliseconds>(deadline - monotonicNow());
            }
            count(reply, due);
            if (duplicate.valid())
                settleDuplicate(call, duplicate.get());
        }

        // The same key and attempt at another node at the same time, as an impatient caller does.
        std::future<LoadReply> startDuplicate(const LoadCall& call)
        {
            if (!call.request.isDuplicated || call.isDirect)
                return {};
            ++m_totals.duplicates;
            m_outcomes.write(lineOf(call, CallOutcome::Asked, false));
            Address other = m_entries.another(m_connections);
            return std::async(std::launch::async, [other, call] {
                LoadConnections connections;
                return sendCall(connections, other, call);
            });
        }

        void settleDuplicate(LoadCall call, const LoadReply& reply)
        {
            call.attempt = 1;
            m_totals.addReply(reply);
            m_outcomes.write(lineOf(call, reply.outcome, false, reply.answerHash));
        }

        LoadReply sendOnce(const Address& address, const LoadCall& call)
        {
            m_outcomes.write(lineOf(call, CallOutcome::Asked, false));
            LoadReply reply = sendCall(m_connections, address, call);
            m_totals.addReply(reply);
            return reply;
        }

        static Next afterReply(const LoadReply& reply, const LoadCall& call)
        {
            switch (reply.outcome) {
            case CallOutcome::NotRun:
                // Attempts of a repeatable request are not counted, so its refusal need not name the next one.
                if (!reply.retryAfter || (!reply.nextAttempt && !call.request.isRepeatable))
                    return {};
                return { true, reply.nextAttempt.value_or(call.attempt), *reply.retryAfter, true };
            case CallOutcome::Undecided:
                return { true, call.attempt, reply.retryAfter.value_or(undecidedPause), true };
            case CallOutcome::MayHaveRun:
                if (!call.request.isRepeatable || !reply.retryAfter)
                    return {};
                return { true, reply.nextAttempt.value_or(call.attempt), *reply.retryAfter, true };
            case CallOutcome::Broken:
                return { true, call.attempt, brokenPause, true };
            case CallOutcome::Answered:
            case CallOutcome::Asked:
                break;
            }
            return {};
        }

        void count(const LoadReply& reply, MonotonicTime due)
        {
            ++m_totals.finals[std::string(name(reply.outcome))];
            if (reply.outcome != CallOutcome::Answered)
                return;
            m_totals.firstByteMs.push_back(millisecondsBetween(due, reply.firstByte.value_or(reply.end)));
            m_totals.totalMs.push_back(millisecondsBetween(due, reply.end));
        }

        static OutcomeLine lineOf(const LoadCall& call, CallOutcome outcome, bool isFinal, uint64_t answerHash = 0)
        {
            OutcomeLine line;
            line.key = call.request.key;
            line.attempt = call.attempt;
            line.outcome = outcome;
            line.isFinal = isFinal;
            line.isRepeatable = call.request.isRepeatable;
            line.service = call.request.service;
            line.answerHash = answerHash;
            line.expectedHash = hash64(call.request.expected);
            return line;
        }

        const LoadSettings& m_settings;
        OutcomeWriter& m_outcomes;
        LoadMix m_mix;
        EntryChoices m_entries;
        LoadConnections m_connections;
        LoadTotals m_totals;
    };

} // namespace

LoadTotals runLoad(const LoadSettings& settings)
{
    OutcomeWriter outcomes(settings.outcomesPath);
    Turns turns(settings);
    std::vector<std::future<LoadTotals>> callers;
    for (uint32_t caller = 0; caller < settings.callers; ++caller) {
        callers.push_back(
            std::async(std::launch::async, [&, caller] { return LoadCaller(settings, caller, outcomes).run(turns); }));
    }
    LoadTotals totals;
    for (std::future<LoadTotals>& caller : callers)
        totals.add(caller.get());
    return totals;
}

} // namespace Kumquatpick
