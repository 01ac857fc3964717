#include "chestnutstand/membership/member_table.h"

#include <algorithm>

namespace chestnutstand {

namespace {

// Finalizer of SplitMix64: each input bit affects all output bits.
std::uint64_t mix(std::uint64_t x)
{
    x += 0x9e3779b97f4a7c15U;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

} // namespace

std::uint64_t member_table::digest_of(const member& state)
{
    return mix(state.node.instance ^ mix(state.incarnation));
}

const member* member_table::find(std::uint64_t instance) const
{
    const auto found = entries_.find(instance);
    return found == entries_.end() ? nullptr : &found->second.state;
}

bool member_table::merge(const member& incoming, time_point now)
{
    const auto [found, inserted] = entries_.try_emplace(incoming.node.instance);
    entry& known = found->second;
    if (!inserted) {
        if (!supersedes(incoming, known.state)) {
            return false;
        }
        remove_from_live(known);
    }
    known.state = incoming;
    known.changed = now;
    add_to_live(incoming.node.instance, known);
    return true;
}

void member_table::add_to_live(std::uint64_t instance, entry& added)
{
    if (!is_live(added.state)) {
        return;
    }
    added.live_index = live_.size();
    live_.push_back(instance);
    digest_ ^= digest_of(added.state);
}

void member_table::remove_from_live(const entry& removed)
{
    if (!is_live(removed.state)) {
        return;
    }
    digest_ ^= digest_of(removed.state);
    const std::size_t index = removed.live_index;
    live_[index] = live_.back();
    entries_.at(live_[index]).live_index = index;
    live_.pop_back();
}

void member_table::purge(time_point now, milliseconds retention)
{
    std::erase_if(entries_, [&](const auto& item) {
        return !is_live(item.second.state) && now - item.second.changed > retention;
    });
}

std::vector<const member*> member_table::random_live(std::size_t count, std::uint64_t excluded,
                                                     std::mt19937_64& random) const
{
    std::vector<std::uint64_t> chosen;
    const auto is_excluded = [&](std::uint64_t instance) {
        return instance == excluded ||
               std::find(chosen.begin(), chosen.end(), instance) != chosen.end();
    };
    if (live_.size() <= count + 1) {
        std::copy_if(live_.begin(), live_.end(), std::back_inserter(chosen),
                     [&](std::uint64_t instance) { return instance != excluded; });
        std::shuffle(chosen.begin(), chosen.end(), random);
        chosen.resize(std::min(chosen.size(), count));
    }
    else {
        std::uniform_int_distribution<std::size_t> index{0, live_.size() - 1};
        while (chosen.size() < count) {
            const std::uint64_t instance = live_[index(random)];
            if (!is_excluded(instance)) {
                chosen.push_back(instance);
            }
        }
    }
    std::vector<const member*> result;
    result.reserve(chosen.size());
    for (const std::uint64_t instance : chosen) {
        result.push_back(find(instance));
    }
    return result;
}

const member* member_table::random_dead(std::mt19937_64& random) const
{
    std::vector<const member*> dead;
    for (const auto& [instance, known] : entries_) {
        if (known.state.state == liveness::dead) {
            dead.push_back(&known.state);
        }
    }
    if (dead.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> index{0, dead.size() - 1};
    return dead[index(random)];
}

} // namespace chestnutstand
