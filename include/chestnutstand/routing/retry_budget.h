#pragma once

#include "chestnutstand/support/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace chestnutstand {

/// Limits of the retries that all nodes together may send to one service in a time window: a ratio
/// of its calls plus a fixed number.
struct fleet_retry_limits {
    double ratio = 0.0;
    double slack = 0.0;
    milliseconds window{0};
};

/// What one node may spend.
struct retry_share {
    /// Earned with each successful call.
    double ratio = 0.0;
    /// Earned per second without any call.
    double min_retries_per_s = 0.0;
    /// Most that can be saved up.
    double max_tokens = 0.0;
};

/// Share of one of the given number of nodes, when no node knows what the others spend. Half of the
/// ratio is left for the calls that retried calls make in turn, and a quarter of the slack for
/// nodes that are not counted yet.
inline retry_share share_of(const fleet_retry_limits& limits, std::size_t nodes)
{
    const double slack = limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {limits.ratio / 2.0, slack / 2.0 / (limits.window.count() / 1000.0), slack / 4.0};
}

/// Retries and hedges that one node may send to one service: a ratio of its successful calls plus a
/// small rate that keeps retries possible at low traffic. Not safe for concurrent use.
class retry_budget {
public:
    /// Retries per second that are allowed without any successful call.
    static constexpr double min_retries_per_s = 1.0;
    /// Retries that can be saved up; also the most that a sudden failure can cause at once.
    static constexpr double max_tokens = 20.0;
    /// Saved at the start, so that the first calls of a node can survive the loss of a member.
    static constexpr double initial_tokens = 2.0;

    explicit retry_budget(time_point now) : refilled_{now} {}

    /// Replaces the limits of a node that is on its own.
    void set_share(const retry_share& share)
    {
        share_ = share;
        saved_ = std::min(saved_, std::max(1.0, share.max_tokens));
    }

    void record_success(double ratio) { earn(share_ ? share_->ratio : ratio); }

    /// Takes one retry; false when there is none.
    bool try_take(time_point now)
    {
        if (now > refilled_) {
            const double rate = share_ ? share_->min_retries_per_s : min_retries_per_s;
            earn((now - refilled_).count() * rate / 1000);
            refilled_ = now;
        }
        if (saved_ < 1.0) {
            return false;
        }
        saved_ -= 1.0;
        return true;
    }

    /// Returns a retry that was taken and not sent.
    void give_back() { earn(1.0); }

private:
    void earn(double amount)
    {
        // One retry must be affordable, however many nodes share the limits.
        const double most = share_ ? std::max(1.0, share_->max_tokens) : max_tokens;
        saved_ = std::min(most, saved_ + amount);
    }

    std::optional<retry_share> share_;
    double saved_ = initial_tokens;
    time_point refilled_;
};

/// Highest retry budget of a call tree; a higher one that a caller sends counts as this.
inline constexpr std::uint32_t max_tree_budget = 8;

/// The part of a call tree's retry budget that one dispatched call holds.
///
/// A call that arrives with budget b stands for at most b + 1 attempts of itself and of every call
/// below it. The first attempt carries b - 1 to its upstream and one attempt is kept for a retry or
/// hedge, which carries 0. The upstream copies the value that it gets to each of its own calls. The
/// attempts of one call share the b + 1 of the attempt above, however deep the tree is and however
/// many calls an upstream makes. An attempt that reached no upstream caused no calls below it, so
/// that its part is given back.
class tree_budget {
public:
    explicit tree_budget(std::uint32_t received) : attempts_{received + 1ULL} {}

    /// Starts an attempt and returns the budget that it carries; empty when no attempt is left.
    std::optional<std::uint32_t> start()
    {
        if (attempts_ <= 1) {
            const bool left = std::exchange(attempts_, 0) == 1;
            return left ? std::optional<std::uint32_t>{0} : std::nullopt;
        }
        const auto carried = static_cast<std::uint32_t>(attempts_ - 2);
        attempts_ = 1;
        return carried;
    }

    /// Takes back what an attempt carried that reached no upstream.
    void give_back(std::uint32_t carried) { attempts_ += carried + 1ULL; }

    bool exhausted() const { return attempts_ == 0; }

private:
    std::uint64_t attempts_;
};

} // namespace chestnutstand
