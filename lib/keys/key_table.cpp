#include "chestnutstand/keys/key_table.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

/// Pointers and hash of a map node and its share of the bucket array.
constexpr std::size_t map_node_bytes = 48;
/// A watermark is a map node of two integers.
constexpr std::size_t watermark_bytes = map_node_bytes + 16;

std::size_t size_of(const http_response& response)
{
    std::size_t bytes = response.body.size();
    for (const auto& header : response.headers) {
        bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

key_admission key_table::admit(const key_id& id, const fingerprint& request, call_done done,
                               time_point now)
{
    expire(now);
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return answer(found->second, request, std::move(done));
    }
    if (state(id) == key_state::expired) {
        return {key_admission::kind::answered, 0, unknown_outcome(reason_code::key_expired)};
    }
    const std::size_t bytes = closed_bytes() + limits_.response_reserve;
    if (!has_space(bytes, limits_.bytes - limits_.closing_bytes)) {
        return refuse_full(id, now);
    }
    entry& added = entries_[id];
    added.request = request;
    resize(added, bytes);
    added.waiters.push_back({next_ticket_++, std::move(done)});
    return {key_admission::kind::admitted, added.waiters.back().ticket, {}};
}

key_admission key_table::refuse_full(const key_id& id, time_point now)
{
    // Without the record, a delayed copy of the call could be admitted later.
    released_waiters none;
    const bool recorded =
        close(id, key_state::not_run, reason_code::key_table_full, now, none) == key_state::not_run;
    return {key_admission::kind::answered, 0,
            recorded ? not_run(reason_code::key_table_full)
                     : unknown_outcome(reason_code::key_table_full)};
}

key_admission key_table::answer(entry& known, const fingerprint& request, call_done done)
{
    if (known.request && *known.request != request) {
        return {key_admission::kind::answered, 0, not_run(reason_code::key_reused)};
    }
    if (is_final(known.state)) {
        return {key_admission::kind::answered, 0, result_of(known)};
    }
    if (known.waiters.size() >= limits_.waiters_per_key) {
        return {key_admission::kind::answered, 0, unknown_outcome(reason_code::key_running)};
    }
    known.waiters.push_back({next_ticket_++, std::move(done)});
    return {key_admission::kind::attached, known.waiters.back().ticket, {}};
}

std::optional<std::uint64_t> key_table::attach(const key_id& id, call_done done)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || is_final(found->second.state) ||
        found->second.waiters.size() >= limits_.waiters_per_key) {
        return std::nullopt;
    }
    found->second.waiters.push_back({next_ticket_++, std::move(done)});
    return found->second.waiters.back().ticket;
}

bool key_table::start(const key_id& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.state != key_state::queued) {
        return false;
    }
    found->second.state = key_state::running;
    return true;
}

released_waiters key_table::finish(const key_id& id, call_result result, time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || is_final(found->second.state)) {
        return {};
    }
    return end(id, found->second, std::move(result), now);
}

released_waiters key_table::end(const key_id& id, entry& known, call_result result, time_point now)
{
    store_result(known, result);
    expiries_.push_back({now + limits_.lifetime, id});
    return {std::exchange(known.waiters, {}), std::move(result)};
}

void key_table::store_result(entry& known, call_result& result)
{
    const std::size_t fixed = known.bytes - limits_.response_reserve;
    known.reason = result.reason;
    resize(known, fixed);
    if (result.outcome == call_outcome::not_run) {
        known.state = key_state::not_run;
        return;
    }
    known.state = key_state::unknown;
    if (result.outcome != call_outcome::completed) {
        return;
    }
    const std::size_t needed = size_of(result.response);
    if (needed > limits_.response_reserve &&
        !has_space(needed, limits_.bytes - limits_.closing_bytes)) {
        // The callers that wait now get the response; later ones learn that it was not kept.
        known.reason = reason_code::key_table_full;
        return;
    }
    known.state = key_state::completed;
    // A copy is compact; the original grew while it was received.
    known.response = result.response;
    resize(known, fixed + needed);
}

key_state key_table::close(const key_id& id, key_state as, reason_code reason, time_point now,
                           released_waiters& released)
{
    expire(now);
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        if (found->second.state == key_state::queued) {
            released = end(id, found->second, not_run(reason), now);
            found->second.state = as;
        }
        return found->second.state;
    }
    if (state(id) == key_state::expired) {
        return key_state::expired;
    }
    if (!has_space(closed_bytes(), limits_.bytes)) {
        return key_state::absent;
    }
    entry& closed = entries_[id];
    closed.state = as;
    closed.reason = reason;
    resize(closed, closed_bytes());
    expiries_.push_back({now + limits_.lifetime, id});
    return as;
}

std::optional<call_done> key_table::detach(const key_id& id, std::uint64_t ticket)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    auto& waiters = found->second.waiters;
    const auto waiter = std::find_if(waiters.begin(), waiters.end(),
                                     [&](const auto& each) { return each.ticket == ticket; });
    if (waiter == waiters.end()) {
        return std::nullopt;
    }
    call_done done = std::move(waiter->done);
    waiters.erase(waiter);
    return done;
}

key_state key_table::state(const key_id& id) const
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return found->second.state;
    }
    const auto forgotten = forgotten_.find(id.owner);
    return forgotten != forgotten_.end() && id.sequence <= forgotten->second ? key_state::expired
                                                                             : key_state::absent;
}

call_result key_table::result(const key_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? unknown_outcome(reason_code::key_expired)
                                   : result_of(found->second);
}

std::optional<fingerprint> key_table::request(const key_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : found->second.request;
}

call_result key_table::result_of(const entry& known)
{
    switch (known.state) {
    case key_state::completed:
        return {call_outcome::completed, reason_code::none, known.response, {}};
    case key_state::not_run:
    case key_state::fenced:
        return not_run(known.reason);
    case key_state::unknown:
        return unknown_outcome(known.reason);
    default:
        return unknown_outcome(reason_code::key_running);
    }
}

void key_table::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.front().due <= now) {
        const key_id id = expiries_.front().id;
        expiries_.pop_front();
        const auto found = entries_.find(id);
        bytes_ -= found->second.bytes;
        entries_.erase(found);
        const auto [watermark, added] = forgotten_.try_emplace(id.owner, 0);
        bytes_ += added ? watermark_bytes : 0;
        watermark->second = std::max(watermark->second, id.sequence);
    }
}

std::size_t key_table::closed_bytes()
{
    return sizeof(entry_map::value_type) + map_node_bytes + sizeof(expiry);
}

bool key_table::has_space(std::size_t bytes, std::size_t limit) const
{
    return bytes_ + bytes <= limit;
}

void key_table::resize(entry& known, std::size_t bytes)
{
    bytes_ = bytes_ - known.bytes + bytes;
    known.bytes = bytes;
}

} // namespace chestnutstand
