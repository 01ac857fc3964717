#pragma once

#include "chestnutstand/keys/key_owner.h"
#include "chestnutstand/keys/key_settlement.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {

/// Brings keyed calls and queries to the owner of the key, and settles the key at its candidates
/// when the owner cannot be reached. Thread-safe.
class key_router : public std::enable_shared_from_this<key_router> {
public:
    key_router(std::uint64_t self, std::string secret, peer_client& peers,
               std::shared_ptr<key_owner> owner, std::shared_ptr<key_settlement> settlement);

    absl::StatusOr<std::vector<std::string>> issue(const std::string& service, std::size_t count);

    /// Runs a keyed call. A node that cannot reach the owner never starts it.
    void run(const service_call& call, const call_done& done);

    /// Settled outcome of the key of a call; nothing else of the call but its deadline is used.
    void query(const service_call& call, const call_done& done);

    /// Serves a call or a query that another node has forwarded to this one.
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
