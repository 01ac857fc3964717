#include "response_budget.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chestnutstand {

void response_budget::update(response_reader& reader)
{
    const auto [found, is_new] = held_by_.try_emplace(&reader);
    holding& own = found->second;
    if (is_new) {
        own.memory = memory_lease{memory_, 0};
    }
    held_bytes_ += reader.held_bytes() - own.bytes;
    own.bytes = reader.held_bytes();
    while (held_bytes_ > max_bytes_) {
        abandon_largest();
    }
    const time_point now = ms_clock::now();
    while (reader.error() == http_error::none &&
           !held_by_.at(&reader).memory.resize(reader.held_bytes(), now)) {
        abandon_largest();
    }
}

void response_budget::remove(response_reader& reader)
{
    take(reader);
}

memory_lease response_budget::take(response_reader& reader)
{
    memory_lease memory;
    const auto found = held_by_.find(&reader);
    if (found != held_by_.end()) {
        held_bytes_ -= found->second.bytes;
        memory = std::move(found->second.memory);
        held_by_.erase(found);
    }
    return memory;
}

bool response_budget::take_abandoned()
{
    return std::exchange(abandoned_, false);
}

void response_budget::abandon_largest()
{
    const auto largest =
        std::max_element(held_by_.begin(), held_by_.end(), [](const auto& left, const auto& right) {
            return left.second.bytes < right.second.bytes;
        });
    response_reader& reader = *largest->first;
    log_event(log_level::warning, "response abandoned for its size",
              {{"bytes", std::uint64_t{largest->second.bytes}},
               {"bytes_of_all_responses", std::uint64_t{held_bytes_}},
               {"limit", std::uint64_t{max_bytes_}}});
    held_bytes_ -= largest->second.bytes;
    held_by_.erase(largest);
    reader.abandon(http_error::too_large);
    abandoned_ = true;
}

} // namespace chestnutstand
