// Counts the requests that the executor has abandoned and that its upstream may still hold.

#include "routed_call.h"

#include "chestnutstand/admission/reported_load.h"
#include "chestnutstand/node/executor.h"

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
        abandoned_.add(now, usual_time_of(call, now) * slowdown_.factor(now));
    }
    if (end.held) {
        abandoned_.observe(*end.held, queue_->in_flight(), now);
    }
}

} // namespace chestnutstand
