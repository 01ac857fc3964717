#include "chestnutstand/tenancy/quota_stock.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chestnutstand {
namespace {

/// Half of the 250 ms whose demand decides how many tokens are asked for.
constexpr milliseconds half_window{125};
/// With fewer requests in the window, tokens that are asked for in advance mostly expire.
constexpr std::uint32_t min_demand_to_ask_ahead = 4;
/// After a refusal, further requests are refused without a question for at most this long. An
/// overloaded tenant then costs a node at most 40 questions per second.
constexpr milliseconds max_refusal_memory{25};
/// Interval between questions to an owner that does not answer.
constexpr milliseconds fallback_interval{250};
/// Share of the rate that the fallbacks of all nodes admit together. The owner may be reachable for
/// other nodes and grant the whole rate; half of the rate would exceed the limit.
constexpr double fallback_share = 0.04;
constexpr milliseconds idle_after{10'000};

} // namespace

void quota_stock::record_demand(time_point now)
{
    if (now - half_start_ >= half_window) {
        previous_half_ = now - half_start_ < 2 * half_window ? current_half_ : 0;
        current_half_ = 0;
        half_start_ = now;
    }
    ++current_half_;
}

std::uint32_t quota_stock::demand(time_point now) const
{
    if (now - half_start_ >= 2 * half_window) {
        return 0;
    }
    return now - half_start_ >= half_window ? current_half_ : current_half_ + previous_half_;
}

void quota_stock::drop_expired(time_point now)
{
    std::erase_if(batches_,
                  [now](const batch& held) { return held.tokens == 0 || held.expires <= now; });
}

std::uint32_t quota_stock::tokens() const
{
    return std::accumulate(batches_.begin(), batches_.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const batch& held) { return sum + held.tokens; });
}

std::optional<quota_credit> quota_stock::take(time_point now)
{
    drop_expired(now);
    if (batches_.empty()) {
        return std::nullopt;
    }
    --batches_.front().tokens;
    return quota_credit{batches_.front().expires};
}

void quota_stock::give_back(const quota_credit& credit, time_point now)
{
    if (credit.expires > now) {
        batches_.push_front({1, credit.expires});
    }
}

std::optional<std::uint32_t> quota_stock::ask(std::size_t waiting, time_point now)
{
    drop_expired(now);
    if (asked_ > 0 || now < next_attempt_ || now < refused_until_) {
        return std::nullopt;
    }
    const std::uint32_t expected = demand(now);
    const std::uint32_t held = tokens();
    const bool ahead = expected >= min_demand_to_ask_ahead && held <= expected / 2;
    if (waiting == 0 && !ahead && !in_fallback()) {
        return std::nullopt;
    }
    // Tokens beyond the waiting requests are asked for only if most of them will be used.
    const std::uint32_t useful = expected >= min_demand_to_ask_ahead ? expected : 0U;
    asked_ =
        std::max({static_cast<std::uint32_t>(waiting), useful > held ? useful - held : 0U, 1U});
    asked_at_ = now;
    return asked_;
}

void quota_stock::on_reply(const std::optional<quota_reply>& reply, time_point now)
{
    const std::uint32_t asked = std::exchange(asked_, 0);
    if (!reply || !reply->decided) {
        next_attempt_ = now + fallback_interval;
        if (!fallback_) {
            fallback_.emplace(0.0, 1.0, now);
            fallback_->add(-phase_, now);
        }
        return;
    }
    fallback_.reset();
    if (reply->granted > 0) {
        batches_.push_back({reply->granted, asked_at_ + quota_grant_lifetime});
    }
    if (reply->granted < asked) {
        refused_until_ = now + std::min(reply->retry_after, max_refusal_memory);
        refill_at_ = now + reply->retry_after;
    }
}

std::optional<milliseconds> quota_stock::refused_for(time_point now) const
{
    if (now >= refused_until_) {
        return std::nullopt;
    }
    return std::max(refill_at_ - now, milliseconds{0});
}

std::optional<quota_credit> quota_stock::take_fallback(const quota_limit& limit,
                                                       std::uint32_t members, time_point now)
{
    if (!fallback_) {
        return std::nullopt;
    }
    fallback_->set_rate(limit.rate_per_s * fallback_share / std::max(members, 1U), now);
    if (!fallback_->try_take(now)) {
        return std::nullopt;
    }
    // Not given back: the token of another source would pass for one of the owner.
    return quota_credit{now};
}

bool quota_stock::idle(time_point now) const
{
    return asked_ == 0 && now - half_start_ >= idle_after;
}

} // namespace chestnutstand
