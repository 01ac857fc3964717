#include "raw_socket.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace chestnutstand::testing {
namespace {

constexpr int receive_limit_s = 10;
constexpr int backlog = 64;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void set_options(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{receive_limit_s, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

} // namespace

raw_socket& raw_socket::operator=(raw_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

raw_socket::~raw_socket()
{
    close();
}

raw_socket raw_socket::connect_to(std::uint16_t port)
{
    raw_socket result{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    set_options(result.descriptor_);
    const sockaddr_in address = loopback(port);
    if (::connect(result.descriptor_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        result.close();
    }
    return result;
}

raw_socket raw_socket::listen_on_loopback()
{
    raw_socket result{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    set_options(result.descriptor_);
    const sockaddr_in address = loopback(0);
    if (::bind(result.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(result.descriptor_, backlog) != 0) {
        std::abort();
    }
    return result;
}

std::uint16_t raw_socket::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

raw_socket raw_socket::accept() const
{
    raw_socket result{::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC)};
    if (result.open()) {
        set_options(result.descriptor_);
    }
    return result;
}

void raw_socket::close()
{
    if (descriptor_ != -1) {
        ::close(std::exchange(descriptor_, -1));
    }
}

void raw_socket::reset()
{
    const linger reset_on_close{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close();
}

bool raw_socket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool raw_socket::receive_some(std::string& into) const
{
    std::array<char, 16384> buffer{};
    const auto received = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    into.append(buffer.data(), static_cast<std::size_t>(received));
    return true;
}

std::string raw_socket::receive_until_text(std::string_view text, int times) const
{
    return receive_until([&](const std::string& received) {
        int found = 0;
        for (auto at = received.find(text); at != std::string::npos;
             at = received.find(text, at + 1)) {
            ++found;
        }
        return found >= times;
    });
}

std::string raw_socket::receive_message() const
{
    return receive_until([](const std::string& received) {
        const auto end = received.find("\r\n\r\n");
        const auto length = received.find("Content-Length: ");
        if (end == std::string::npos) {
            return false;
        }
        const std::size_t body =
            length < end ? std::strtoul(received.c_str() + length + 16, nullptr, 10) : 0;
        return received.size() >= end + 4 + body;
    });
}

std::string raw_socket::receive_all(bool& closed) const
{
    std::string received;
    std::array<char, 16384> buffer{};
    ssize_t size = 0;
    while ((size = ::recv(descriptor_, buffer.data(), buffer.size(), 0)) > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    closed = size == 0;
    return received;
}

} // namespace chestnutstand::testing
