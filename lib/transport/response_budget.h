#pragma once

#include "response_reader.h"

#include <cstddef>
#include <unordered_map>

namespace chestnutstand {

/// Limits the bytes that the responses of one client hold together while they are received. Beyond
/// the limit, the response that holds most is abandoned, so that responses without an end end alone
/// and do not take the memory that others need. Not thread-safe.
class response_budget {
public:
    explicit response_budget(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Records what a response holds now. Abandons responses, possibly this one, as long as all
    /// together hold more than the limit.
    void update(response_reader& reader);

    /// Gives back what a response holds.
    void remove(response_reader& reader);

    /// Whether a response has been abandoned since the last call.
    bool take_abandoned();

    std::size_t held_bytes() const { return held_bytes_; }

private:
    void abandon_largest();

    std::size_t max_bytes_;
    std::size_t held_bytes_ = 0;
    std::unordered_map<response_reader*, std::size_t> held_by_;
    bool abandoned_ = false;
};

} // namespace chestnutstand
