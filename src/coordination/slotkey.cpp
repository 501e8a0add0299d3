#include "coordination/slotkey.h"

#include "coordination/slottable.h"

#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    constexpr std::string_view prefix = "kq1.";
    constexpr size_t slotDigits = 3;
    constexpr size_t timeDigits = 12;
    constexpr size_t incarnationDigits = 16;
    constexpr size_t serialDigits = 8;
    constexpr size_t keyLength = prefix.size() + slotDigits + timeDigits + incarnationDigits + serialDigits + 3;

    // Consumes the given number of lower-case hexadecimal digits, and the dot that follows unless the text ends there.
    std::optional<uint64_t> parseHexField(std::string_view& text, size_t digits)
    {
        uint64_t value = 0;
        for (char c : text.substr(0, digits)) {
            bool isDigit = c >= '0' && c <= '9';
            bool isLetter = c >= 'a' && c <= 'f';
            if (!isDigit && !isLetter)
                return std::nullopt;
            value = value * 16 + static_cast<uint64_t>(isDigit ? c - '0' : c - 'a' + 10);
        }
        text.remove_prefix(digits);
        if (text.empty())
            return value;
        if (text.front() != '.')
            return std::nullopt;
        text.remove_prefix(1);
        return value;
    }

} // namespace

std::string MintedKey::toString() const
{
    return fmt::format(
        "{}{:03x}.{:012x}.{:016x}.{:08x}", prefix, slot, issuedAt.time_since_epoch().count(), incarnation, serial);
}

std::optional<MintedKey> MintedKey::parse(std::string_view key)
{
    if (key.size() != keyLength || !key.starts_with(prefix))
        return std::nullopt;
    key.remove_prefix(prefix.size());
    auto slot = parseHexField(key, slotDigits);
    if (!slot || *slot >= slotCount)
        return std::nullopt;
    auto issuedAt = parseHexField(key, timeDigits);
    if (!issuedAt)
        return std::nullopt;
    auto incarnation = parseHexField(key, incarnationDigits);
    if (!incarnation)
        return std::nullopt;
    auto serial = parseHexField(key, serialDigits);
    if (!serial)
        return std::nullopt;
    MintedKey minted;
    minted.slot = static_cast<uint32_t>(*slot);
    minted.issuedAt = WallTime(Milliseconds(*issuedAt));
    minted.incarnation = *incarnation;
    minted.serial = static_cast<uint32_t>(*serial);
    return minted;
}

} // namespace Kumquatpick
