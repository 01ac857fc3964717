#include "chestnutstand/node/key_router.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chestnutstand {
namespace {

/// Part of the remaining time that is reserved for settling the key if the owner does not reply.
constexpr double settlement_share = 0.25;
constexpr milliseconds max_settlement_time{2'000};

} // namespace

key_router::key_router(std::uint64_t self, std::string secret, peer_client& peers,
                       std::shared_ptr<key_owner> owner, std::shared_ptr<key_settlement> settlement)
    : self_{self}, secret_{std::move(secret)}, peers_{peers}, owner_{std::move(owner)},
      settlement_{std::move(settlement)}
{
}

absl::StatusOr<std::vector<std::string>> key_router::issue(const std::string& service,
                                                           std::size_t count)
{
    return owner_->issue(service, count);
}

void key_router::run(const service_call& call, const call_done& done)
{
    route(call, false, done);
}

void key_router::query(const service_call& call, const call_done& done)
{
    route(call, true, done);
}

void key_router::receive(const service_call& call, bool query_only, const call_done& done)
{
    if (query_only) {
        owner_->query(call.idempotency_key, call.deadline, done);
        return;
    }
    owner_->run(call, done);
}

void key_router::route(const service_call& call, bool query_only, const call_done& done)
{
    const auto key = decode(call.idempotency_key, secret_);
    if (!key.ok()) {
        done(not_run(reason_code::malformed_key));
        return;
    }
    if (key->owner.instance == self_) {
        receive(call, query_only, done);
        return;
    }
    service_call forwarded = call;
    forwarded.cancel = nullptr;
    const milliseconds remaining = call.deadline - ms_clock::now();
    forwarded.deadline -= std::min(remaining * settlement_share, max_settlement_time);
    peers_.forward(key->owner, forwarded, query_only,
                   [self = shared_from_this(), call, query_only, done](call_result result) {
                       if (result.outcome == call_outcome::unknown &&
                           (result.reason == reason_code::owner_unreachable ||
                            result.reason == reason_code::wrong_instance)) {
                           self->settle(call, query_only, done);
                           return;
                       }
                       done(std::move(result));
                   });
}

void key_router::settle(const service_call& call, bool query_only, const call_done& done)
{
    std::optional<fingerprint> request;
    if (!query_only) {
        request = request_fingerprint(call.request);
    }
    settlement_->settle(call.idempotency_key, request, call.deadline, done);
}

} // namespace chestnutstand
