#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace chestnutstand {

struct deputy_search_options {
    /// Nodes asked at the same time. Bounds the calls of the source while nobody can reach it.
    std::size_t asks_per_round = 4;
    /// Time between the first rounds. After those it is doubled with each round, up to the limit.
    milliseconds initial_interval{250};
    std::size_t first_rounds = 7;
    milliseconds max_interval{1'000};
    /// Time between two questions to a deputy.
    milliseconds renewal_interval{1'000};
};

/// Node that may be asked to read the source.
struct deputy_candidate {
    node_reference node;
    /// Whether it is in the data centre of the node that asks.
    bool is_near = false;
};

/// Chooses the nodes that a lead asks to read the source of the document while it cannot reach the
/// source itself: a source may turn away some nodes, all readers among them, and serve others. Once
/// a node has read the source, it is the only one that is asked. Does no I/O and reads no clock.
class deputy_search {
public:
    deputy_search(const deputy_search_options& options, std::uint64_t random_seed);

    /// To be called when the node's own reads fail. Returns false if the search was already active.
    bool start();
    /// To be called when a read of the node itself has succeeded. Remembers the deputy.
    void stop() { active_ = false; }
    bool active() const { return active_; }

    /// Nodes to ask now: the deputy, or nodes that have not been asked since the search began, one
    /// of them of another data centre if there is one. Starts over when all have been asked.
    std::vector<node_reference> next_round(std::vector<deputy_candidate> candidates);
    /// Time from this round to the next one.
    milliseconds interval() const;

    /// Reports whether a node that was asked has read the source.
    void on_reply(const node_reference& peer, bool source_read);

    const std::optional<node_reference>& deputy() const { return deputy_; }

private:
    deputy_search_options options_;
    std::mt19937_64 random_;
    bool active_ = false;
    milliseconds interval_{0};
    std::size_t rounds_ = 0;
    std::optional<node_reference> deputy_;
    /// Instances that have been asked without success.
    std::set<std::uint64_t> asked_;
};

} // namespace chestnutstand
