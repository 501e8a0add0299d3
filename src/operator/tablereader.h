#pragma once

#include "operator/config.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace Kumquatpick {

struct NumberRange {
    uint64_t lowest = 0;
    uint64_t highest = 0;
};

enum class Presence : uint8_t {
    Optional, // If the key is absent, the value is left unchanged.
    Required,
};

// Whether a name can be used in headers, paths and metric labels without quoting.
bool isPlainName(std::string_view);

// Reads a TOML table key by key and collects its faults. An invalid value leaves the output unchanged.
class TableReader {
public:
    TableReader(const toml::table&, std::string path, std::vector<ConfigFault>&);

    void readName(std::string_view key, std::string& into, Presence);
    void readNames(std::string_view key, std::vector<std::string>& into, Presence);
    void readNumber(std::string_view key, uint64_t& into, NumberRange, Presence);
    void readNumber(std::string_view key, uint32_t& into, NumberRange, Presence);
    // Finite numbers: a weight is zero or more, a share is above zero.
    void readWeight(std::string_view key, double& into);
    void readShare(std::string_view key, double& into);
    // One of two words; isSecond is set to whether it was the second.
    void readChoice(std::string_view key, std::string_view first, std::string_view second, bool& isSecond);

    // Marks a key that is read elsewhere as known.
    void markKnown(std::string_view key);
    // Adds a fault if the table has a key that is not allowed here.
    void rejectKey(std::string_view key, std::string_view expected);
    // Adds a fault for each unknown key.
    void reportUnknownKeys();

    // Adds a fault at a key's value, or at the table if the key is absent.
    void addFault(std::string_view key, std::string expected);
    // Adds a fault at one element of a key's array.
    void addElementFault(std::string_view key, size_t index, std::string expected);

private:
    const toml::node* find(std::string_view key, Presence, std::string_view expected);
    void readDecimal(std::string_view key, double& into, bool zeroAllowed);
    std::string pathTo(std::string_view key) const;

    const toml::table& m_table;
    std::string m_path;
    std::vector<ConfigFault>& m_faults;
    std::vector<std::string_view> m_knownKeys;
};

ConfigFault makeFault(const toml::source_region&, std::string key, std::string expected);

} // namespace Kumquatpick
