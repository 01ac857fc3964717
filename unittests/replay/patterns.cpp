#include "replay_model.h"

#include <algorithm>
#include <memory>
#include <stdexcept>

namespace chestnutstand::replay {
namespace {

constexpr milliseconds pattern_start{1'000};
constexpr milliseconds pattern_end{7'000};
constexpr std::size_t urgent_kind = 0;
constexpr std::size_t normal_kind = 1;

/// Changes the first members at the start of the pattern and restores them at its end.
template <typename Change>
pattern on_members(std::string name, std::size_t count, Change change)
{
    return {std::move(name), [count, change](model& simulation) {
                for (std::size_t i = 0; i < count; ++i) {
                    simulation.at(pattern_start,
                                  [&simulation, i, change] { change(simulation.member(i), true); });
                    simulation.at(pattern_end, [&simulation, i, change] {
                        change(simulation.member(i), false);
                    });
                }
            }};
}

pattern burst(std::string name, std::size_t kind, double factor)
{
    return {std::move(name), [kind, factor](model& simulation) {
                simulation.at(pattern_start, [&simulation, kind, factor] {
                    simulation.set_load_factor(kind, factor);
                });
                simulation.at(pattern_end,
                              [&simulation, kind] { simulation.set_load_factor(kind, 1.0); });
            }};
}

/// Switches a VM between slow and usual speed. The slow periods last 150 ms on average and the
/// others 450 ms.
void toggle_contention(model& simulation, std::size_t index,
                       const std::shared_ptr<std::mt19937_64>& random)
{
    replay_member& member = simulation.member(index);
    member.pace = member.pace > 1.0 ? 1.0 : 4.0;
    std::exponential_distribution<double> length{1.0 / (member.pace > 1.0 ? 150.0 : 450.0)};
    const milliseconds next{std::max(1.0, length(*random))};
    simulation.after(
        next, [&simulation, index, random] { toggle_contention(simulation, index, random); });
}

pattern noisy_neighbours()
{
    return {"noise", [](model& simulation) {
                const auto random = std::make_shared<std::mt19937_64>(simulation.random()());
                for (std::size_t i = 0; i < simulation.size(); ++i) {
                    simulation.at(milliseconds{0}, [&simulation, i, random] {
                        toggle_contention(simulation, i, random);
                    });
                }
            }};
}

pattern cold_starts()
{
    return {"cold starts", [](model& simulation) {
                for (std::size_t i = 0; i < 3; ++i) {
                    simulation.at(pattern_start + milliseconds{500} * static_cast<double>(i),
                                  [&simulation, i] {
                                      simulation.add_cold_member(6.0, milliseconds{3'000});
                                      simulation.member(i).drain();
                                      simulation.remove_member(i);
                                  });
                }
            }};
}

pattern lost_members()
{
    return {"machines lost", [](model& simulation) {
                for (std::size_t i = 0; i < 3; ++i) {
                    simulation.at(pattern_start,
                                  [&simulation, i] { simulation.member(i).silent = true; });
                    // Membership takes several seconds to detect a dead member.
                    simulation.at(pattern_start + milliseconds{5'000},
                                  [&simulation, i] { simulation.remove_member(i); });
                }
            }};
}

std::vector<pattern> make_patterns()
{
    return {
        {"calm", [](model&) {}},
        burst("burst of one kind", normal_kind, 2.5),
        burst("burst of the most urgent kind", urgent_kind, 4.0),
        on_members(
            "slow upstream", 2,
            [](replay_member& member, bool active) { member.slowdown = active ? 8.0 : 1.0; }),
        on_members("failing fast", 2,
                   [](replay_member& member, bool active) { member.fails_fast = active; }),
        on_members("full and mute", 2,
                   [](replay_member& member, bool active) { member.stalls_from = active ? 4 : 0; }),
        on_members(
            "rejections with free slots", 4,
            [](replay_member& member, bool active) { member.rejected_share = active ? 0.3 : 0.0; }),
        on_members("silent nodes", 2,
                   [](replay_member& member, bool active) { member.silent = active; }),
        noisy_neighbours(),
        cold_starts(),
        lost_members(),
    };
}

} // namespace

replay_settings refund_desk()
{
    replay_settings settings;
    settings.kinds = {{"urgent", milliseconds{60}, 8.0, milliseconds{10}, 0.15},
                      {"normal", milliseconds{200}, 3.0, milliseconds{40}, 0.3},
                      {"batch", milliseconds{1'500}, 1.0, milliseconds{150}, 0.15}};
    return settings;
}

const std::vector<pattern>& patterns()
{
    static const std::vector<pattern> all = make_patterns();
    return all;
}

const pattern& find_pattern(const std::string& name)
{
    const auto found = std::find_if(patterns().begin(), patterns().end(),
                                    [&](const pattern& entry) { return entry.name == name; });
    if (found == patterns().end()) {
        throw std::invalid_argument{"no pattern is called " + name};
    }
    return *found;
}

} // namespace chestnutstand::replay
