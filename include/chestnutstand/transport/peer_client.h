#pragma once

#include "chestnutstand/support/name_table.h"
#include "chestnutstand/transport/call.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

/// A node process, identified by the random id that it drew at its start.
struct node_reference {
    std::uint64_t instance = 0;
    std::string address;
    std::uint16_t node_port = 0;

    friend bool operator==(const node_reference&, const node_reference&) = default;
};

/// What an executor knows of a key.
enum class settle_state : std::uint8_t { completed, running, fenced, unknown, wrong_instance };

inline constexpr name_table<settle_state, 5> settle_state_names{
    {"completed", "running", "fenced", "unknown", "wrong_instance"}};

struct settle_result {
    settle_state state = settle_state::unknown;
    /// Set when the state is completed.
    http_response response;
    /// Why the key was closed or its result is not known.
    reason_code reason = reason_code::none;
    /// Request that the key belongs to, if it was ever admitted there.
    std::optional<fingerprint> request;
};

/// Record of the configuration stream as nodes pass it on.
struct change_record {
    std::uint64_t offset = 0;
    std::string payload;
};

struct fetched_changes {
    std::vector<change_record> records;
    bool starts_with_checkpoint = false;
};

/// Calls to other nodes. Each callback runs exactly once, on any thread, possibly before the method
/// returns.
class peer_client {
public:
    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    /// Runs a call on the upstream beside the target. A lost reply ends in call_outcome::unknown
    /// with reason_code::peer_connection_lost, a failed connection in call_outcome::not_run with
    /// reason_code::peer_unreachable. Delivers the call at most once: a repeated delivery could be
    /// refused after the first one has run, and the refusal would pass for a proof.
    virtual void execute(const node_reference& target, const service_call& call,
                         call_done done) = 0;

    /// Hands a keyed call to its owner. A failed connection or a lost reply ends in
    /// call_outcome::unknown with reason_code::owner_unreachable: an earlier copy of the call may
    /// have run, so a failed connection proves nothing.
    virtual void forward(const node_reference& owner, const service_call& call, bool query_only,
                         call_done done) = 0;

    using settle_done = std::function<void(absl::StatusOr<settle_result>)>;
    /// Asks an executor about a key and fences the key if it has not started there.
    virtual void settle(const node_reference& executor, const std::string& key,
                        milliseconds timeout, settle_done done) = 0;

    using probe_done = std::function<void(absl::StatusOr<load_report>)>;
    virtual void probe(const node_reference& target, milliseconds timeout, probe_done done) = 0;

    using changes_done = std::function<void(absl::StatusOr<fetched_changes>)>;
    virtual void fetch_changes(const node_reference& target, std::uint64_t from_offset,
                               milliseconds timeout, changes_done done) = 0;

    /// Exchanges serialized member states.
    using members_done = std::function<void(absl::StatusOr<std::vector<std::string>>)>;
    virtual void sync_members(const node_reference& target, std::vector<std::string> members,
                              milliseconds timeout, members_done done) = 0;
};

} // namespace chestnutstand
