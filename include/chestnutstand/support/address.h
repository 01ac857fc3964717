#pragma once

#include <string_view>

namespace chestnutstand {

/// Whether the text is an IPv4 or IPv6 address.
bool is_ip_address(std::string_view text);

/// Whether the text is http://IP:PORT with a port above 0; an IPv6 address is in brackets.
bool is_base_url(std::string_view text);

/// Whether the text is IP:PORT, as in a base URL.
bool is_socket_address(std::string_view text);

} // namespace chestnutstand
