#include "chestnutstand/node/key_router.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chestnutstand {
namespace {

/// Part of the time left that is kept for a settlement when the owner does not reply.
constexpr double settlement_share = 0.25;
constexpr milliseconds longest_settlement{2'000};

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

void key_router::run(const call& what, const call_done& done)
{
    route(what, false, done);
}

void key_router::query(const call& what, const call_done& done)
{
    route(what, true, done);
}

void key_router::receive(const call& what, bool query_only, const call_done& done)
{
    if (query_only) {
        owner_->query(what.idempotency_key, what.deadline, done);
        return;
    }
    owner_->run(what, done);
}

void key_router::route(const call& what, bool query_only, const call_done& done)
{
    const auto key = decode(what.idempotency_key, secret_);
    if (!key.ok()) {
        done(not_run(reason::malformed_key));
        return;
    }
    if (key->owner.instance == self_) {
        receive(what, query_only, done);
        return;
    }
    call forwarded = what;
    forwarded.cancel = nullptr;
    const milliseconds left = what.deadline - ms_clock::now();
    forwarded.deadline -= std::min(left * settlement_share, longest_settlement);
    peers_.forward(
        key->owner, forwarded, query_only,
        [self = shared_from_this(), what, query_only, done](call_result result) {
            if (result.outcome == outcome::unknown &&
                (result.why == reason::owner_unreachable || result.why == reason::wrong_instance)) {
                self->settle(what, query_only, done);
                return;
            }
            done(std::move(result));
        });
}

void key_router::settle(const call& what, bool query_only, const call_done& done)
{
    std::optional<fingerprint> request;
    if (!query_only) {
        request = request_fingerprint(what.request);
    }
    settlement_->settle(what.idempotency_key, request, what.deadline, done);
}

} // namespace chestnutstand
