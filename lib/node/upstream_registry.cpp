#include "chestnutstand/node/upstream_registry.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

// Five missed heartbeats at one per second.
constexpr milliseconds lease_time{5'000};
// Upstream processes replace each other at one address, and delayed messages of older ones are
// rare.
constexpr std::size_t max_departures = 16;
// A delayed heartbeat is a single one; a running upstream whose health response is wrong keeps
// sending them.
constexpr std::uint32_t heartbeats_to_admit = 3;

} // namespace

upstream_registry::upstream_registry(listener changed) : changed_{std::move(changed)} {}

bool upstream_registry::is_outdated(const upstream_heartbeat& heartbeat) const
{
    if (heartbeat.born_ms != born_ms_) {
        return heartbeat.born_ms < born_ms_;
    }
    return heartbeat.upstream.id == id_ && heartbeat.sequence < sequence_;
}

bool upstream_registry::has_left(const std::string& id, std::uint64_t born_ms) const
{
    return std::any_of(departures_.begin(), departures_.end(), [&](const departure& departed) {
        return departed.id == id && born_ms <= departed.born_until_ms;
    });
}

void upstream_registry::verify_processes_born_before(std::uint64_t unix_ms, verifier verify)
{
    verify_before_ms_ = unix_ms;
    verify_ = std::move(verify);
}

bool upstream_registry::check_admission(const upstream_heartbeat& heartbeat, bool is_repeated)
{
    if (confirmed_ || !verify_) {
        return true;
    }
    unconfirmed_upstream_ = heartbeat.upstream;
    unconfirmed_heartbeats_ += is_repeated ? 0 : 1;
    if (unconfirmed_heartbeats_ >= heartbeats_to_admit) {
        confirmed_ = true;
        return true;
    }
    verify_(unconfirmed_upstream_, born_ms_);
    return false;
}

void upstream_registry::verify_waiting()
{
    if (verify_ && !confirmed_ && unconfirmed_heartbeats_ > 0 && !has_left(id_, born_ms_)) {
        verify_(unconfirmed_upstream_, born_ms_);
    }
}

void upstream_registry::confirm(const std::string& id, std::uint64_t born_ms, time_point now)
{
    if (id != id_ || born_ms != born_ms_ || has_left(id, born_ms) || confirmed_) {
        return;
    }
    confirmed_ = true;
    admit(unconfirmed_upstream_, now);
}

heartbeat_result upstream_registry::announce(const upstream_heartbeat& heartbeat, time_point now)
{
    const auto& upstream = heartbeat.upstream;
    if (is_outdated(heartbeat)) {
        log_event(log_level::warning, "heartbeat outdated",
                  {{"upstream", upstream.id},
                   {"sequence", heartbeat.sequence},
                   {"born_ms", heartbeat.born_ms},
                   {"known_sequence", sequence_},
                   {"known_born_ms", born_ms_}});
        return heartbeat_result::outdated;
    }
    const bool is_new_process = upstream.id != id_ || heartbeat.born_ms != born_ms_;
    if (is_new_process) {
        log_event(log_level::info, "upstream process started",
                  {{"upstream", upstream.id},
                   {"service", upstream.service},
                   {"born_ms", heartbeat.born_ms},
                   {"before", id_}});
        id_ = upstream.id;
        born_ms_ = heartbeat.born_ms;
        confirmed_ = heartbeat.born_ms >= verify_before_ms_;
        unconfirmed_heartbeats_ = 0;
    }
    const bool is_repeated =
        !is_new_process && heartbeat.sequence != 0 && heartbeat.sequence == sequence_;
    sequence_ = heartbeat.sequence;
    if (heartbeat.state == upstream_state::draining) {
        leave(id_, born_ms_, born_ms_);
    }
    if (!has_left(id_, born_ms_) && check_admission(heartbeat, is_repeated)) {
        admit(upstream, now);
    }
    return heartbeat_result::accepted;
}

void upstream_registry::admit(local_upstream upstream, time_point now)
{
    lease_end_ = now + lease_time;
    renewed_(lease_end_);
    if (current_ == upstream) {
        return;
    }
    current_ = std::move(upstream);
    log_event(log_level::info, "upstream admitted",
              {{"upstream", current_->id},
               {"service", current_->service},
               {"url", current_->base_url},
               {"slots", std::uint64_t{current_->slots}}});
    changed_(current_);
}

void upstream_registry::leave(const std::string& id, std::uint64_t born_ms,
                              std::uint64_t unix_now_ms)
{
    const bool known = id == id_;
    std::uint64_t born_until = born_ms;
    if (born_until == 0) {
        born_until = known ? born_ms_ : unix_now_ms;
    }
    const bool already_recorded =
        std::any_of(departures_.begin(), departures_.end(), [&](const auto& departed) {
            return departed.id == id && departed.born_until_ms >= born_until;
        });
    if (!already_recorded) {
        departures_.push_back({id, born_until});
        if (departures_.size() > max_departures) {
            departures_.pop_front();
        }
        log_event(log_level::info, "upstream leaves",
                  {{"upstream", id}, {"known", known}, {"born_until_ms", born_until}});
    }
    if (known && born_ms_ <= born_until) {
        withdraw();
    }
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
    if (current_ && now >= lease_end_) {
        log_event(log_level::warning, "upstream lease expired", {{"upstream", current_->id}});
        withdraw();
    }
}

} // namespace chestnutstand
