#include "response_budget.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chestnutstand {

void response_budget::update(response_reader& reader)
{
    std::size_t& held = held_by_[&reader];
    held_bytes_ += reader.held_bytes() - held;
    held = reader.held_bytes();
    while (held_bytes_ > max_bytes_) {
        abandon_largest();
    }
}

void response_budget::remove(response_reader& reader)
{
    const auto found = held_by_.find(&reader);
    if (found != held_by_.end()) {
        held_bytes_ -= found->second;
        held_by_.erase(found);
    }
}

bool response_budget::take_abandoned()
{
    return std::exchange(abandoned_, false);
}

void response_budget::abandon_largest()
{
    const auto largest =
        std::max_element(held_by_.begin(), held_by_.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    response_reader& reader = *largest->first;
    log_event(log_level::warning, "response abandoned for its size",
              {{"bytes", std::uint64_t{largest->second}},
               {"bytes_of_all_responses", std::uint64_t{held_bytes_}},
               {"limit", std::uint64_t{max_bytes_}}});
    held_bytes_ -= largest->second;
    held_by_.erase(largest);
    reader.abandon(http_error::too_large);
    abandoned_ = true;
}

} // namespace chestnutstand
