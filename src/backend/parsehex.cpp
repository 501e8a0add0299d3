#include "backend/parsehex.h"

#include <charconv>

namespace Kumquatpick {

uint64_t hexFrom(const DocumentReader& field)
{
    std::string_view text = field.text();
    uint64_t value = 0;
    constexpr int sixteen = 16;
    auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, sixteen);
    if (text.empty() || code != std::errc() || end != text.data() + text.size())
        field.reject("a hexadecimal number");
    return value;
}

} // namespace Kumquatpick
