#include "base/names.h"

#include <algorithm>
#include <cstdint>

namespace Kumquatpick {

namespace {

    constexpr size_t maxNameBytes = 255;

    bool isControl(char character)
    {
        constexpr unsigned char firstPrintable = 0x20, deleteCharacter = 0x7f;
        auto code = static_cast<unsigned char>(character);
        return code < firstPrintable || code == deleteCharacter;
    }

    // Bytes that follow the first one of a character; 4 if no character starts with it.
    size_t continuationBytes(unsigned char first)
    {
        if (first < 0x80)
            return 0;
        if (first >= 0xc2 && first < 0xe0)
            return 1;
        if (first >= 0xe0 && first < 0xf0)
            return 2;
        return first >= 0xf0 && first < 0xf5 ? 3 : 4;
    }

    // Neither an encoding that is longer than necessary, nor a surrogate, nor beyond the last character.
    bool isCharacter(unsigned char first, unsigned char second)
    {
        if (first == 0xe0)
            return second >= 0xa0;
        if (first == 0xed)
            return second < 0xa0;
        if (first == 0xf0)
            return second >= 0x90;
        return first != 0xf4 || second < 0x90;
    }

    bool isUtf8(std::string_view text)
    {
        while (!text.empty()) {
            auto first = static_cast<unsigned char>(text[0]);
            size_t following = continuationBytes(first);
            if (following >= text.size() || following > 3)
                return false;
            for (size_t i = 1; i <= following; ++i) {
                if ((static_cast<unsigned char>(text[i]) & 0xc0) != 0x80)
                    return false;
            }
            if (following > 0 && !isCharacter(first, static_cast<unsigned char>(text[1])))
                return false;
            text.remove_prefix(1 + following);
        }
        return true;
    }

}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::none_of(text, isControl) && isUtf8(text);
}

} // namespace Kumquatpick
