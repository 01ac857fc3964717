#include "replay_model.h"

#include <algorithm>
#include <memory>
#include <stdexcept>

namespace chestnutstand::replay {
namespace {

constexpr milliseconds pattern_start{1'000};
constexpr milliseconds pattern_end{7'000};
constexpr std::size_t urgent = 0;
constexpr std::size_t normal = 1;

/// Acts on the first members from the start to the end of the pattern.
template <typename Change>
pattern on_members(std::string name, std::size_t count, Change change)
{
    return {std::move(name), [count, change](model& all) {
                for (std::size_t i = 0; i < count; ++i) {
                    all.at(pattern_start, [&all, i, change] { change(all.member(i), true); });
                    all.at(pattern_end, [&all, i, change] { change(all.member(i), false); });
                }
            }};
}

pattern burst(std::string name, std::size_t kind, double factor)
{
    return {std::move(name), [kind, factor](model& all) {
                all.at(pattern_start, [&all, kind, factor] { all.set_burst(kind, factor); });
                all.at(pattern_end, [&all, kind] { all.set_burst(kind, 1.0); });
            }};
}

/// A VM is slow for some hundred milliseconds, then as usual for about three times as long.
void make_noise(model& all, std::size_t index, const std::shared_ptr<std::mt19937_64>& random)
{
    replay_member& which = all.member(index);
    which.pace = which.pace > 1.0 ? 1.0 : 4.0;
    std::exponential_distribution<double> length{1.0 / (which.pace > 1.0 ? 150.0 : 450.0)};
    const milliseconds next{std::max(1.0, length(*random))};
    all.after(next, [&all, index, random] { make_noise(all, index, random); });
}

pattern noise()
{
    return {"noise", [](model& all) {
                const auto random = std::make_shared<std::mt19937_64>(all.random()());
                for (std::size_t i = 0; i < all.size(); ++i) {
                    all.at(milliseconds{0}, [&all, i, random] { make_noise(all, i, random); });
                }
            }};
}

pattern cold_starts()
{
    return {"cold starts", [](model& all) {
                for (std::size_t i = 0; i < 3; ++i) {
                    all.at(pattern_start + milliseconds{500} * static_cast<double>(i), [&all, i] {
                        all.add_cold_member(6.0, milliseconds{3'000});
                        all.member(i).drain();
                        all.remove_member(i);
                    });
                }
            }};
}

pattern lost_members()
{
    return {"machines lost", [](model& all) {
                for (std::size_t i = 0; i < 3; ++i) {
                    all.at(pattern_start, [&all, i] { all.member(i).silent = true; });
                    // Membership finds a death after some seconds.
                    all.at(pattern_start + milliseconds{5'000},
                           [&all, i] { all.remove_member(i); });
                }
            }};
}

std::vector<pattern> make_patterns()
{
    return {
        {"calm", [](model&) {}},
        burst("burst of one kind", normal, 2.5),
        burst("burst of the most urgent kind", urgent, 4.0),
        on_members("slow upstream", 2,
                   [](replay_member& which, bool on) { which.slowdown = on ? 8.0 : 1.0; }),
        on_members("failing fast", 2, [](replay_member& which, bool on) { which.fails_fast = on; }),
        on_members("full and mute", 2,
                   [](replay_member& which, bool on) { which.mute_from = on ? 4 : 0; }),
        on_members("rejections with free slots", 4,
                   [](replay_member& which, bool on) { which.rejected_share = on ? 0.3 : 0.0; }),
        on_members("silent nodes", 2, [](replay_member& which, bool on) { which.silent = on; }),
        noise(),
        cold_starts(),
        lost_members(),
    };
}

} // namespace

replay_settings refund_desk()
{
    replay_settings described;
    described.kinds = {{"urgent", milliseconds{60}, 8.0, milliseconds{10}, 0.15},
                       {"normal", milliseconds{200}, 3.0, milliseconds{40}, 0.3},
                       {"batch", milliseconds{1'500}, 1.0, milliseconds{150}, 0.15}};
    return described;
}

const std::vector<pattern>& patterns()
{
    static const std::vector<pattern> all = make_patterns();
    return all;
}

const pattern& find_pattern(const std::string& name)
{
    const auto found = std::find_if(patterns().begin(), patterns().end(),
                                    [&](const pattern& each) { return each.name == name; });
    if (found == patterns().end()) {
        throw std::invalid_argument{"no pattern is called " + name};
    }
    return *found;
}

} // namespace chestnutstand::replay
