#pragma once

#include "chestnutstand/config/settings.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/name_table.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand::testing {

/// Fault that is injected into the relayed traffic.
enum class fault_mode : std::uint8_t {
    pass,
    cut,           ///< Open connections are reset and new ones refused.
    delay,         ///< Each chunk of data is delayed.
    freeze,        ///< Open connections transfer no more data; new ones work.
    drop_response, ///< The connection is closed when its response arrives.
    truncate,      ///< The connection is closed after a number of bytes of its response.
    cross,         ///< The next two responses on two connections are swapped.
};

inline constexpr name_table<fault_mode, 7> fault_mode_names{
    {"pass", "cut", "delay", "freeze", "drop_response", "truncate", "cross"}};

enum class fault_direction : std::uint8_t { both, request, response };

inline constexpr name_table<fault_direction, 3> fault_direction_names{
    {"both", "request", "response"}};

struct fault_settings {
    fault_mode mode = fault_mode::pass;
    /// Used by delay and freeze only.
    fault_direction direction = fault_direction::both;
    milliseconds delay{0};
    std::size_t bytes = 0;
};

struct relay_counts {
    std::uint64_t connections = 0;
    std::uint64_t request_bytes = 0;
    std::uint64_t response_bytes = 0;
    /// Chunks of data or connections that a fault was applied to.
    std::uint64_t faults = 0;
};

/// Accepts connections on its own port and relays them to the target port on loopback. Its threads
/// run until the process ends, so a relay must not be destroyed before.
class relay {
public:
    /// Listens on the address; the kernel assigns the port if it is 0.
    explicit relay(std::uint16_t target_port,
                   const socket_address& listen_address = {"127.0.0.1", 0});

    std::uint16_t port() const { return port_; }
    /// Sets the target port of connections that are accepted from now on.
    void set_target(std::uint16_t port) { target_port_ = port; }
    void set_faults(const fault_settings& faults);
    relay_counts counts() const;

private:
    struct relayed_connection;
    struct swapped_response;

    void accept_connections();
    void start_relaying(int client);
    void pump(const std::shared_ptr<relayed_connection>& connection, bool response);
    bool forward(relayed_connection& connection, bool response, std::string chunk);
    bool forward_response(relayed_connection& connection, const fault_settings& faults,
                          std::string chunk);
    std::string swap_with_next(relayed_connection& connection, std::string chunk);
    bool is_frozen(const relayed_connection& connection, bool response) const;
    fault_settings faults() const;
    void count_fault();

    std::atomic<std::uint16_t> target_port_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    mutable std::mutex mutex_;
    std::condition_variable swap_done_;
    fault_settings faults_;
    relay_counts counts_;
    std::vector<std::weak_ptr<relayed_connection>> connections_;
    /// Response that waits for the response of another connection to be swapped with.
    std::shared_ptr<swapped_response> waiting_response_;
};

} // namespace chestnutstand::testing
