#pragma once

#include "chestnutstand/admission/cold_limit.h"
#include "chestnutstand/admission/rate_limit.h"

#include <algorithm>
#include <optional>

namespace chestnutstand {

/// The limits of the requests per second that may start on an upstream: the one that it names, and
/// the one that applies while it is cold. The lower one counts.
class start_limit {
public:
    rate_limit& named() { return named_; }
    cold_limit& cold() { return cold_; }
    const cold_limit& cold() const { return cold_; }

    bool allows(time_point now) const { return named_.allows(now) && cold_.allows(now); }

    /// Takes the tokens of a request that starts now; false if it may not.
    bool try_take(time_point now)
    {
        return allows(now) && named_.try_take(now) && cold_.try_take(now);
    }

    milliseconds wait_for(double requests, time_point now) const
    {
        return std::max(named_.wait_for(requests, now), cold_.wait_for(requests, now));
    }

    std::optional<double> per_second(time_point now) const
    {
        const auto named = named_.per_second();
        const auto cold = cold_.per_second(now);
        return named && cold ? std::min(named, cold) : (named ? named : cold);
    }

    /// Whether the cold limit is the one that counts.
    bool is_cold_limit(time_point now) const
    {
        const auto named = named_.per_second();
        const auto cold = cold_.per_second(now);
        return cold && (!named || *cold <= *named);
    }

private:
    rate_limit named_;
    cold_limit cold_;
};

} // namespace chestnutstand
