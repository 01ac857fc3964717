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

constexpr std::size_t largest_datagram = 65'536;

sockaddr_in address_of(const socket_address& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    return address;
}

} // namespace

datagram_relay::datagram_relay(const socket_address& listen_at, std::uint16_t target_port,
                               std::uint64_t seed)
    : socket_{::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)}, target_port_{target_port}, random_{
                                                                                               seed}
{
    const sockaddr_in address = address_of(listen_at);
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
    std::array<char, largest_datagram> buffer{};
    while (true) {
        const auto size = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (size < 0) {
            continue;
        }
        std::string payload{buffer.data(), static_cast<std::size_t>(size)};
        const std::lock_guard lock{mutex_};
        std::uniform_real_distribution<double> share{0.0, 1.0};
        if (share(random_) < faults_.loss) {
            continue;
        }
        if (faults_.delay > milliseconds{0}) {
            delayed_.post_after(faults_.delay,
                                [this, payload = std::move(payload)] { pass_on(payload); });
            continue;
        }
        pass_on(payload);
    }
}

void datagram_relay::pass_on(const std::string& payload) const
{
    const sockaddr_in target = address_of({"127.0.0.1", target_port_});
    ::sendto(socket_, payload.data(), payload.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

} // namespace chestnutstand::soak
