#pragma once

#include "chestnutstand/config/document.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chestnutstand {

/// Number of priority ranks in the load of a peer; all less urgent classes share the last rank.
inline constexpr std::size_t priority_rank_count = 8;

/// Priority classes of a service from the most to the least urgent: ordered by configured rank,
/// then by latency target, then by position in the document.
class priority_order {
public:
    priority_order() = default;

    explicit priority_order(const service_config& service)
    {
        std::vector<const priority_config*> sorted;
        sorted.reserve(service.priorities.size());
        for (const priority_config& priority : service.priorities) {
            sorted.push_back(&priority);
        }
        std::stable_sort(sorted.begin(), sorted.end(), [](const auto* left, const auto* right) {
            return std::tie(left->rank, left->latency_target) <
                   std::tie(right->rank, right->latency_target);
        });
        names_.reserve(sorted.size());
        for (const priority_config* priority : sorted) {
            names_.push_back(priority->name);
        }
    }

    /// Rank of a class, 0 for the most urgent; an unknown class ranks after all others.
    std::size_t rank(std::string_view priority) const
    {
        const auto found = std::find(names_.begin(), names_.end(), priority);
        const auto index = static_cast<std::size_t>(found - names_.begin());
        return std::min(index, priority_rank_count - 1);
    }

private:
    std::vector<std::string> names_;
};

} // namespace chestnutstand
