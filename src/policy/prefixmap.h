#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

// Tracks which replicas probably have which prompt prefixes cached. Cache events arrive late and some are lost, so the
// entries are only hints. The map is bounded and evicts the least recently used prefix.
class PrefixMap {
public:
    struct Match {
        double hitRatio = 0; // Cached share of the prompt, 0..1.
        std::vector<std::string> holders; // Replicas with the longest known prefix, the latest reported last.
    };

    void stored(uint64_t prefix, std::string_view replica);
    void dropped(uint64_t prefix, std::string_view replica);
    // Records that events of the replica were lost: its earlier entries may have been evicted since.
    void eventsLost(std::string_view replica);

    // Takes the prefixes shortest first, each twice as long as the one before.
    Match longestMatch(std::span<const uint64_t> prefixes);
    // The share of the prompt that the replica probably has cached.
    double hitRatio(std::span<const uint64_t> prefixes, std::string_view replica) const;

    size_t size() const { return m_entries.size(); }
    static constexpr size_t maxPrefixes = 16384;
    static constexpr size_t maxHolders = 8;

private:
    struct Holder {
        uint32_t replica = 0;
        uint32_t gapCount = 0; // The replica's number of gaps when this entry was recorded.
    };

    struct Entry {
        std::vector<Holder> holders;
        std::list<uint64_t>::iterator lruPosition;
    };

    uint32_t indexOf(std::string_view replica);
    bool isValid(const Holder&) const;

    std::unordered_map<uint64_t, Entry> m_entries;
    std::list<uint64_t> m_lruOrder; // Least recently used first.
    std::unordered_map<std::string, uint32_t> m_indexes;
    std::vector<std::string> m_names;
    std::vector<uint32_t> m_gapCounts;
};

} // namespace Kumquatpick
