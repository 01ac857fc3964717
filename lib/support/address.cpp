#include "chestnutstand/support/address.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace chestnutstand {
namespace {

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc{} && end == text.data() + text.size() && port > 0;
}

} // namespace

bool is_ip_address(std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    const std::string terminated{text};
    return inet_pton(AF_INET, terminated.c_str(), address.data()) == 1 ||
           inet_pton(AF_INET6, terminated.c_str(), address.data()) == 1;
}

bool is_base_url(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (text.substr(0, scheme.size()) != scheme) {
        return false;
    }
    text.remove_prefix(scheme.size());
    return is_socket_address(text);
}

bool is_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    return is_ip_address(host);
}

} // namespace chestnutstand
