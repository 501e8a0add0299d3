#pragma once

#include "coordination/slotmessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Kumquatpick {

// The entries that the owner or witness of one slot keeps for its keys. Each node is stored once and entries refer to
// it by index, as there are many entries and few nodes.
class Journal {
public:
    std::optional<JournalEntry> find(std::string_view key) const;
    // Stores the entry unless a later one for the same key is stored already: messages may arrive late or twice, and
    // the pair (voidedUpTo, grantedAttempt) of an entry only increases.
    void keepLatest(const JournalEntry&);
    void replace(const JournalEntry&);

    // Removes the entries of keys issued before this time, and advances forgottenBefore() to it.
    void forget(WallTime before);
    // A key issued before this time may have had an entry that was removed.
    WallTime forgottenBefore() const { return m_forgottenBefore; }

    size_t size() const { return m_entries.size(); }

    // Splits the journal into parts of at most this many entries; returns at least one part.
    std::vector<CopyRequest> split(size_t entriesPerPart) const;
    void merge(const CopyRequest& part);

private:
    struct StoredEntry {
        WallTime issued {};
        uint32_t voidedUpTo = 0;
        uint32_t grantedAttempt = 0;
        ArrivalId grantedTo {};
        uint32_t node = 0;
    };

    struct KeyHash {
        using is_transparent = void;
        size_t operator()(std::string_view key) const { return std::hash<std::string_view> {}(key); }
    };

    uint32_t nodeIndex(const NodeInfo&);
    JournalEntry toJournalEntry(const std::string& key, const StoredEntry&) const;

    std::unordered_map<std::string, StoredEntry, KeyHash, std::equal_to<>> m_entries;
    std::vector<NodeInfo> m_nodes { NodeInfo {} }; // The first element stands for "never granted".
    WallTime m_forgottenBefore {};
};

} // namespace Kumquatpick
