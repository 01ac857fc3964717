#include "chestnutstand/keys/attempt_ledger.h"

#include <utility>

namespace chestnutstand {
namespace {

/// Longer than callers wait and than a connection can delay a message.
constexpr milliseconds retention{60'000};
/// Limit for the responses that are kept in case a node settles their calls. Beyond it, only the
/// fact that a call has run is kept.
constexpr std::size_t max_response_bytes = std::size_t{4} << 20U;

} // namespace

bool attempt_ledger::admit(const std::string& id, time_point now, bool may_repeat)
{
    expire(now);
    const auto [found, is_new] = entries_.try_emplace(id);
    if (is_new) {
        return true;
    }
    if (!may_repeat || found->second.state == attempt_state::fenced) {
        return false;
    }
    found->second.state = attempt_state::queued;
    return true;
}

bool attempt_ledger::start(const std::string& id, bool may_repeat)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return may_repeat;
    }
    auto& state = found->second.state;
    const bool may_start =
        state == attempt_state::queued || (may_repeat && state != attempt_state::fenced);
    state = may_start ? attempt_state::started : state;
    return may_start;
}

void attempt_ledger::refuse(const std::string& id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.state == attempt_state::queued) {
        entries_.erase(found);
    }
}

void attempt_ledger::finish(const std::string& id, const call_result& result, time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    found->second.state = attempt_state::ended;
    const std::size_t bytes = result.response.body.size();
    if (result.outcome == call_outcome::completed && response_bytes_ + bytes > max_response_bytes) {
        found->second.result = unknown_outcome(reason_code::key_table_full);
    }
    else {
        found->second.result = result;
        response_bytes_ += bytes;
    }
    schedule_expiry(id, now + retention);
}

settle_result attempt_ledger::settle(const std::string& id, time_point now, queued_attempt queued)
{
    expire(now);
    const auto [found, is_new] = entries_.try_emplace(id);
    entry& attempt = found->second;
    const bool waits = attempt.state == attempt_state::queued && !is_new;
    if (waits && queued == queued_attempt::keep) {
        return {settle_state::running, {}, reason_code::key_running, {}};
    }
    if (attempt.state == attempt_state::queued) {
        attempt.state = attempt_state::fenced;
        schedule_expiry(id, now + retention);
    }
    switch (attempt.state) {
    case attempt_state::fenced:
        return {settle_state::fenced, {}, reason_code::key_fenced, {}};
    case attempt_state::started:
        return {settle_state::running, {}, reason_code::key_running, {}};
    case attempt_state::queued:
    case attempt_state::ended:
        break;
    }
    if (attempt.result.outcome == call_outcome::completed) {
        return {settle_state::completed, attempt.result.response, reason_code::none, {}};
    }
    // The upstream reported that it did not run the call, and the id is not admitted a second time.
    if (attempt.result.outcome == call_outcome::not_run) {
        return {settle_state::fenced, {}, attempt.result.reason, {}};
    }
    return {settle_state::unknown, {}, attempt.result.reason, {}};
}

void attempt_ledger::schedule_expiry(const std::string& id, time_point due)
{
    expiries_.push_back({due, id});
}

void attempt_ledger::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.front().due <= now) {
        const auto found = entries_.find(expiries_.front().id);
        if (found != entries_.end()) {
            response_bytes_ -= found->second.result.response.body.size();
            entries_.erase(found);
        }
        expiries_.pop_front();
    }
}

} // namespace chestnutstand
