#pragma once

#include "chestnutstand/support/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace chestnutstand {

/// Limits of the retries that all nodes together may send to one service in a time window: a ratio
/// of the calls to the service plus a fixed number.
struct fleet_retry_limits {
    double ratio = 0.0;
    double slack = 0.0;
    milliseconds window{0};
};

/// Parameters of the retry_budget of one node. A token allows one retry.
struct retry_share {
    /// Tokens added for each successful call.
    double ratio = 0.0;
    /// Tokens added per second, independent of calls.
    double min_retries_per_s = 0.0;
    /// Capacity of the token bucket.
    double max_tokens = 0.0;
};

/// Share of one node of the limits, for nodes that do not know how many retries the others send.
/// Half of the ratio is reserved for the calls that retried calls make in turn, and a quarter of
/// the slack for nodes that are not counted yet.
inline retry_share share_per_node(const fleet_retry_limits& limits, std::size_t nodes)
{
    const double slack = limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {limits.ratio / 2.0, slack / 2.0 / (limits.window.count() / 1000.0), slack / 4.0};
}

/// Token bucket for the retries and hedges that one node sends to one service. It is filled by a
/// ratio of the successful calls and by a small rate that permits retries at low traffic. Not safe
/// for concurrent use.
class retry_budget {
public:
    /// Tokens added per second, independent of calls.
    static constexpr double min_retries_per_s = 1.0;
    /// Capacity of the bucket, and therefore the largest burst of retries in a sudden failure.
    static constexpr double max_tokens = 20.0;
    /// Tokens at the start, which let the first calls of a node be retried if a member is lost.
    static constexpr double initial_tokens = 2.0;

    explicit retry_budget(time_point now) : last_refill_{now} {}

    /// Replaces the default parameters by this node's share of the limits of all nodes.
    void set_share(const retry_share& share)
    {
        share_ = share;
        tokens_ = std::min(tokens_, std::max(1.0, share.max_tokens));
    }

    void record_success(double ratio) { add_tokens(share_ ? share_->ratio : ratio); }

    /// Takes one token; returns false when there is none.
    bool try_take(time_point now)
    {
        if (now > last_refill_) {
            const double rate = share_ ? share_->min_retries_per_s : min_retries_per_s;
            add_tokens((now - last_refill_).count() * rate / 1000);
            last_refill_ = now;
        }
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    /// Returns the token of a retry that was not sent.
    void give_back() { add_tokens(1.0); }

private:
    void add_tokens(double amount)
    {
        // The bucket must be able to hold a whole token, however many nodes share the limits.
        const double capacity = share_ ? std::max(1.0, share_->max_tokens) : max_tokens;
        tokens_ = std::min(capacity, tokens_ + amount);
    }

    std::optional<retry_share> share_;
    double tokens_ = initial_tokens;
    time_point last_refill_;
};

/// Maximum retry budget of a call tree; higher values from callers are reduced to it.
inline constexpr std::uint32_t max_tree_budget = 8;

/// The part of a call tree's retry budget that one dispatched call holds.
///
/// A call that arrives with budget b permits at most b + 1 attempts of itself and of each call
/// below it. The first attempt carries b - 1 to its upstream; one attempt is kept for a retry or
/// hedge, which carries 0. The upstream copies the value that it receives to each of its own calls.
/// The attempts of one call share the b + 1 attempts of the call above, independent of the depth of
/// the tree and of the number of calls that an upstream makes. An attempt that did not reach an
/// upstream caused no calls below it, so its part is given back.
class tree_budget {
public:
    explicit tree_budget(std::uint32_t received) : attempts_{received + 1ULL} {}

    /// Starts an attempt and returns the budget that it carries; empty when no attempts remain.
    std::optional<std::uint32_t> start()
    {
        if (attempts_ <= 1) {
            const bool has_attempt = std::exchange(attempts_, 0) == 1;
            return has_attempt ? std::optional<std::uint32_t>{0} : std::nullopt;
        }
        const auto carried = static_cast<std::uint32_t>(attempts_ - 2);
        attempts_ = 1;
        return carried;
    }

    /// Gives back an attempt that did not reach an upstream, and the budget that it carried.
    void give_back(std::uint32_t carried) { attempts_ += carried + 1ULL; }

    bool exhausted() const { return attempts_ == 0; }

private:
    std::uint64_t attempts_;
};

} // namespace chestnutstand
