#pragma once

#include "response_reader.h"

#include "chestnutstand/transport/memory_budget.h"

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace chestnutstand {

/// Limits the bytes that the responses of one client hold together while they are received. Beyond
/// the limit, the response that holds most is abandoned, so that responses without an end end alone
/// and do not take the memory that others need. Not thread-safe.
class response_budget {
public:
    /// The responses also share the memory of the process, unless that is null.
    explicit response_budget(std::size_t max_bytes, std::shared_ptr<memory_budget> memory = {})
        : max_bytes_{max_bytes}, memory_{std::move(memory)}
    {
    }

    /// Records what a response holds now. Abandons responses, possibly this one, as long as all
    /// together hold more than the limit.
    void update(response_reader& reader);

    /// Gives back what a response holds.
    void remove(response_reader& reader);

    /// Removes a response that is complete. Returns the memory of its body.
    memory_lease take(response_reader& reader);

    /// Whether a response has been abandoned since the last call.
    bool take_abandoned();

    std::size_t held_bytes() const { return held_bytes_; }

private:
    struct holding {
        std::size_t bytes = 0;
        memory_lease memory;
    };

    void abandon_largest();

    std::size_t max_bytes_;
    std::shared_ptr<memory_budget> memory_;
    std::size_t held_bytes_ = 0;
    std::unordered_map<response_reader*, holding> held_by_;
    bool abandoned_ = false;
};

} // namespace chestnutstand
