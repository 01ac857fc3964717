#include "datagram_relay.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>

namespace chestnutstand::soak {
namespace {

constexpr std::size_t max_datagram_size = 65'536;

sockaddr_in address_of(const socket_address& endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

} // namespace

datagram_relay::datagram_relay(const socket_address& listen_address, std::uint16_t target_port,
                               std::uint64_t seed)
    : socket_{::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)}, target_port_{target_port}, random_{
                                                                                               seed}
{
    const sockaddr_in address = address_of(listen_address);
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        throw std::runtime_error{"cannot bind the datagram relay"};
    }
    std::thread{[this] { receive(); }}.detach();
}

void datagram_relay::set_faults(const datagram_faults& faults)
{
    const std::lock_guard lock{mutex_};
    faults_ = faults;
}

void datagram_relay::receive()
{
    std::array<char, max_datagram_size> buffer{};
    while (true) {
        const auto size = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (size < 0) {
            continue;
        }
        std::string payload{buffer.data(), static_cast<std::size_t>(size)};
        const std::lock_guard lock{mutex_};
        std::uniform_real_distribution<double> unit_interval{0.0, 1.0};
        if (unit_interval(random_) < faults_.loss) {
            continue;
        }
        if (faults_.delay > milliseconds{0}) {
            delayed_.post_after(faults_.delay,
                                [this, payload = std::move(payload)] { forward(payload); });
            continue;
        }
        forward(payload);
    }
}

void datagram_relay::forward(const std::string& payload) const
{
    const sockaddr_in target = address_of({"127.0.0.1", target_port_});
    ::sendto(socket_, payload.data(), payload.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

} // namespace chestnutstand::soak
