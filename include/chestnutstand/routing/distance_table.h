#pragma once

#include "chestnutstand/support/clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutstand {

/// Round-trip times to data centres, measured by probes between nodes. Not safe for concurrent use.
class distance_table {
public:
    explicit distance_table(std::string own) : own_{std::move(own)} {}

    /// Keeps the lowest time of the last minute: anything above it is queueing and not distance.
    void record(const std::string& data_centre, milliseconds round_trip, time_point now)
    {
        const auto [entry, added] = measured_.try_emplace(data_centre, sample{round_trip, now});
        sample& known = entry->second;
        if (!added && (round_trip <= known.round_trip || now - known.measured_at > memory)) {
            known = {round_trip, now};
        }
    }

    milliseconds distance(std::string_view data_centre) const
    {
        const auto found = measured_.find(data_centre);
        if (found != measured_.end()) {
            return found->second.round_trip;
        }
        return data_centre == own_ ? milliseconds{0} : unmeasured;
    }

private:
    struct sample {
        milliseconds round_trip;
        time_point measured_at;
    };

    static constexpr milliseconds memory{60'000};
    /// Round trip between neighbouring data centres of the two deployments in section 1 of the
    /// design is 1 to 3 ms.
    static constexpr milliseconds unmeasured{2};

    std::string own_;
    std::map<std::string, sample, std::less<>> measured_;
};

} // namespace chestnutstand
