#include "base/base64.h"

#include <array>

namespace Kumquatpick {

namespace {

    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr size_t bytesPerGroup = 3;
    constexpr size_t charactersPerGroup = 4;
    constexpr uint8_t notADigit = 0xFF;

    constexpr std::array<uint8_t, 256> digitTable()
    {
        std::array<uint8_t, 256> table {};
        table.fill(notADigit);
        for (size_t i = 0; i < alphabet.size(); ++i)
            table[static_cast<uint8_t>(alphabet[i])] = static_cast<uint8_t>(i);
        return table;
    }

    constexpr auto digits = digitTable();

}

std::string base64Encode(std::span<const uint8_t> bytes)
{
    std::string text;
    text.reserve((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup);
    for (size_t at = 0; at < bytes.size(); at += bytesPerGroup) {
        size_t byteCount = std::min(bytesPerGroup, bytes.size() - at);
        uint32_t group = bytes[at] << 16;
        group |= byteCount > 1 ? bytes[at + 1] << 8 : 0;
        group |= byteCount > 2 ? bytes[at + 2] : 0;
        text += alphabet[group >> 18];
        text += alphabet[(group >> 12) & 63];
        text += byteCount > 1 ? alphabet[(group >> 6) & 63] : '=';
        text += byteCount > 2 ? alphabet[group & 63] : '=';
    }
    return text;
}

std::optional<std::vector<uint8_t>> base64Decode(std::string_view text)
{
    if (text.size() % charactersPerGroup != 0)
        return std::nullopt;
    while (!text.empty() && text.back() == '=')
        text.remove_suffix(1);
    std::vector<uint8_t> bytes;
    bytes.reserve(text.size() / charactersPerGroup * bytesPerGroup + bytesPerGroup);
    uint32_t group = 0;
    unsigned bits = 0;
    for (char character : text) {
        uint8_t digit = digits[static_cast<uint8_t>(character)];
        if (digit == notADigit)
            return std::nullopt;
        group = (group << 6) | digit;
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<uint8_t>(group >> bits));
        }
    }
    return bytes;
}

} // namespace Kumquatpick
