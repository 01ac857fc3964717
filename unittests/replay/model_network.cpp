#include "model_network.h"

#include <absl/status/status.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds latency_within_data_centre{0.1};

} // namespace

milliseconds model_network::one_way(const model_member& target) const
{
    return target.data_centre() == data_centre_ ? latency_within_data_centre
                                                : latency_between_data_centres_;
}

void model_network::execute(const node_reference& target, const service_call& call, call_done done)
{
    model_member& member = find_(target.instance);
    const milliseconds delay = one_way(member);
    // The call ends with its response, its cancellation or its deadline, whichever comes first.
    const auto pending_done = std::make_shared<call_done>(std::move(done));
    const auto end = [pending_done](call_result result) {
        if (const auto done_now = std::exchange(*pending_done, nullptr)) {
            done_now(std::move(result));
        }
    };
    const milliseconds left = std::max(milliseconds{0}, call.deadline - loop_.now());
    loop_.after(left, [end] { end(unknown_outcome(reason_code::deadline_exceeded)); });
    if (call.cancel) {
        call.cancel->on_cancel([end] { end(unknown_outcome(reason_code::caller_gone)); });
    }
    loop_.after(delay, [this, &member, call, delay, end] {
        if (member.silent) {
            return;
        }
        member.execute(call, [this, &member, delay, end](call_result result) {
            if (member.silent) {
                return;
            }
            loop_.after(delay, [end, result = std::move(result)] { end(result); });
        });
    });
}

void model_network::probe(const node_reference& target, milliseconds timeout, probe_done done)
{
    model_member& member = find_(target.instance);
    const milliseconds delay = one_way(member);
    loop_.after(delay, [this, &member, delay, timeout, done = std::move(done)] {
        if (member.silent) {
            loop_.after(timeout, [done] {
                done(absl::DeadlineExceededError("no response from the modelled member"));
            });
            return;
        }
        loop_.after(delay, [done, report = member.report()] { done(report); });
    });
}

} // namespace chestnutstand
