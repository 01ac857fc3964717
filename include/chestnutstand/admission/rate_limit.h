#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/token_bucket.h"

#include <optional>

namespace chestnutstand {

/// Limit of the requests per second that an upstream takes, which can change at any time. Does no
/// I/O and reads no clock. Not thread-safe.
class rate_limit {
public:
    /// Sets the limit; nullopt for none. The first limit starts without saved tokens.
    void set(std::optional<double> per_second, time_point now);

    std::optional<double> per_second() const { return per_second_; }

    /// Whether a request may start now.
    bool allows(time_point now) const;

    /// Takes the token of a request that starts now; false if it may not.
    bool try_take(time_point now);

    /// Time until this many requests may have started.
    milliseconds wait_for(double requests, time_point now) const;

private:
    std::optional<double> per_second_;
    /// Refilling it does not change what it stands for.
    mutable std::optional<token_bucket> tokens_;
};

} // namespace chestnutstand
