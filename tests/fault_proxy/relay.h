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

/// What happens to the traffic.
enum class fault_mode : std::uint8_t {
    pass,
    cut,           ///< Open connections are reset and new ones refused.
    delay,         ///< Each piece of data arrives later.
    freeze,        ///< Connections that are open now stay silent for good; new ones work.
    drop_response, ///< The connection ends when its response comes.
    truncate,      ///< The connection ends after a number of bytes of its response.
    cross,         ///< The next two responses on two connections are swapped.
};

inline constexpr name_table<fault_mode, 7> fault_mode_names{
    {"pass", "cut", "delay", "freeze", "drop_response", "truncate", "cross"}};

enum class fault_direction : std::uint8_t { both, request, response };

inline constexpr name_table<fault_direction, 3> fault_direction_names{
    {"both", "request", "response"}};

struct fault_settings {
    fault_mode mode = fault_mode::pass;
    /// Concerns delay and freeze only.
    fault_direction direction = fault_direction::both;
    milliseconds delay{0};
    std::size_t bytes = 0;
};

struct relay_counts {
    std::uint64_t connections = 0;
    std::uint64_t request_bytes = 0;
    std::uint64_t response_bytes = 0;
    /// Pieces of data or connections that a fault was applied to.
    std::uint64_t faults = 0;
};

/// Accepts connections on a port of its own and relays them to the target on loopback. Its threads
/// live until the process ends.
class relay {
public:
    /// Port 0 of the listener is assigned by the kernel.
    explicit relay(std::uint16_t target_port, const socket_address& listen_at = {"127.0.0.1", 0});

    std::uint16_t port() const { return port_; }
    /// Where connections from now on lead to.
    void set_target(std::uint16_t port) { target_port_ = port; }
    void set_faults(const fault_settings& faults);
    relay_counts counts() const;

private:
    struct link;
    struct crossed_piece;

    void accept_connections();
    void accept_one(int client);
    void pump(const std::shared_ptr<link>& which, bool response);
    bool pass_on(link& which, bool response, std::string piece);
    bool pass_response(link& which, const fault_settings& faults, std::string piece);
    std::string swap_with_next(link& which, std::string piece);
    bool frozen(const link& which, bool response) const;
    fault_settings faults() const;
    void count_fault();

    std::atomic<std::uint16_t> target_port_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    mutable std::mutex mutex_;
    std::condition_variable crossed_;
    fault_settings faults_;
    relay_counts counts_;
    std::vector<std::weak_ptr<link>> links_;
    /// A response that waits for one of another connection to be swapped with.
    std::shared_ptr<crossed_piece> waiting_;
};

} // namespace chestnutstand::testing
