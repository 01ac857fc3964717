#include "chestnutstand/keys/key_table.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

/// Pointers and hash of a map node, and its share of the bucket array.
constexpr std::size_t map_node_bytes = 48;
/// A map node with two integers.
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
        return admit_recorded(found->second, request, std::move(done));
    }
    if (state(id) == key_state::expired) {
        return {key_admission::kind::answered, 0, unknown_outcome(reason_code::key_expired)};
    }
    const std::size_t bytes = base_record_bytes() + limits_.response_reserve;
    if (!has_space(bytes, limits_.bytes - limits_.closing_bytes)) {
        return refuse_when_full(id, now);
    }
    entry& added = entries_[id];
    added.request = request;
    resize(added, bytes);
    added.waiters.push_back({next_ticket_++, std::move(done)});
    return {key_admission::kind::admitted, added.waiters.back().ticket, {}};
}

key_admission key_table::refuse_when_full(const key_id& id, time_point now)
{
    // Without a record, a delayed copy of the call could be admitted later.
    released_waiters none;
    const bool recorded =
        close(id, key_state::not_run, reason_code::key_table_full, now, none) == key_state::not_run;
    return {key_admission::kind::answered, 0,
            recorded ? not_run(reason_code::key_table_full)
                     : unknown_outcome(reason_code::key_table_full)};
}

key_admission key_table::admit_recorded(entry& record, const fingerprint& request, call_done done)
{
    if (record.request && *record.request != request) {
        return {key_admission::kind::answered, 0, not_run(reason_code::key_reused)};
    }
    if (is_final(record.state)) {
        return {key_admission::kind::answered, 0, result_of(record)};
    }
    if (record.waiters.size() >= limits_.waiters_per_key) {
        return {key_admission::kind::answered, 0, unknown_outcome(reason_code::key_running)};
    }
    record.waiters.push_back({next_ticket_++, std::move(done)});
    return {key_admission::kind::attached, record.waiters.back().ticket, {}};
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
    return make_final(id, found->second, std::move(result), now);
}

released_waiters key_table::make_final(const key_id& id, entry& record, call_result result,
                                       time_point now)
{
    store_result(record, result);
    expiries_.push_back({now + limits_.lifetime, id});
    return {std::exchange(record.waiters, {}), std::move(result)};
}

void key_table::store_result(entry& record, call_result& result)
{
    const std::size_t fixed = record.bytes - limits_.response_reserve;
    record.reason = result.reason;
    resize(record, fixed);
    if (result.outcome == call_outcome::not_run) {
        record.state = key_state::not_run;
        return;
    }
    record.state = key_state::unknown;
    if (result.outcome != call_outcome::completed) {
        return;
    }
    const std::size_t needed = size_of(result.response);
    if (needed > limits_.response_reserve &&
        !has_space(needed, limits_.bytes - limits_.closing_bytes)) {
        // Callers that wait now get the response; later ones get unknown with key_table_full.
        record.reason = reason_code::key_table_full;
        return;
    }
    record.state = key_state::completed;
    // A copy has no spare capacity; the original grew while it was received.
    record.response = result.response;
    resize(record, fixed + needed);
}

key_state key_table::close(const key_id& id, key_state final_state, reason_code reason,
                           time_point now, released_waiters& released)
{
    expire(now);
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        if (found->second.state == key_state::queued) {
            released = make_final(id, found->second, not_run(reason), now);
            found->second.state = final_state;
        }
        return found->second.state;
    }
    if (state(id) == key_state::expired) {
        return key_state::expired;
    }
    if (!has_space(base_record_bytes(), limits_.bytes)) {
        return key_state::absent;
    }
    entry& closed = entries_[id];
    closed.state = final_state;
    closed.reason = reason;
    resize(closed, base_record_bytes());
    expiries_.push_back({now + limits_.lifetime, id});
    return final_state;
}

std::optional<call_done> key_table::detach(const key_id& id, std::uint64_t ticket)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    auto& waiters = found->second.waiters;
    const auto position = std::find_if(waiters.begin(), waiters.end(),
                                       [&](const auto& waiter) { return waiter.ticket == ticket; });
    if (position == waiters.end()) {
        return std::nullopt;
    }
    call_done done = std::move(position->done);
    waiters.erase(position);
    return done;
}

key_state key_table::state(const key_id& id) const
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return found->second.state;
    }
    const auto watermark = watermarks_.find(id.owner);
    return watermark != watermarks_.end() && id.sequence <= watermark->second ? key_state::expired
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

call_result key_table::result_of(const entry& record)
{
    switch (record.state) {
    case key_state::completed:
        return {call_outcome::completed, reason_code::none, record.response, {}};
    case key_state::not_run:
    case key_state::fenced:
        return not_run(record.reason);
    case key_state::unknown:
        return unknown_outcome(record.reason);
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
        const auto [watermark, added] = watermarks_.try_emplace(id.owner, 0);
        bytes_ += added ? watermark_bytes : 0;
        watermark->second = std::max(watermark->second, id.sequence);
    }
}

std::size_t key_table::base_record_bytes()
{
    return sizeof(entry_map::value_type) + map_node_bytes + sizeof(expiry);
}

bool key_table::has_space(std::size_t bytes, std::size_t limit) const
{
    return bytes_ + bytes <= limit;
}

void key_table::resize(entry& record, std::size_t bytes)
{
    bytes_ = bytes_ - record.bytes + bytes;
    record.bytes = bytes;
}

} // namespace chestnutstand
