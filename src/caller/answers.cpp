#include "caller/answers.h"

#include "base/hash.h"

#include <charconv>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr size_t fingerprintDigits = 16;
    constexpr size_t entryOverheadBytes = 256;

    size_t sizeOf(const std::string& key, const StoredAnswer& answer)
    {
        return entryOverheadBytes + key.size() + answer.body.size() + answer.contentType.size();
    }

}

std::string AnswerKey::toLookupText() const { return fmt::format("{:016x}{}", fingerprint, key); }

AnswerKey AnswerKey::fromLookupText(std::string_view text)
{
    AnswerKey result;
    if (text.size() < fingerprintDigits)
        return result;
    std::from_chars(text.data(), text.data() + fingerprintDigits, result.fingerprint, 16);
    result.key = text.substr(fingerprintDigits);
    return result;
}

AnswerStore::AnswerStore(size_t bytes, Milliseconds lifetime)
    : m_shardBytes(bytes / shardCount)
    , m_lifetime(lifetime)
{
}

AnswerStore::Shard& AnswerStore::shardOf(const std::string& key) { return m_shards[hash64(key) % shardCount]; }

AnswerStore::FindResult AnswerStore::lookUp(Shard& shard, const AnswerKey& key, MonotonicTime now)
{
    dropOld(shard, now);
    auto found = shard.entries.find(key.key);
    if (found == shard.entries.end())
        return {};
    if (found->second.fingerprint != key.fingerprint)
        return { State::OtherRequest, {} };
    return { found->second.state, found->second.answer };
}

AnswerStore::FindResult AnswerStore::reserveKey(const AnswerKey& key, MonotonicTime now)
{
    Shard& shard = shardOf(key.key);
    std::lock_guard lock(shard.mutex);
    FindResult known = lookUp(shard, key, now);
    if (known.state == State::Unknown)
        shard.entries[key.key] = { key.fingerprint, State::Running, key.team, {}, {} };
    return known;
}

AnswerStore::FindResult AnswerStore::find(const AnswerKey& key, MonotonicTime now)
{
    Shard& shard = shardOf(key.key);
    std::lock_guard lock(shard.mutex);
    return lookUp(shard, key, now);
}

AnswerStore::FindResult AnswerStore::findByKey(const std::string& key, std::string_view team, MonotonicTime now)
{
    Shard& shard = shardOf(key);
    std::lock_guard lock(shard.mutex);
    dropOld(shard, now);
    auto found = shard.entries.find(key);
    if (found == shard.entries.end())
        return {};
    const Entry& entry = found->second;
    if (entry.team != team)
        return { State::OtherRequest, {} };
    return { entry.state, entry.answer };
}

void AnswerStore::finish(const AnswerKey& key, StoredAnswer answer, MonotonicTime now)
{
    answer.phase = StoredAnswer::Phase::Finished;
    end(key, State::Finished, std::move(answer), now);
}

void AnswerStore::markLost(const AnswerKey& key, MonotonicTime now) { end(key, State::Lost, {}, now); }

void AnswerStore::end(const AnswerKey& key, State state, StoredAnswer answer, MonotonicTime now)
{
    Shard& shard = shardOf(key.key);
    std::lock_guard lock(shard.mutex);
    auto found = shard.entries.find(key.key);
    if (found == shard.entries.end() || found->second.state != State::Running)
        return;
    Entry& entry = found->second;
    entry.state = state;
    entry.answer = std::move(answer);
    entry.ended = now;
    shard.ended.push_back(key.key);
    shard.bytes += sizeOf(key.key, entry.answer);
    dropOld(shard, now);
}

void AnswerStore::releaseKey(const AnswerKey& key)
{
    Shard& shard = shardOf(key.key);
    std::lock_guard lock(shard.mutex);
    auto found = shard.entries.find(key.key);
    if (found != shard.entries.end() && found->second.state == State::Running)
        shard.entries.erase(found);
}

// Running requests are not dropped. Their number is limited by the number of server threads.
void AnswerStore::dropOld(Shard& shard, MonotonicTime now)
{
    while (!shard.ended.empty()) {
        auto oldest = shard.entries.find(shard.ended.front());
        bool expired = now - oldest->second.ended >= m_lifetime;
        if (!expired && shard.bytes <= m_shardBytes)
            return;
        shard.bytes -= sizeOf(oldest->first, oldest->second.answer);
        shard.entries.erase(oldest);
        shard.ended.pop_front();
    }
}

size_t AnswerStore::bytes() const
{
    size_t total = 0;
    for (const Shard& shard : m_shards) {
        std::lock_guard lock(shard.mutex);
        total += shard.bytes;
    }
    return total;
}

} // namespace Kumquatpick
