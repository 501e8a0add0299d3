#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace Kumquatpick {

// A map split into shards, each under its own lock, so that threads working on different keys rarely contend.
template <typename Key, typename Value, typename Hash = std::hash<Key>> class Shards {
public:
    // Runs use(Value&) under the key's shard lock, default-constructing a missing value.
    template <typename Use> auto with(const Key& key, Use&& use)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        return use(shard.values[key]);
    }

    // Runs use(Value&) if the key is present; returns whether it was.
    template <typename Use> bool ifPresent(const Key& key, Use&& use)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        auto found = shard.values.find(key);
        if (found == shard.values.end())
            return false;
        use(found->second);
        return true;
    }

    void erase(const Key& key)
    {
        Shard& shard = shardOf(key);
        std::lock_guard lock(shard.mutex);
        shard.values.erase(key);
    }

    // Erases each entry for which the predicate(key, value) holds, one shard locked at a time.
    template <typename Predicate> size_t eraseIf(Predicate&& predicate)
    {
        size_t erased = 0;
        for (Shard& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            erased += std::erase_if(shard.values, [&](auto& entry) { return predicate(entry.first, entry.second); });
        }
        return erased;
    }

    // Visits each entry, one shard locked at a time; not an atomic snapshot of the map.
    template <typename Visit> void forEach(Visit&& visit)
    {
        for (Shard& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            for (auto& [key, value] : shard.values)
                visit(key, value);
        }
    }

    size_t size()
    {
        size_t total = 0;
        for (Shard& shard : m_shards) {
            std::lock_guard lock(shard.mutex);
            total += shard.values.size();
        }
        return total;
    }

private:
    static constexpr size_t shardCount = 64;

    struct Shard {
        std::mutex mutex;
        std::unordered_map<Key, Value, Hash> values;
    };

    // The upper bits of a mixed hash select the shard, as the map inside uses the lower ones.
    Shard& shardOf(const Key& key)
    {
        constexpr uint64_t mix = 0x9E3779B97F4A7C15;
        return m_shards[(Hash {}(key)*mix) >> 58];
    }

    std::array<Shard, shardCount> m_shards;
};

} // namespace Kumquatpick
