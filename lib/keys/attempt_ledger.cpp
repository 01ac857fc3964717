#include "chestnutstand/keys/attempt_ledger.h"

#include <utility>

namespace chestnutstand {
namespace {

/// Longer than a caller waits and than a connection delays what was sent on it.
constexpr milliseconds retention{60'000};
/// Responses that no node has asked for; beyond this, only the fact that a call has run is kept.
constexpr std::size_t max_response_bytes = std::size_t{4} << 20U;

} // namespace

bool attempt_ledger::admit(const std::string& id, time_point now)
{
    expire(now);
    return entries_.try_emplace(id).second;
}

bool attempt_ledger::start(const std::string& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.now != state::queued) {
        return false;
    }
    found->second.now = state::started;
    return true;
}

void attempt_ledger::refuse(const std::string& id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.now == state::queued) {
        entries_.erase(found);
    }
}

void attempt_ledger::finish(const std::string& id, const call_result& result, time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    found->second.now = state::ended;
    const std::size_t bytes = result.response.body.size();
    if (result.outcome == call_outcome::completed && response_bytes_ + bytes > max_response_bytes) {
        found->second.result = unknown_outcome(reason_code::key_table_full);
    }
    else {
        found->second.result = result;
        response_bytes_ += bytes;
    }
    keep_until(id, now + retention);
}

settle_result attempt_ledger::settle(const std::string& id, time_point now)
{
    expire(now);
    const auto [found, is_new] = entries_.try_emplace(id);
    entry& known = found->second;
    if (known.now == state::queued) {
        known.now = state::fenced;
        keep_until(id, now + retention);
    }
    switch (known.now) {
    case state::fenced:
        return {settle_state::fenced, {}, reason_code::key_fenced, {}};
    case state::started:
        return {settle_state::running, {}, reason_code::key_running, {}};
    case state::queued:
    case state::ended:
        break;
    }
    if (known.result.outcome == call_outcome::completed) {
        return {settle_state::completed, known.result.response, reason_code::none, {}};
    }
    // The upstream has said that it did not run the call, and nobody has offered it again.
    if (known.result.outcome == call_outcome::not_run) {
        return {settle_state::fenced, {}, known.result.reason, {}};
    }
    return {settle_state::unknown, {}, known.result.reason, {}};
}

void attempt_ledger::keep_until(const std::string& id, time_point due)
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
