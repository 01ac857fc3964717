#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/token_bucket.h"
#include "chestnutstand/tenancy/quota_owner.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace chestnutstand {

/// Token that a request has used. It can be given back until it expires.
struct quota_credit {
    time_point expires;
};

/// Tokens of one tenant at an entry node, and the one question to the owner that may be open. Pure:
/// the time is an argument. Not thread-safe.
class quota_stock {
public:
    /// `phase` in [0, 1) differs between nodes, so that fallbacks that start together do not all
    /// admit their first request at the same time.
    explicit quota_stock(double phase) : phase_{phase} {}

    /// Records a request, whether or not it is admitted.
    void record_demand(time_point now);

    std::optional<quota_credit> take(time_point now);

    /// Returns the token of a request that was refused for another reason.
    void give_back(const quota_credit& credit, time_point now);

    /// Number of tokens to ask the owner for, and marks the question as open. Nothing if a question
    /// is open, or if none is needed: no request waits, the stock suffices for the demand, and the
    /// last question was answered.
    std::optional<std::uint32_t> ask(std::size_t waiting, time_point now);

    /// Ends the open question; nothing if the owner did not decide in time.
    void on_reply(const std::optional<quota_reply>& reply, time_point now);

    /// Time until the owner will have tokens, if it has just refused some.
    std::optional<milliseconds> refused_for(time_point now) const;

    /// Whether the last question was not answered. Requests then do not wait for the next one.
    bool in_fallback() const { return fallback_.has_value(); }

    /// Takes a token of the fallback, of which all nodes together get a small share of the rate.
    std::optional<quota_credit> take_fallback(const quota_limit& limit, std::uint32_t members,
                                              time_point now);

    /// Whether nothing has happened for so long that the object can be dropped.
    bool idle(time_point now) const;

private:
    struct batch {
        std::uint32_t tokens = 0;
        time_point expires;
    };

    void drop_expired(time_point now);
    std::uint32_t demand(time_point now) const;
    std::uint32_t tokens() const;

    double phase_;
    std::deque<batch> batches_;
    /// Requests of the current and the previous half of the demand window.
    std::uint32_t current_half_ = 0;
    std::uint32_t previous_half_ = 0;
    time_point half_start_;
    /// Tokens of the open question; 0 if none is open.
    std::uint32_t asked_ = 0;
    time_point asked_at_;
    time_point next_attempt_;
    time_point refused_until_;
    time_point refill_at_;
    std::optional<token_bucket> fallback_;
};

} // namespace chestnutstand
