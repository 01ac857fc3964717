#include "chestnutstand/membership/gossip_transport.h"

#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chestnutstand {

namespace {

constexpr std::size_t max_datagram_bytes = 65'536;
// Holds the datagrams that arrive while the process is paused for a few seconds.
constexpr int receive_buffer_bytes = 512 * 1024;

std::optional<sockaddr_in> socket_address(const std::string& address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    return result;
}

absl::Status system_error(const std::string& operation)
{
    return absl::UnavailableError(absl::StrCat(operation, ": ", std::strerror(errno)));
}

} // namespace

absl::StatusOr<std::unique_ptr<gossip_transport>> gossip_transport::open(const std::string& address,
                                                                         std::uint16_t port,
                                                                         control_loop& loop,
                                                                         handler on_datagram)
{
    auto bound = socket_address(address, port);
    if (!bound) {
        return absl::InvalidArgumentError(
            absl::StrCat("gossip address is not an IPv4 address: ", address));
    }
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0) {
        return system_error("cannot create the gossip socket");
    }
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    socklen_t length = sizeof *bound;
    auto* raw = reinterpret_cast<sockaddr*>(&*bound);
    if (::bind(socket, raw, length) != 0 || ::getsockname(socket, raw, &length) != 0) {
        const auto error = system_error(absl::StrCat("cannot bind gossip port ", port));
        ::close(socket);
        return error;
    }
    const int stop_event = ::eventfd(0, EFD_CLOEXEC);
    if (stop_event < 0) {
        const auto error = system_error("eventfd");
        ::close(socket);
        return error;
    }
    return std::unique_ptr<gossip_transport>{new gossip_transport{
        socket, stop_event, ntohs(bound->sin_port), loop, std::move(on_datagram)}};
}

gossip_transport::gossip_transport(int socket, int stop_event, std::uint16_t port,
                                   control_loop& loop, handler on_datagram)
    : socket_{socket}, stop_event_{stop_event}, port_{port}, loop_{loop},
      handler_{std::make_shared<const handler>(std::move(on_datagram))}, thread_{
                                                                             [this] { receive(); }}
{
}

gossip_transport::~gossip_transport()
{
    const std::uint64_t one = 1;
    if (::write(stop_event_, &one, sizeof one) < 0) {
        log_event(log_level::error, "cannot stop the gossip receive thread");
    }
    thread_.join();
    ::close(stop_event_);
    ::close(socket_);
}

void gossip_transport::send(const datagram& out)
{
    const auto to = socket_address(out.address, out.port);
    if (!to) {
        return;
    }
    const auto sent = ::sendto(socket_, out.payload.data(), out.payload.size(), MSG_NOSIGNAL,
                               reinterpret_cast<const sockaddr*>(&*to), sizeof *to);
    if (sent >= 0) {
        ++packets_sent_;
        bytes_sent_ += static_cast<std::uint64_t>(sent);
    }
}

void gossip_transport::receive()
{
    std::vector<char> buffer(max_datagram_bytes);
    std::array<pollfd, 2> events{{{socket_, POLLIN, 0}, {stop_event_, POLLIN, 0}}};
    while (true) {
        if (::poll(events.data(), events.size(), -1) < 0) {
            continue;
        }
        if (events[1].revents != 0) {
            return;
        }
        const auto received = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (received < 0) {
            // An error of a sent datagram, such as an unreachable port, is reported once.
            continue;
        }
        ++packets_received_;
        bytes_received_ += static_cast<std::uint64_t>(received);
        loop_.post([handle = handler_,
                    payload = std::string{buffer.data(), static_cast<std::size_t>(received)}] {
            (*handle)(payload);
        });
    }
}

gossip_traffic gossip_transport::traffic() const
{
    return {packets_sent_, bytes_sent_, packets_received_, bytes_received_, 0, 0};
}

} // namespace chestnutstand
