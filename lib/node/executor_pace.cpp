// The part of the executor that follows the pace of its upstream.

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <utility>

namespace chestnutstand {
namespace {

/// The upstream answers at once; one that does not is not asked again for a while.
constexpr milliseconds pace_probe_timeout{50};
constexpr milliseconds pace_probe_pause{1'000};

} // namespace

bool executor::needs_fresh_pace(const service_call& call, time_point now)
{
    if (call.repeat == repeatability::by_class || names_.upstream_load.empty() ||
        health_path().empty() || pace_.has_recent_report(now) || now < no_pace_until_) {
        return false;
    }
    return probing_pace_ || pace_probes_.try_take(now);
}

/// Path of the upstream whose answer carries its load; empty when there is none.
std::string executor::health_path() const
{
    const auto* service =
        applied_ && upstream_ ? applied_->find_service(upstream_->service) : nullptr;
    return service != nullptr ? service->health_path : std::string{};
}

/// A call that starts on a slow VM takes several times as long, while the question costs about a
/// millisecond. So a call waits for the answer when nothing has been heard for a while.
void executor::offer(std::uint64_t target_instance, service_call call,
                     const std::optional<key_id>& key, const call_done& done, time_point now)
{
    std::unique_lock lock{mutex_};
    apply_configuration(now);
    if (!needs_fresh_pace(call, now)) {
        lock.unlock();
        offer_with_known_pace(target_instance, std::move(call), key, done, now);
        return;
    }
    waiting_for_pace_.push_back({target_instance, std::move(call), done});
    if (std::exchange(probing_pace_, true)) {
        return;
    }
    const std::string url = upstream_->base_url;
    const std::string path = health_path();
    lock.unlock();
    ask_pace(url, path);
}

void executor::ask_pace(const std::string& base_url, const std::string& path)
{
    client_.send(base_url, {"GET", path, {}, ""}, pace_probe_timeout,
                 [this](const http_result& result) {
                     const auto now = ms_clock::now();
                     observe_pace(result, now);
                     std::vector<waiting_call> waiting;
                     {
                         const std::lock_guard lock{mutex_};
                         probing_pace_ = false;
                         waiting.swap(waiting_for_pace_);
                         if (!pace_.has_recent_report(now)) {
                             no_pace_until_ = now + pace_probe_pause;
                         }
                     }
                     for (auto& each : waiting) {
                         offer_with_known_pace(each.target_instance, std::move(each.call),
                                               std::nullopt, each.done, now);
                     }
                     poll(now);
                 });
}

/// Hands the pace to the queue, which holds requests while the upstream is slow.
void executor::follow_pace(time_point now)
{
    if (queue_) {
        queue_->set_pace(pace_.slow(now) ? pace_.factor(now) : 1.0);
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
    follow_pace(now);
}

/// Asks a slow upstream that has not been heard of for a while, so that it gets work again as soon
/// as it is back to its usual pace.
void executor::refresh_pace(time_point now)
{
    std::string url;
    std::string path;
    {
        const std::lock_guard lock{mutex_};
        path = health_path();
        if (probing_pace_ || path.empty() || !pace_.needs_refresh(now)) {
            return;
        }
        probing_pace_ = true;
        url = upstream_->base_url;
    }
    ask_pace(url, path);
}

} // namespace chestnutstand
