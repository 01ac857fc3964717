#pragma once

#include "chestnutstand/config/settings.h"
#include "chestnutstand/support/control_loop.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace chestnutstand::soak {

/// Faults that the relay injects.
struct datagram_faults {
    /// Probability of losing a datagram; at 1 all are lost.
    double loss = 0.0;
    milliseconds delay{0};
};

/// Forwards datagrams to a port on loopback. Its thread uses the relay until the process exits, so
/// it must not be destroyed.
class datagram_relay {
public:
    datagram_relay(const socket_address& listen_address, std::uint16_t target_port,
                   std::uint64_t seed);

    void set_faults(const datagram_faults& faults);

private:
    void receive();
    void forward(const std::string& payload) const;

    int socket_ = -1;
    std::uint16_t target_port_ = 0;
    std::mutex mutex_;
    datagram_faults faults_;
    std::mt19937_64 random_;
    control_loop delayed_;
};

} // namespace chestnutstand::soak
