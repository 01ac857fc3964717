#include "chestnutstand/node/upstream_registry.h"

#include <utility>

namespace chestnutstand {
namespace {

// Five missed announcements of one per second.
constexpr milliseconds lease_time{5'000};

} // namespace

upstream_registry::upstream_registry(listener changed) : changed_{std::move(changed)} {}

void upstream_registry::announce(local_upstream upstream, time_point now)
{
    lease_end_ = now + lease_time;
    if (current_ == upstream) {
        return;
    }
    current_ = std::move(upstream);
    changed_(current_);
}

void upstream_registry::withdraw()
{
    if (current_) {
        current_.reset();
        changed_(current_);
    }
}

void upstream_registry::expire(time_point now)
{
    if (now >= lease_end_) {
        withdraw();
    }
}

} // namespace chestnutstand
