#pragma once

#include "process.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chestnutstand::testing {

/// What a client of a crowd sends: first, and then repeated until the given number of bytes has
/// been sent, and then last. The connection stays open afterwards.
struct crowd_message {
    std::string first;
    std::string repeated;
    std::size_t repeated_bytes = 0;
    std::string last{};
};

/// Connections to a port on loopback that send piece by piece in turns and read nothing.
/// Connections that are closed or that take no more bytes do not hold up the others.
class crowd {
public:
    crowd() = default;
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    ~crowd();

    /// Opens a connection. Returns false if that is not possible.
    bool add(std::uint16_t port, crowd_message message);

    /// Sends until no connection takes more bytes for a second, or all messages have been sent.
    void send_all();
    /// Like send_all(), but only while the condition is true.
    void send_while(const std::function<bool()>& condition);

    std::size_t size() const { return clients_.size(); }

private:
    struct client {
        int descriptor = -1;
        crowd_message message;
        std::size_t sent = 0;
        bool ended = false;
    };

    /// Sends the next piece. Returns whether the connection took a part of it.
    static bool send_piece(client& sender);

    std::vector<client> clients_;
};

/// Peak of the resident memory of a process, in MiB.
std::size_t peak_memory_mb(const process& measured);

std::size_t open_descriptors(const process& measured);

} // namespace chestnutstand::testing
