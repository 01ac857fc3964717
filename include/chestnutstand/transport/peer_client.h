#pragma once

#include "chestnutstand/support/name_table.h"
#include "chestnutstand/transport/call.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {

/// Address of a node process, which is identified by a random id generated at its start.
struct node_reference {
    std::uint64_t instance = 0;
    std::string address;
    std::uint16_t node_port = 0;

    friend bool operator==(const node_reference&, const node_reference&) = default;
};

/// State of an idempotency key at an executor.
enum class settle_state : std::uint8_t { completed, running, fenced, unknown, wrong_instance };

inline constexpr name_table<settle_state, 5> settle_state_names{
    {"completed", "running", "fenced", "unknown", "wrong_instance"}};

struct settle_result {
    settle_state state = settle_state::unknown;
    /// Set when the state is completed.
    http_response response;
    /// Why the key was refused or fenced, or why its result is unknown.
    reason_code reason = reason_code::none;
    /// Digest of the request that the key was admitted with; unset if it never was.
    std::optional<fingerprint> request;
};

/// Record of the configuration stream, as exchanged between nodes.
struct change_record {
    std::uint64_t offset = 0;
    std::string payload;
    /// The payload as compress() returns it, which is sent in its place; empty if it is sent as is.
    std::string compressed = {};
};

/// What a node asks another one for.
struct fetch_request {
    /// Position of the sender's document.
    std::uint64_t from_offset = 0;
    /// Whether the receiver shall read the source of the document first, because the sender cannot
    /// reach it.
    bool read_source = false;
    /// Where to read the source: the offset after the last record that the sender has read, and the
    /// era of the offset. 0 if it does not know one.
    std::uint64_t source_offset = 0;
    std::uint64_t source_era = 0;
    /// Whether the sender reads compressed payloads. Nodes of older versions do not.
    bool accepts_compressed = false;
};

struct fetched_changes {
    std::vector<change_record> records;
    bool starts_with_checkpoint = false;
    /// Whether the receiver has read the source of the document as it was asked to.
    bool source_read = false;
};

enum class quota_request_kind : std::uint8_t {
    acquire,   ///< From an entry node.
    relayed,   ///< Passed on by a node that is not the owner, or is not ready to be it.
    take_over, ///< From a new owner to its predecessor.
};

/// Request for tokens of a tenant's quota.
struct quota_request {
    std::string tenant;
    std::uint32_t tokens = 0;
    /// Version of the document in force at the sender.
    std::uint64_t document_version = 0;
    quota_request_kind kind = quota_request_kind::acquire;
    /// Instance that sends this message.
    std::uint64_t sender = 0;
    /// Number of members that the sender has known, live or lost.
    std::uint32_t members_known = 0;
};

struct quota_reply {
    std::uint32_t granted = 0;
    /// Time until the bucket will hold the tokens that were not granted.
    milliseconds retry_after{0};
    /// Whether the receiver could decide; if not, nothing was granted.
    bool decided = false;
    /// Number of members that the receiver has known, live or lost.
    std::uint32_t members_known = 0;
};

/// Asynchronous client for other nodes. Each callback runs exactly once, on any thread, possibly
/// before the method returns.
class peer_client {
public:
    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    /// Runs a call on the target's upstream. A lost reply yields call_outcome::unknown with
    /// reason_code::peer_connection_lost, a failed connection call_outcome::not_run with
    /// reason_code::peer_unreachable. Delivers the call at most once: a second delivery could be
    /// refused after the first one has run, and the refusal would wrongly prove that the call did
    /// not run.
    virtual void execute(const node_reference& target, const service_call& call,
                         call_done done) = 0;

    /// Forwards a call with an idempotency key to the node that owns the key. A failed connection
    /// or a lost reply yields call_outcome::unknown with reason_code::owner_unreachable: an earlier
    /// copy of the call may have run, so a failed connection does not prove that the call did not
    /// run.
    virtual void forward(const node_reference& owner, const service_call& call, bool query_only,
                         call_done done) = 0;

    using settle_done = std::function<void(absl::StatusOr<settle_result>)>;
    /// Queries the state of a key at an executor and fences the key if its call has not started.
    virtual void settle(const node_reference& executor, const std::string& key,
                        milliseconds timeout, settle_done done) = 0;

    using probe_done = std::function<void(absl::StatusOr<load_report>)>;
    virtual void probe(const node_reference& target, milliseconds timeout, probe_done done) = 0;

    /// The timeout bounds the time until the response begins; over HTTP, a large one may take a few
    /// seconds more to arrive.
    using changes_done = std::function<void(absl::StatusOr<fetched_changes>)>;
    virtual void fetch_changes(const node_reference& target, const fetch_request& request,
                               milliseconds timeout, changes_done done) = 0;

    /// Exchanges serialized member states.
    using members_done = std::function<void(absl::StatusOr<std::vector<std::string>>)>;
    virtual void sync_members(const node_reference& target, std::vector<std::string> members,
                              milliseconds timeout, members_done done) = 0;

    /// Requests tokens of a tenant's quota. Clients of nodes without quotas need not implement it.
    using quota_done = std::function<void(absl::StatusOr<quota_reply>)>;
    virtual void acquire_quota(const node_reference& /*target*/, const quota_request& /*request*/,
                               milliseconds /*timeout*/, quota_done done)
    {
        const auto reply = std::move(done);
        reply(absl::UnimplementedError("this client requests no quotas"));
    }
};

} // namespace chestnutstand
