#pragma once

#include "base/clock.h"
#include "node/transport.h"

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Kumquatpick {

// Identifies a stored answer. The fingerprint distinguishes requests of different content under the same key.
struct AnswerKey {
    std::string key;
    uint64_t fingerprint = 0;
    std::string team {};

    // Text form that is sent to the node that stores the answer and parsed there by fromLookupText(). Does not contain
    // the team.
    std::string toLookupText() const;
    static AnswerKey fromLookupText(std::string_view);
};

// Running and finished non-repeatable requests, so that a resend gets the same answer. Ended requests are dropped by
// size and age; the journals still record the permit of a dropped one as granted. Thread-safe.
class AnswerStore {
public:
    enum class State : uint8_t {
        Unknown,
        Running, // This node is serving an arrival with this key.
        Finished,
        Lost, // The request was dispatched, but its complete answer is not stored.
        OtherRequest, // The key was used for a request with other content or by another team.
    };

    struct FindResult {
        State state = State::Unknown;
        StoredAnswer answer; // Set if the state is Finished.
    };

    AnswerStore(size_t bytes, Milliseconds lifetime);

    // Returns the state of the key. If it is Unknown, the key is now reserved as Running for this arrival.
    FindResult reserveKey(const AnswerKey&, MonotonicTime now);
    FindResult find(const AnswerKey&, MonotonicTime now);
    // Looks up by key and team, without the fingerprint.
    FindResult findByKey(const std::string& key, std::string_view team, MonotonicTime now);

    // Every key reserved by reserveKey() must end with one of these; with releaseKey() if it was never dispatched.
    void finish(const AnswerKey&, StoredAnswer, MonotonicTime now);
    void markLost(const AnswerKey&, MonotonicTime now);
    void releaseKey(const AnswerKey&);

    size_t bytes() const;

private:
    static constexpr size_t shardCount = 16;

    struct Entry {
        uint64_t fingerprint = 0;
        State state = State::Running;
        std::string team;
        StoredAnswer answer;
        MonotonicTime ended {};
    };

    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, Entry> entries;
        std::list<std::string> ended; // Keys of ended requests, oldest first.
        size_t bytes = 0;
    };

    Shard& shardOf(const std::string& key);
    FindResult lookUp(Shard&, const AnswerKey&, MonotonicTime now);
    void end(const AnswerKey&, State, StoredAnswer, MonotonicTime now);
    void dropOld(Shard&, MonotonicTime now);

    size_t m_shardBytes;
    Milliseconds m_lifetime;
    std::array<Shard, shardCount> m_shards;
};

} // namespace Kumquatpick
