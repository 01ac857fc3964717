#pragma once

#include "chestnutstand/admission/probe_budget.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/http_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chestnutstand {

/// What the upstream says of itself. It may lag or mislead, so nothing but the metrics uses it.
struct upstream_load {
    std::uint32_t in_flight = 0;
    std::uint32_t slots = 0;
    /// When the response arrived.
    time_point received;
};

/// Reads GET /load of the upstream within the probe budget. One object serves the whole life of a
/// node: an upstream that registers again gets no new budget. Safe for concurrent use.
class load_prober {
public:
    load_prober(http_client& client, double probes_per_s, time_point now);

    /// Sends a probe when the budget allows one; to be called often.
    void poll(const std::string& base_url, time_point now);

    void set_rate(double probes_per_s, time_point now);

    /// The last whole answer, if any.
    std::optional<upstream_load> last() const;
    std::uint64_t sent() const;

private:
    struct state;

    http_client& client_;
    /// Shared with the callbacks of running probes.
    std::shared_ptr<state> state_;
};

} // namespace chestnutstand
