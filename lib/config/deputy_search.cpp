#include "chestnutstand/config/deputy_search.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {

deputy_search::deputy_search(const deputy_search_options& options, std::uint64_t random_seed)
    : options_{options}, random_{random_seed}
{
}

bool deputy_search::start()
{
    if (std::exchange(active_, true)) {
        return false;
    }
    rounds_ = 0;
    asked_.clear();
    return true;
}

std::vector<node_reference> deputy_search::next_round(std::vector<deputy_candidate> candidates)
{
    if (deputy_) {
        const bool is_live = std::any_of(candidates.begin(), candidates.end(),
                                         [&](const auto& each) { return each.node == *deputy_; });
        if (is_live) {
            return {*deputy_};
        }
        deputy_.reset();
    }
    interval_ = ++rounds_ <= options_.first_rounds
                    ? options_.initial_interval
                    : std::min(interval_ * 2.0, options_.max_interval);
    const auto was_asked = [this](const deputy_candidate& each) {
        return asked_.contains(each.node.instance);
    };
    if (std::all_of(candidates.begin(), candidates.end(), was_asked)) {
        asked_.clear();
    }
    std::erase_if(candidates, was_asked);
    std::shuffle(candidates.begin(), candidates.end(), random_);
    const auto far = std::stable_partition(candidates.begin(), candidates.end(),
                                           [](const auto& each) { return each.is_near; });
    if (far != candidates.end()) {
        const auto last = std::min(candidates.size(), options_.asks_per_round) - 1;
        std::iter_swap(candidates.begin() + static_cast<std::ptrdiff_t>(last), far);
    }
    candidates.resize(std::min(candidates.size(), options_.asks_per_round));
    std::vector<node_reference> chosen;
    for (const auto& candidate : candidates) {
        asked_.insert(candidate.node.instance);
        chosen.push_back(candidate.node);
    }
    return chosen;
}

milliseconds deputy_search::interval() const
{
    return deputy_ ? options_.renewal_interval : interval_;
}

void deputy_search::on_reply(const node_reference& peer, bool source_read)
{
    if (source_read) {
        if (!deputy_) {
            deputy_ = peer;
        }
        return;
    }
    if (deputy_ == peer) {
        deputy_.reset();
        rounds_ = 0;
        asked_ = {peer.instance};
    }
}

} // namespace chestnutstand
