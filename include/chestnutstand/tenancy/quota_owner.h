#pragma once

#include "chestnutstand/support/token_bucket.h"
#include "chestnutstand/tenancy/quota_view.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// Limit of a tenant in the newest document; a rate of 0 means not limited.
struct quota_limit {
    double rate_per_s = 0.0;
    double burst = 0.0;
};

/// Time after which tokens that were granted and not used are lost, counted from the request. In a
/// window of 5 s, the tokens of 5 s and this time are used; 1 s would exceed the tenth that is
/// allowed.
inline constexpr milliseconds quota_grant_lifetime{250};
/// Time that an entry node waits for the owner's reply.
inline constexpr milliseconds quota_reply_timeout{150};

/// What a node does with a request for tokens.
struct quota_decision {
    enum class action : std::uint8_t {
        reply,
        relay,     ///< Pass the request on to the peer.
        take_over, ///< Ask the peers, the former owners, for their tokens; then decide again.
    };
    action next = action::reply;
    quota_reply reply;
    std::vector<node_reference> peers;
};

/// The token buckets of the tenants whose quota this node grants. A bucket belongs to one node at a
/// time: a new owner takes it over from its predecessor, or starts with an empty one once a lost
/// predecessor has stopped. Pure: the time is an argument. Not thread-safe.
class quota_owner {
public:
    quota_decision decide(const quota_request& request, const quota_view& view,
                          const quota_limit& limit, time_point now);

    /// Records the reply of the former owner; nothing if it did not arrive.
    void on_taken_over(const std::string& tenant, const std::optional<quota_reply>& reply,
                       const quota_view& view, const quota_limit& limit, time_point now);

    /// Records how many members another node has known.
    void report_members(std::uint32_t known, time_point now);

    /// Drops the full buckets of tenants without requests.
    void drop_idle(time_point now);

    std::size_t size() const { return buckets_.size(); }

private:
    struct bucket {
        token_bucket tokens;
        time_point used;
        /// Tokens that were refused in the current and in the previous second.
        std::uint32_t refused = 0;
        std::uint32_t refused_before = 0;
        time_point second_start;
    };
    struct take_over {
        time_point started;
        time_point failed;
    };

    quota_decision decide_as_owner(const quota_request& request, const quota_view& view,
                                   const quota_view::choice& chosen, const quota_limit& limit,
                                   time_point now);
    bucket& start(const std::string& tenant, double tokens, const quota_view& view,
                  const quota_limit& limit, time_point now);
    /// Tokens of an owner that has granted nothing since the members changed.
    double saved_tokens(const quota_view& view, const quota_limit& limit, time_point now) const;
    quota_reply grant(bucket& from, std::uint32_t wanted, const quota_limit& scaled,
                      time_point now);
    quota_limit scale(const quota_limit& limit, const quota_view& view, time_point now) const;

    std::unordered_map<std::string, bucket> buckets_;
    std::unordered_map<std::string, take_over> take_overs_;
    /// When another node took the bucket of a tenant over. This node may not know that node yet.
    std::unordered_map<std::string, time_point> ceded_;
    /// Highest number of members that another node has reported recently. It makes up for what a
    /// node that has restarted in a partition does not know.
    std::uint32_t reported_known_ = 0;
    time_point reported_at_;
    /// When all buckets were dropped after a pause of the process.
    time_point cleared_at_;
};

} // namespace chestnutstand
