#include "fault_plan.h"

#include <algorithm>
#include <random>

namespace chestnutstand::soak {
namespace {

constexpr double first_burst_ms = 2'000;
constexpr double max_pause_ms = 4'000;
constexpr double burst_ms = 2'000;
constexpr std::size_t max_burst_size = 4;
constexpr double min_fault_ms = 200;
constexpr double max_fault_ms = 7'000;
/// One fault in three stops, kills or pauses a node; the others are of any kind.
constexpr std::size_t process_fault_interval = 3;
constexpr std::size_t process_kind_count = static_cast<std::size_t>(fault_kind::stop_node) + 1;

} // namespace

std::vector<planned_fault> plan_faults(std::uint64_t seed, milliseconds length, std::size_t nodes)
{
    std::mt19937_64 random{seed};
    const auto between = [&](double low, double high) {
        return low + (high - low) * static_cast<double>(random() >> 11U) * 0x1p-53;
    };
    std::vector<planned_fault> plan;
    double burst_start = first_burst_ms;
    while (burst_start < length.count()) {
        const std::size_t count = 1 + random() % max_burst_size;
        // About half of the faults of a burst affect the same node.
        const std::size_t common_node = random() % nodes;
        for (std::size_t i = 0; i < count; ++i) {
            planned_fault fault;
            const std::size_t kind_count = random() % process_fault_interval == 0
                                               ? process_kind_count
                                               : fault_kind_names.size();
            fault.kind = static_cast<fault_kind>(random() % kind_count);
            fault.node = random() % 2 == 0 ? common_node : random() % nodes;
            fault.from = milliseconds{burst_start + between(0, burst_ms)};
            fault.duration = milliseconds{between(min_fault_ms, max_fault_ms)};
            fault.variant = random();
            plan.push_back(fault);
        }
        burst_start += between(burst_ms, burst_ms + max_pause_ms);
    }
    std::sort(plan.begin(), plan.end(),
              [](const auto& a, const auto& b) { return a.from < b.from; });
    return plan;
}

} // namespace chestnutstand::soak
