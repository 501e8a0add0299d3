#include "base/address.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace Kumquatpick {

namespace {

    bool isIpNumber(const std::string& ip)
    {
        unsigned char buffer[sizeof(in6_addr)];
        if (ip.find('\0') != std::string::npos)
            return false; // The functions below would read up to it only.
        return inet_pton(AF_INET, ip.c_str(), buffer) == 1 || inet_pton(AF_INET6, ip.c_str(), buffer) == 1;
    }

    Error invalid(std::string_view text)
    {
        return { ErrorCode::InvalidArgument, Step::Settings, {},
            fmt::format("'{}' is not a numeric IP:port pair, such as 127.0.0.1:7100 or [::1]:7100", text) };
    }

}

Result<Address> Address::parse(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(invalid(text));
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::string_view digits = text.substr(colon + 1);
    Address address { std::string(host), 0 };
    auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    bool wholePort = code == std::errc() && end == digits.data() + digits.size() && !digits.empty();
    if (!wholePort || !isIpNumber(address.ip))
        return fail(invalid(text));
    return address;
}

std::string Address::toString() const
{
    bool isV6 = ip.find(':') != std::string::npos;
    return isV6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
}

} // namespace Kumquatpick
