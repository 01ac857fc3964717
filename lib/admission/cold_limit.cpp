#include "chestnutstand/admission/cold_limit.h"

#include "chestnutstand/admission/upstream_statement.h"

#include <algorithm>
#include <cmath>

namespace chestnutstand {
namespace {

/// The deployments accept 1.5 x per_second + 8 requests in a second. See the class for the sum.
constexpr double unproven_base = 5.0;
constexpr double unproven_share = 0.35;
/// The queue is polled every 40 ms; a smaller bucket would lose tokens between two polls.
constexpr double burst_base = 2.0;
constexpr double burst_share = 0.05;
/// A request may arrive later than a health check that was sent after it, by this much.
constexpr milliseconds transit_margin{30};
/// Starts that may follow the request for a statement before the free starts are used up.
constexpr std::size_t starts_ahead = 2;
/// While the upstream answers within this time, used-up free starts delay a request only for a
/// moment, and it is not worth sending the request to another upstream.
constexpr milliseconds statement_grace{100};
/// A stated time to the end of the cold phase may be out of date. At 10 requests per second, a
/// delayed heartbeat then costs at most ten requests.
constexpr milliseconds cold_refresh{1'000};

double burst_of(double per_second)
{
    return burst_base + per_second * burst_share;
}

} // namespace

std::optional<milliseconds> parse_cold_time(std::string_view text)
{
    const auto number = parse_rate_limit(text);
    return number ? std::optional{milliseconds{*number}} : std::nullopt;
}

void cold_limit::configure(double per_second, time_point now)
{
    if (per_second == per_second_) {
        return;
    }
    const bool was_limited = per_second_ > 0.0;
    per_second_ = per_second;
    if (per_second <= 0.0) {
        tokens_.reset();
        unproven_.clear();
        proven_ = false;
        return;
    }
    if (!was_limited) {
        // Starts before this moment were not recorded.
        tokens_.emplace(per_second, burst_of(per_second), now);
        drop_proof(now);
        return;
    }
    tokens_->set_rate(per_second, now);
    tokens_->set_burst(burst_of(per_second), now);
}

void cold_limit::forget()
{
    proven_ = false;
    cold_until_.reset();
    cold_stated_ = time_point::min();
}

void cold_limit::drop_proof(time_point now)
{
    proven_ = false;
    restricted_since_ = now;
}

void cold_limit::observe_cold(milliseconds left, time_point now)
{
    if (per_second_ <= 0.0) {
        return;
    }
    drop_proof(now);
    cold_stated_ = now;
    cold_until_ = now + left;
}

bool cold_limit::observe_warm(time_point stated_after, time_point now)
{
    // A statement that was asked for before the upstream was known to be cold may be the older one.
    if (per_second_ <= 0.0 || stated_after < cold_stated_) {
        return false;
    }
    const bool is_new = !proven_;
    proven_ = true;
    cold_until_.reset();
    while (!unproven_.empty() && unproven_.front() + transit_margin < stated_after) {
        unproven_.pop_front();
    }
    if (has_free_start()) {
        restricted_since_.reset();
    }
    else if (!restricted_since_) {
        restricted_since_ = now;
    }
    return is_new;
}

bool cold_limit::allows(time_point now) const
{
    return wait_for(1.0, now) <= milliseconds{0};
}

bool cold_limit::try_take(time_point now)
{
    if (per_second_ <= 0.0) {
        return true;
    }
    const bool is_free = has_free_start();
    if (!is_free && !tokens_->try_take(now)) {
        return false;
    }
    unproven_.push_back(now);
    // Without a proof, only the starts that a later one cannot cover are of interest, which are
    // those of the last moments.
    if (unproven_.size() > unproven_limit()) {
        unproven_.pop_front();
    }
    if (is_free && !has_free_start()) {
        restricted_since_ = now;
    }
    return true;
}

milliseconds cold_limit::wait_for(double requests, time_point now) const
{
    if (per_second_ <= 0.0 || has_free_start()) {
        return milliseconds{0};
    }
    return tokens_->time_until(requests, now);
}

std::optional<double> cold_limit::per_second(time_point now) const
{
    if (per_second_ <= 0.0 || has_free_start()) {
        return std::nullopt;
    }
    const bool is_momentary =
        proven_ && restricted_since_ && now - *restricted_since_ < statement_grace;
    return is_momentary ? std::nullopt : std::optional{per_second_};
}

bool cold_limit::needs_statement(time_point now) const
{
    if (per_second_ <= 0.0) {
        return false;
    }
    if (cold_until_) {
        return now >= std::min(*cold_until_, cold_stated_ + cold_refresh);
    }
    return !proven_ || unproven_.size() + starts_ahead >= unproven_limit();
}

std::size_t cold_limit::unproven_limit() const
{
    return static_cast<std::size_t>(std::floor(unproven_base + unproven_share * per_second_));
}

} // namespace chestnutstand
