#include "tool/percent.h"

#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    bool isUnreserved(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || std::string_view("-._~").find(c) != std::string_view::npos;
    }

    bool isVisible(char c) { return c > ' ' && c <= '~'; }

    template <typename IsPlain> std::string encodedUnless(IsPlain isPlain, std::string_view text)
    {
        std::string encoded;
        for (char c : text)
            encoded += isPlain(c) ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
        return encoded;
    }

}

std::string percentEncoded(std::string_view text) { return encodedUnless(isUnreserved, text); }

std::string percentEncodedTarget(std::string_view text) { return encodedUnless(isVisible, text); }

} // namespace Kumquatpick
