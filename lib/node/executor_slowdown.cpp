// Tracks the slowdown of the executor's upstream.

#include "routed_call.h"

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <utility>

namespace chestnutstand {
namespace {

/// A healthy upstream responds to a slowdown probe immediately; after a probe without a slowdown
/// report, no call waits for another one during the backoff.
constexpr milliseconds slowdown_probe_timeout{50};
constexpr milliseconds slowdown_probe_backoff{1'000};

} // namespace

bool executor::should_wait_for_slowdown(const service_call& call, time_point now)
{
    // Probes are requests too, and an upstream with a rate limit needs these for calls.
    if (evacuated_ || !is_routed(call) || names_.upstream_load.empty() || health_path().empty() ||
        statement_.rate_limit() || slowdown_.has_fresh_report(usual_time_of(call, now), now) ||
        now < slowdown_probes_paused_until_) {
        return false;
    }
    return slowdown_probe_running_ || slowdown_probe_budget_.try_take(now);
}

milliseconds executor::usual_time_of(const service_call& call, time_point now) const
{
    const auto priority = queue_ ? find_class(call) : std::nullopt;
    return priority ? queue_->service_time(*priority, now) : milliseconds{0};
}

std::string executor::health_path() const
{
    const auto* service =
        applied_ && upstream_ ? applied_->find_service(upstream_->service) : nullptr;
    return service != nullptr ? service->health_path : std::string{};
}

// A call that starts on a slow VM takes several times as long as usual, while a probe takes about a
// millisecond. So a routed call waits for a probe when the last slowdown report is old.
void executor::offer(std::uint64_t target_instance, service_call call,
                     const std::optional<key_id>& key, const call_done& done, time_point now)
{
    std::unique_lock lock{mutex_};
    apply_configuration(now);
    if (!should_wait_for_slowdown(call, now)) {
        lock.unlock();
        offer_to_queue(target_instance, std::move(call), key, done, now);
        return;
    }
    // Only routed calls wait, and they have no key.
    waiting_for_slowdown_.push_back({target_instance, std::move(call), done});
    if (std::exchange(slowdown_probe_running_, true)) {
        return;
    }
    const local_upstream asked = *upstream_;
    const std::string path = health_path();
    lock.unlock();
    probe_slowdown(asked, path);
}

void executor::probe_slowdown(const local_upstream& asked, const std::string& path)
{
    const auto sent = ms_clock::now();
    client_.send(asked.base_url, make_probe_request(path), slowdown_probe_timeout,
                 [this, asked, sent](const http_result& result) {
                     const auto now = ms_clock::now();
                     observe_slowdown(result, now);
                     if (result.error == http_error::none) {
                         observe_cold_header(asked, result.response, sent, true);
                     }
                     std::vector<waiting_routed_call> waiting_calls;
                     {
                         const std::lock_guard lock{mutex_};
                         slowdown_probe_running_ = false;
                         if (end_of(result).abandoned) {
                             abandoned_.add(now, milliseconds{0});
                         }
                         waiting_calls.swap(waiting_for_slowdown_);
                         if (!slowdown_.has_fresh_report(milliseconds{0}, now)) {
                             slowdown_probes_paused_until_ = now + slowdown_probe_backoff;
                         }
                     }
                     for (auto& waiting : waiting_calls) {
                         offer_to_queue(waiting.target_instance, std::move(waiting.call),
                                        std::nullopt, waiting.done, now);
                     }
                     poll(now);
                 });
}

// Passes the slowdown to the queue, which holds calls back while the upstream is slow.
void executor::update_queue_slowdown(time_point now)
{
    if (queue_) {
        queue_->set_slowdown(slowdown_.slow(now) ? slowdown_.factor(now) : 1.0);
    }
}

void executor::observe_slowdown(const http_result& result, time_point now)
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
    slowdown_.observe(load->slowdown, now);
    update_queue_slowdown(now);
}

// A slow upstream that gets no calls sends no responses, and so cannot report there that it is back
// to its usual speed. The probe asks for the report.
void executor::probe_stale_slowdown(time_point now)
{
    local_upstream asked;
    std::string path;
    {
        const std::lock_guard lock{mutex_};
        path = health_path();
        if (slowdown_probe_running_ || path.empty() || !slowdown_.needs_refresh(now)) {
            return;
        }
        slowdown_probe_running_ = true;
        asked = *upstream_;
    }
    probe_slowdown(asked, path);
}

} // namespace chestnutstand
