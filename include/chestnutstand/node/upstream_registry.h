#pragma once

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/clock.h"

#include <functional>
#include <optional>

namespace chestnutstand {

/// Lease of the upstream beside this node. Used on the control thread only.
class upstream_registry {
public:
    using listener = std::function<void(const std::optional<local_upstream>&)>;

    /// The listener runs when an upstream appears, changes or goes.
    explicit upstream_registry(listener changed);

    /// Registers the upstream or renews its lease.
    void announce(local_upstream upstream, time_point now);

    void withdraw();

    /// Withdraws the upstream when its lease has expired.
    void expire(time_point now);

    const std::optional<local_upstream>& current() const { return current_; }

private:
    listener changed_;
    std::optional<local_upstream> current_;
    time_point lease_end_;
};

} // namespace chestnutstand
