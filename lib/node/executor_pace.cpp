// Tracks the pace of the executor's upstream.

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <utility>

namespace chestnutstand {
namespace {

/// A healthy upstream responds to a pace probe immediately; after a probe without a pace report, no
/// call waits for another one during the backoff.
constexpr milliseconds pace_probe_timeout{50};
constexpr milliseconds pace_probe_backoff{1'000};

} // namespace

bool executor::should_wait_for_pace(const service_call& call, time_point now)
{
    if (call.repeat == repeatability::by_class || names_.upstream_load.empty() ||
        health_path().empty() || pace_.has_recent_report(now) || now < pace_probes_paused_until_) {
        return false;
    }
    return pace_probe_running_ || pace_probe_budget_.try_take(now);
}

std::string executor::health_path() const
{
    const auto* service =
        applied_ && upstream_ ? applied_->find_service(upstream_->service) : nullptr;
    return service != nullptr ? service->health_path : std::string{};
}

// A call that starts on a slow VM takes several times as long as usual, while a probe takes about a
// millisecond. So a call waits for a probe when the last pace report is old.
void executor::offer(std::uint64_t target_instance, service_call call,
                     const std::optional<key_id>& key, const call_done& done, time_point now)
{
    std::unique_lock lock{mutex_};
    apply_configuration(now);
    if (!should_wait_for_pace(call, now)) {
        lock.unlock();
        offer_to_queue(target_instance, std::move(call), key, done, now);
        return;
    }
    waiting_for_pace_.push_back({target_instance, std::move(call), done});
    if (std::exchange(pace_probe_running_, true)) {
        return;
    }
    const std::string url = upstream_->base_url;
    const std::string path = health_path();
    lock.unlock();
    probe_pace(url, path);
}

void executor::probe_pace(const std::string& base_url, const std::string& path)
{
    client_.send(base_url, {"GET", path, {}, ""}, pace_probe_timeout,
                 [this](const http_result& result) {
                     const auto now = ms_clock::now();
                     observe_pace(result, now);
                     std::vector<waiting_call> waiting_calls;
                     {
                         const std::lock_guard lock{mutex_};
                         pace_probe_running_ = false;
                         waiting_calls.swap(waiting_for_pace_);
                         if (!pace_.has_recent_report(now)) {
                             pace_probes_paused_until_ = now + pace_probe_backoff;
                         }
                     }
                     for (auto& waiting : waiting_calls) {
                         offer_to_queue(waiting.target_instance, std::move(waiting.call),
                                        std::nullopt, waiting.done, now);
                     }
                     poll(now);
                 });
}

// Passes the pace to the queue, which holds calls back while the upstream is slow.
void executor::update_queue_pace(time_point now)
{
    if (queue_) {
        queue_->set_slowdown(pace_.slow(now) ? pace_.factor(now) : 1.0);
    }
}

void executor::observe_pace(const http_result& result, time_point now)
{
    const auto reported = find_header(result.response.headers, names_.upstream_load);
    if (!reported) {
        return;
    }
    const auto load = parse_reported_load(*reported);
    if (!load) {
        log_event(log_level::warning, "load header not readable",
                  {{"value", std::string{*reported}}});
        return;
    }
    const std::lock_guard lock{mutex_};
    pace_.observe(load->pace, now);
    update_queue_pace(now);
}

// Otherwise a slow upstream that gets no calls would not report that it is back to its usual pace.
void executor::probe_stale_pace(time_point now)
{
    std::string url;
    std::string path;
    {
        const std::lock_guard lock{mutex_};
        path = health_path();
        if (pace_probe_running_ || path.empty() || !pace_.needs_refresh(now)) {
            return;
        }
        pace_probe_running_ = true;
        url = upstream_->base_url;
    }
    probe_pace(url, path);
}

} // namespace chestnutstand
