#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/token_bucket.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>

namespace chestnutstand {

/// Parses the time in milliseconds for which an upstream stays cold; nullopt unless the text is a
/// finite decimal number of at least 0.
std::optional<milliseconds> parse_cold_time(std::string_view text);

/// Limits the requests that start on an upstream which takes only few requests per second while it
/// is cold, and may become cold at any moment. Does no I/O and reads no clock. Not thread-safe.
///
/// A proof is a statement of the upstream process that it is not cold. A start is unproven if it
/// may reach the upstream after the newest proof was made, and so in a cold phase that is not known
/// yet. As long as there is a proof, unproven_limit() unproven starts are free. All other starts
/// take a token of a bucket with the rate per_second of the document. While the upstream is cold,
/// at most unproven_limit() + burst + 1.1 x per_second starts therefore reach it in any second,
/// where the last factor allows for requests that arrive closer together than they started. This is
/// 1.5 x per_second + 7.
///
/// Without a proof, as after the start of the process, all starts take tokens.
class cold_limit {
public:
    /// Sets the requests per second that a cold upstream takes; 0 for no limit.
    void configure(double per_second, time_point now);

    /// Forgets the proof, because another process may now be the upstream.
    void forget();

    /// The process has stated at some time before now that it stays cold for the time left.
    void observe_cold(milliseconds left, time_point now);

    /// The process has stated after the given time that it is not cold. Returns whether that ends a
    /// phase without a proof.
    bool observe_warm(time_point stated_after, time_point now);

    /// Whether a request may start now.
    bool allows(time_point now) const;

    /// Records a start. Returns false, and records nothing, if the request may not start.
    bool try_take(time_point now);

    /// Time until this many requests may have started.
    milliseconds wait_for(double requests, time_point now) const;

    /// Requests per second that may start; nullopt while no limit is expected to delay a request
    /// for longer than the response of the health path takes.
    std::optional<double> per_second(time_point now) const;

    /// Whether a new statement of the upstream is needed now, to lift the limit or to keep it from
    /// applying.
    bool needs_statement(time_point now) const;

    /// Whether the newest statement says that the upstream is cold.
    bool cold() const { return cold_until_.has_value(); }

    /// Number of unproven starts that are free.
    std::size_t unproven_limit() const;

private:
    bool has_free_start() const { return proven_ && unproven_.size() < unproven_limit(); }
    void drop_proof(time_point now);

    double per_second_ = 0.0;
    bool proven_ = false;
    /// Start times, the oldest first.
    std::deque<time_point> unproven_;
    /// Refilling it does not change what it stands for.
    mutable std::optional<token_bucket> tokens_;
    /// When the last free start was taken, or the proof was lost.
    std::optional<time_point> restricted_since_;
    /// Latest end of the cold phase that the upstream has stated; nullopt unless it is the newest
    /// statement.
    std::optional<time_point> cold_until_;
    /// When the upstream was last known to be cold.
    time_point cold_stated_{time_point::min()};
};

} // namespace chestnutstand
