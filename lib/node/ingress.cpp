#include "chestnutstand/node/ingress.h"

#include "chestnutstand/node/call_parser.h"
#include "chestnutstand/node/problem.h"
#include "chestnutstand/transport/headers.h"

#include <absl/strings/str_cat.h>

#include <utility>
#include <variant>

namespace chestnutstand {

ingress::ingress(std::uint64_t instance, const snapshot<document>& in_force, dispatcher& dispatch,
                 metrics& stats)
    : instance_{instance}, in_force_{in_force}, dispatcher_{dispatch}, stats_{stats}
{
}

void ingress::handle(http_request request, const std::shared_ptr<responder>& response)
{
    ++in_flight_;
    if (refusing_) {
        refuse(request, *response, reason::draining, "this node is stopping");
        return;
    }
    handle_call(request, response);
}

void ingress::handle_call(const http_request& request, const std::shared_ptr<responder>& response)
{
    const time_point start = ms_clock::now();
    const auto in_force = in_force_.load();
    auto parsed = parse_call(request, in_force.get(), start);
    if (const auto* refused = std::get_if<refusal>(&parsed)) {
        refuse(request, *response, refused->why, refused->detail);
        return;
    }
    auto& what = std::get<call>(parsed);
    what.request_id = next_request_id();
    what.cancel = response->disconnected();
    latency_histogram& latency = stats_.call_latency(what.service, what.priority);
    dispatcher_.dispatch(std::move(what), [this, response, start, &latency](call_result result) {
        latency.record(ms_clock::now() - start);
        send(*response, make_response(std::move(result)));
        --in_flight_;
    });
}

// Another node may be running the key at this moment, so a call with a key cannot be said to be not
// run by a node that has not settled the key.
void ingress::refuse(const http_request& request, responder& response, reason why,
                     std::string_view detail)
{
    stats_.count(reason_event::refused, why);
    const bool keyed = find_header(request.headers, header::idempotency_key).has_value();
    send(response, make_problem(keyed ? outcome::unknown : outcome::not_run, why, detail));
    --in_flight_;
}

http_response ingress::refuse_unreadable(const request_refusal& why)
{
    stats_.count(reason_event::refused, why.why);
    // The request may carry the key of a call that is running.
    const bool keyless = why.headers && !find_header(*why.headers, header::idempotency_key);
    return make_problem(keyless ? outcome::not_run : outcome::unknown, why.why, why.detail,
                        why.status);
}

void ingress::send(responder& to, http_response response) const
{
    if (draining_) {
        response.headers.push_back({"Connection", "close"});
    }
    to.send(std::move(response));
}

std::string ingress::next_request_id()
{
    return absl::StrCat(absl::Hex(instance_), "-", next_call_++);
}

} // namespace chestnutstand
