#include "fault_plan.h"

#include <algorithm>
#include <random>

namespace chestnutstand::soak {
namespace {

constexpr double first_series_ms = 2'000;
constexpr double longest_pause_ms = 4'000;
constexpr double series_ms = 2'000;
constexpr std::size_t largest_series = 4;
constexpr double shortest_fault_ms = 200;
constexpr double longest_fault_ms = 7'000;
/// One fault in three stops, kills or pauses a node.
constexpr std::size_t process_share = 3;
constexpr std::size_t process_kinds = static_cast<std::size_t>(fault_kind::stop_node) + 1;

} // namespace

std::vector<planned_fault> plan_faults(std::uint64_t seed, milliseconds length, std::size_t nodes)
{
    std::mt19937_64 random{seed};
    const auto between = [&](double low, double high) {
        return low + (high - low) * static_cast<double>(random() >> 11U) * 0x1p-53;
    };
    std::vector<planned_fault> plan;
    double series = first_series_ms;
    while (series < length.count()) {
        const std::size_t count = 1 + random() % largest_series;
        // Faults of a series often hit the same node.
        const std::size_t focus = random() % nodes;
        for (std::size_t i = 0; i < count; ++i) {
            planned_fault fault;
            const std::size_t kinds =
                random() % process_share == 0 ? process_kinds : fault_kind_names.size();
            fault.kind = static_cast<fault_kind>(random() % kinds);
            fault.node = random() % 2 == 0 ? focus : random() % nodes;
            fault.from = milliseconds{series + between(0, series_ms)};
            fault.duration = milliseconds{between(shortest_fault_ms, longest_fault_ms)};
            fault.variant = random();
            plan.push_back(fault);
        }
        series += between(series_ms, series_ms + longest_pause_ms);
    }
    std::sort(plan.begin(), plan.end(),
              [](const auto& a, const auto& b) { return a.from < b.from; });
    return plan;
}

} // namespace chestnutstand::soak
