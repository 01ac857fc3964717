// The log lines of the executor, one for each call that it executed or refused.

#include "chestnutstand/node/executor.h"
#include "chestnutstand/support/log.h"

namespace chestnutstand {

void executor::log_execution(const execution& what, const call_result& ended, time_point now) const
{
    const bool completed = ended.outcome == call_outcome::completed;
    log_event(log_level::info, "call executed",
              {{"request_id", what.call.request_id},
               {"upstream", what.upstream_id},
               {"class", what.call.priority},
               {"outcome", std::string{to_string(ended.outcome)}},
               {"reason", std::string{to_string(ended.reason)}},
               {"status", std::int64_t{completed ? ended.response.status : 0}},
               {"waited_ms", (what.started_at - what.offered_at).count()},
               {"run_ms", (now - what.started_at).count()},
               {"in_flight", std::uint64_t{ended.load ? ended.load->in_flight : 0}},
               {"limit", std::uint64_t{ended.load ? ended.load->limit : 0}},
               {"pace", ended.load ? ended.load->pace : 1.0}});
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
