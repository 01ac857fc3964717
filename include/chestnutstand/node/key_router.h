#pragma once

#include "chestnutstand/keys/key_owner.h"
#include "chestnutstand/keys/key_settlement.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {

/// Forwards calls and queries with an idempotency key to the owner of the key. If the owner cannot
/// be reached, settles the key at its candidates. Thread-safe.
class key_router : public std::enable_shared_from_this<key_router> {
public:
    key_router(std::uint64_t self, std::string secret, peer_client& peers,
               std::shared_ptr<key_owner> owner, std::shared_ptr<key_settlement> settlement);

    /// Issues `count` idempotency keys for calls of a service.
    absl::StatusOr<std::vector<std::string>> issue(const std::string& service, std::size_t count);

    /// Runs a call with an idempotency key. This node never starts the call itself if it cannot
    /// reach the owner.
    void run(const service_call& call, const call_done& done);

    /// Reports the settled outcome of the idempotency key of `call`. Reads only the key and the
    /// deadline of the call.
    void query(const service_call& call, const call_done& done);

    /// Handles a call or query that was forwarded to this node as the owner of its key.
    void receive(const service_call& call, bool query_only, const call_done& done);

private:
    void route(const service_call& call, bool query_only, const call_done& done);
    void settle(const service_call& call, bool query_only, const call_done& done);

    const std::uint64_t self_;
    const std::string secret_;
    peer_client& peers_;
    const std::shared_ptr<key_owner> owner_;
    const std::shared_ptr<key_settlement> settlement_;
};

} // namespace chestnutstand
