#pragma once

#include "chestnutstand/config/settings.h"
#include "chestnutstand/support/control_loop.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace chestnutstand::soak {

/// What happens to datagrams.
struct datagram_faults {
    /// Share that is lost; 1 cuts the way.
    double loss = 0.0;
    milliseconds delay{0};
};

/// Passes datagrams on to a port on loopback. Its thread lives until the process ends.
class datagram_relay {
public:
    datagram_relay(const socket_address& listen_at, std::uint16_t target_port, std::uint64_t seed);

    void set_faults(const datagram_faults& faults);

private:
    void receive();
    void pass_on(const std::string& payload) const;

    int socket_ = -1;
    std::uint16_t target_port_ = 0;
    std::mutex mutex_;
    datagram_faults faults_;
    std::mt19937_64 random_;
    control_loop delayed_;
};

} // namespace chestnutstand::soak
