#include "client_sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>

namespace chestnutstand {
namespace {

// Long enough for several retransmissions within a data centre and for one across regions.
constexpr unsigned tcp_user_timeout_ms = 750;
constexpr int keepalive_interval_s = 2;

struct endpoint {
    std::string address;
    int port = 0;
};

endpoint to_endpoint(const sockaddr_storage& from)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    const bool is_ipv6 = from.ss_family == AF_INET6;
    const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(from);
    const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(from);
    const void* address = is_ipv6 ? static_cast<const void*>(&ipv6.sin6_addr) : &ipv4.sin_addr;
    ::inet_ntop(from.ss_family, address, text.data(), text.size());
    return {text.data(), ntohs(is_ipv6 ? ipv6.sin6_port : ipv4.sin_port)};
}

/// Empty while the socket is not connected.
std::optional<connection_key> key_of(int socket)
{
    sockaddr_storage local{};
    sockaddr_storage peer{};
    socklen_t local_size = sizeof local;
    socklen_t peer_size = sizeof peer;
    if (::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0 ||
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&local), &local_size) != 0) {
        return std::nullopt;
    }
    const auto remote = to_endpoint(peer);
    return connection_key{remote.address, remote.port, to_endpoint(local).port};
}

} // namespace

void limit_silence(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms,
                 sizeof tcp_user_timeout_ms);
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_interval_s,
                 sizeof keepalive_interval_s);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
                 sizeof keepalive_interval_s);
}

int client_sockets::open(int family, int type, int protocol)
{
    const int socket = ::socket(family, type | SOCK_CLOEXEC, protocol);
    if (socket != -1) {
        unconnected_.push_back(socket);
    }
    return socket;
}

int client_sockets::close(int socket)
{
    std::erase(unconnected_, socket);
    std::erase_if(connected_, [socket](const auto& entry) { return entry.second == socket; });
    return ::close(socket);
}

void client_sockets::add_connected()
{
    std::erase_if(unconnected_, [this](int socket) {
        const auto key = key_of(socket);
        if (key) {
            connected_[*key] = socket;
        }
        return key.has_value();
    });
}

bool client_sockets::has_unexpected_input(const connection_key& connection)
{
    add_connected();
    const auto found = connected_.find(connection);
    if (found == connected_.end()) {
        return false;
    }
    char byte = 0;
    return ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace chestnutstand
