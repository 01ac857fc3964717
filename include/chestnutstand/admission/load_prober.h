#pragma once

#include "chestnutstand/admission/probe_budget.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/http_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chestnutstand {

/// Load that the upstream reports about itself. It may be outdated or wrong, so only the metrics
/// use it.
struct upstream_load {
    std::uint32_t in_flight = 0;
    std::uint32_t slots = 0;
    /// When the response arrived.
    time_point received;
};

/// Request for a report of load or health, whose response must be small.
http_request make_probe_request(std::string target);

/// Probes the upstream with GET /load within the probe budget. A node uses one object for its whole
/// lifetime, so that an upstream that registers again does not get a new budget. Thread-safe.
class load_prober {
public:
    load_prober(http_client& client, double probes_per_s, time_point now);

    /// Sends a probe if the budget allows one; to be called regularly. The response is handled in a
    /// callback of the HTTP client.
    void poll(const std::string& base_url, time_point now);

    void set_rate(double probes_per_s, time_point now);

    /// The load of the last valid response; nullopt before the first.
    std::optional<upstream_load> last() const;
    /// Number of probes sent so far.
    std::uint64_t sent() const;

private:
    struct state;

    http_client& client_;
    /// Shared with the callbacks of probes in flight, which may outlive this object.
    std::shared_ptr<state> state_;
};

} // namespace chestnutstand
