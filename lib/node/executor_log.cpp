// Log lines of the executor: one for each executed or refused call.

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

namespace chestnutstand {

void executor::log_execution(const call_execution& execution, const call_result& result,
                             time_point now) const
{
    const bool completed = result.outcome == call_outcome::completed;
    log_event(log_level::info, "call executed",
              {{"request_id", execution.call.request_id},
               {"upstream", execution.upstream.id},
               {"class", execution.call.priority},
               {"outcome", std::string{to_string(result.outcome)}},
               {"reason", std::string{to_string(result.reason)}},
               {"status", std::int64_t{completed ? result.response.status : 0}},
               {"waited_ms", (execution.started_at - execution.offered_at).count()},
               {"run_ms", (now - execution.started_at).count()},
               {"in_flight", std::uint64_t{result.load ? result.load->in_flight : 0}},
               {"limit", std::uint64_t{result.load ? result.load->limit : 0}},
               {"rate_limit", execution.rate_limit.value_or(0.0)},
               {"pace", result.load ? result.load->pace : 1.0}});
}

void executor::log_refusal(const refused_call& refused)
{
    std::uint64_t queued = 0;
    for (const auto& queue : refused.load.queues) {
        queued += queue.length;
    }
    log_event(log_level::info, "call refused",
              {{"request_id", refused.request_id},
               {"reason", std::string{to_string(refused.reason)}},
               {"in_flight", std::uint64_t{refused.load.in_flight}},
               {"queued", queued},
               {"limit", std::uint64_t{refused.load.limit}},
               {"latency_ms", refused.load.latency.count()},
               {"pace", refused.load.pace}});
}

} // namespace chestnutstand
