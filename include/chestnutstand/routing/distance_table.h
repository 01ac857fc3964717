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
    explicit distance_table(std::string local_data_centre)
        : local_data_centre_{std::move(local_data_centre)}
    {
    }

    /// Keeps the lowest round-trip time of the last minute, because the time above the minimum is
    /// queueing delay and not distance.
    void record(const std::string& data_centre, milliseconds round_trip, time_point now)
    {
        const auto [entry, added] = measured_.try_emplace(data_centre, sample{round_trip, now});
        sample& minimum = entry->second;
        if (!added &&
            (round_trip <= minimum.round_trip || now - minimum.measured_at > minimum_lifetime)) {
            minimum = {round_trip, now};
        }
    }

    milliseconds distance(std::string_view data_centre) const
    {
        const auto found = measured_.find(data_centre);
        if (found != measured_.end()) {
            return found->second.round_trip;
        }
        return data_centre == local_data_centre_ ? milliseconds{0} : default_round_trip;
    }

private:
    struct sample {
        milliseconds round_trip;
        time_point measured_at;
    };

    static constexpr milliseconds minimum_lifetime{60'000};
    /// The round trip between neighbouring data centres of the two deployments in section 1 of the
    /// design takes 1 to 3 ms.
    static constexpr milliseconds default_round_trip{2};

    std::string local_data_centre_;
    std::map<std::string, sample, std::less<>> measured_;
};

} // namespace chestnutstand
