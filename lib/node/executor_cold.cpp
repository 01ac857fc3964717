// Learns whether the executor's upstream is cold, and asks it in time.

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chestnutstand {
namespace {

/// An upstream under load answers a health check within some ten milliseconds. Its requests may
/// wait for the answer, so that a lost one is repeated soon.
constexpr milliseconds cold_check_timeout{250};
/// At most 20 health checks per second. With the 30 per second of the slowdown probes, this is less
/// than the 60 per second that the deployment platforms allow.
constexpr milliseconds cold_check_interval{50};
/// Longest interval between checks that say nothing, as of an upstream whose health path fails.
constexpr milliseconds max_cold_check_interval{1'000};
constexpr int status_ok = 200;

bool same_process(const local_upstream& left, const local_upstream& right)
{
    return left.id == right.id && left.born_ms == right.born_ms &&
           left.base_url == right.base_url && left.service == right.service;
}

} // namespace

bool executor::can_ask_whether_cold() const
{
    return !names_.upstream_cold.empty() && !health_path().empty();
}

// Without a way to ask the upstream, it is limited for the time that its heartbeats state, and
// after its start for the time that the document states.
void executor::apply_cold_limit(time_point now)
{
    const auto* service =
        applied_ && upstream_ ? applied_->find_service(upstream_->service) : nullptr;
    if (!queue_ || service == nullptr) {
        return;
    }
    const bool applies = can_ask_whether_cold() || now < stated_cold_until_;
    queue_->cold().configure(applies ? service->cold_per_s : 0.0, now);
}

void executor::observe_new_process(const std::optional<local_upstream>& next, time_point now)
{
    if (next && upstream_ && same_process(*next, *upstream_)) {
        return;
    }
    const auto* service = applied_ && next ? applied_->find_service(next->service) : nullptr;
    const double cold_start_s = service != nullptr ? service->cold_start_s : 0.0;
    stated_cold_until_ = now + milliseconds{cold_start_s * 1'000.0};
    if (queue_) {
        queue_->cold().forget();
    }
}

void executor::observe_heartbeat(const local_upstream& sender, milliseconds cold_left,
                                 time_point now)
{
    cold_change change;
    {
        const std::lock_guard lock{mutex_};
        if (!upstream_ || !same_process(sender, *upstream_)) {
            return;
        }
        stated_cold_until_ = now + cold_left;
        apply_cold_limit(now);
        // A heartbeat may arrive late. One that says that the upstream is not cold is therefore no
        // proof that it is not by now.
        if (queue_ && cold_left > milliseconds{0}) {
            change = observe_cold_time(cold_left, now, now);
        }
    }
    log_cold_change(sender, change);
}

void executor::observe_cold_header(const local_upstream& sender, const http_response& response,
                                   time_point sent, bool is_health_check)
{
    if (names_.upstream_cold.empty()) {
        return;
    }
    const auto header = find_header(response.headers, names_.upstream_cold);
    const auto left = header ? parse_cold_time(*header) : std::nullopt;
    if (header && !left) {
        log_event(log_level::warning, "cold time of the upstream not readable",
                  {{"upstream", sender.id}, {"value", std::string{*header}}});
        return;
    }
    // An upstream that is not cold may leave the header out of the responses of its health path.
    if (!left && (!is_health_check || response.status != status_ok)) {
        return;
    }
    cold_change change;
    {
        const std::lock_guard lock{mutex_};
        if (!queue_ || !upstream_ || !same_process(sender, *upstream_)) {
            return;
        }
        const auto now = ms_clock::now();
        cold_check_backoff_ = cold_check_interval;
        next_cold_check_ = std::min(next_cold_check_, now + cold_check_interval);
        change = observe_cold_time(left.value_or(milliseconds{0}), sent, now);
    }
    log_cold_change(sender, change);
}

executor::cold_change executor::observe_cold_time(milliseconds left, time_point sent,
                                                  time_point now)
{
    auto& limit = queue_->cold();
    cold_change change;
    change.left = left;
    if (left > milliseconds{0}) {
        const bool was_cold = limit.cold();
        limit.observe_cold(left, now);
        change.began = !was_cold && limit.cold();
    }
    else {
        change.ended = limit.observe_warm(sent, now);
    }
    return change;
}

void executor::log_cold_change(const local_upstream& sender, const cold_change& change)
{
    if (change.began) {
        ++stats_.counter("chestnutstand_cold_phases_total");
        stats_.counter("chestnutstand_upstream_cold") = 1;
        log_event(log_level::info, "upstream is cold",
                  {{"upstream", sender.id}, {"left_ms", change.left.count()}});
    }
    if (change.ended) {
        stats_.counter("chestnutstand_upstream_cold") = 0;
        log_event(log_level::info, "upstream is not cold", {{"upstream", sender.id}});
    }
}

void executor::check_cold(time_point now)
{
    local_upstream asked;
    std::string path;
    {
        const std::lock_guard lock{mutex_};
        // The response to a slowdown probe states the same.
        if (!queue_ || !upstream_ || cold_check_running_ || slowdown_probe_running_ ||
            now < next_cold_check_ || !can_ask_whether_cold() ||
            !queue_->cold().needs_statement(now)) {
            return;
        }
        cold_check_running_ = true;
        cold_check_backoff_ =
            std::clamp(cold_check_backoff_, cold_check_interval, max_cold_check_interval);
        next_cold_check_ = now + cold_check_backoff_;
        cold_check_backoff_ = cold_check_backoff_ * 2.0;
        asked = *upstream_;
        path = health_path();
    }
    ++stats_.counter("chestnutstand_cold_checks_total");
    auto request = make_probe_request(path);
    request.fresh_connection = last_cold_check_failed_;
    const std::string url = asked.base_url;
    client_.send(url, std::move(request), cold_check_timeout,
                 [this, asked = std::move(asked), now](const http_result& result) {
                     last_cold_check_failed_ = result.error != http_error::none;
                     if (!last_cold_check_failed_) {
                         observe_slowdown(result, ms_clock::now());
                         observe_cold_header(asked, result.response, now, true);
                     }
                     {
                         const std::lock_guard lock{mutex_};
                         cold_check_running_ = false;
                     }
                     // Calls may have waited for the statement.
                     poll(ms_clock::now());
                 });
}

} // namespace chestnutstand
