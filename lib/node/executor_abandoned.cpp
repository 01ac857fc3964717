// Counts the requests that the executor has abandoned and that its upstream may still hold.

#include "routed_call.h"

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

#include <utility>

namespace chestnutstand {

executor::request_end executor::end_of(const http_result& result) const
{
    request_end end;
    // An upstream that closes the connection itself has ended the request.
    end.abandoned = result.error == http_error::timed_out || result.error == http_error::cancelled;
    const auto header = names_.upstream_load.empty()
                            ? std::nullopt
                            : find_header(result.response.headers, names_.upstream_load);
    if (const auto load = header ? parse_reported_load(*header) : std::nullopt) {
        end.held = load->running + load->waiting;
    }
    return end;
}

void executor::track_abandoned(const service_call& call, const request_end& end, time_point now)
{
    if (!is_routed(call)) {
        return;
    }
    if (end.abandoned) {
        stats_.counter("chestnutstand_abandoned_requests_total").fetch_add(1);
        abandoned_.add(now, usual_time_of(call, now) * slowdown_.factor(now));
    }
    if (end.held) {
        abandoned_.observe(*end.held, queue_->in_flight(), now);
    }
}

void executor::update_abandoned(time_point now)
{
    const std::uint32_t count = abandoned_.count(now);
    queue_->set_abandoned(count);
    const bool full = queue_->full_of_abandoned();
    if (full == std::exchange(full_of_abandoned_, full)) {
        return;
    }
    log_event(
        full ? log_level::warning : log_level::info,
        full ? "upstream may be full of abandoned requests" : "upstream gets calls again",
        {{"abandoned", std::uint64_t{count}}, {"in_flight", std::uint64_t{queue_->in_flight()}}});
}

} // namespace chestnutstand
