#include "chestnutstand/routing/balancing_policy.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace chestnutstand {
namespace {

/// Lowest service time that a latency can stand for after the distance is subtracted.
constexpr double lowest_service_ms = 0.05;

/// Assumed of a peer whose latency is not known. It has to be below that of any measured peer, or
/// the new peer is never tried while the others are idle. Slow start limits how many calls try it.
constexpr double unknown_latency_ms = lowest_service_ms;
constexpr double unknown_limit = 10.0;

/// A peer has room while its load is below this part of its limit; above it waiting begins.
constexpr double room_below = 0.8;

/// A VM whose pace is at least this is avoided, as long as the report is recent: neighbours on its
/// hardware come and go within some hundred milliseconds.
constexpr double slow_pace = 1.5;
constexpr milliseconds pace_memory{150};

/// Age up to which a report of room is worth another placement of a call that was refused.
constexpr milliseconds room_memory{250};

/// Peers whose distance differs by less are taken as equally near.
constexpr milliseconds same_distance{0.5};

std::size_t random_index(std::size_t size, random_generator& random)
{
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random);
}

/// Takes any candidate.
struct random_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& /*circumstances*/, random_generator& random) const
    {
        return random_index(candidates.size(), random);
    }
};

/// Takes all candidates in turn.
struct round_robin_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& /*circumstances*/, random_generator& /*random*/)
    {
        return next_++ % candidates.size();
    }

private:
    std::size_t next_ = 0;
};

/// Takes the candidate with the fewest unanswered calls of this node, ties at random.
struct least_outstanding_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& circumstances, random_generator& random) const
    {
        std::size_t best = 0;
        std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
        std::size_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::uint32_t own =
                candidates[i].load->read(circumstances.rank, circumstances.now).own_in_flight;
            if (own > lowest) {
                continue;
            }
            ties = own < lowest ? 1 : ties + 1;
            lowest = own;
            if (random_index(ties, random) == 0) {
                best = i;
            }
        }
        return best;
    }
};

/// Takes the cheaper one of two different random candidates.
template <typename Cost>
std::size_t cheaper_of_two(std::span<const candidate> candidates, random_generator& random,
                           Cost cost)
{
    if (candidates.size() == 1) {
        return 0;
    }
    const std::size_t first = random_index(candidates.size(), random);
    const std::size_t other = random_index(candidates.size() - 1, random);
    const std::size_t second = other < first ? other : other + 1;
    return cost(candidates[second]) < cost(candidates[first]) ? second : first;
}

/// Expected cost of a call behind the given number of others.
double cost_behind(double ahead, const load_view& view, milliseconds distance)
{
    const double limit = view.limit > 0 ? static_cast<double>(view.limit) : unknown_limit;
    double latency =
        view.reported_latency.count() > 0.0 ? view.reported_latency.count() : unknown_latency_ms;
    if (view.latency.count() > 0.0) {
        // The measured latency includes the network, which queued calls do not wait for again.
        latency = std::max(view.latency.count() - distance.count(), lowest_service_ms);
    }
    return (ahead + 1.0) * latency / limit + distance.count();
}

/// Calls at a peer that are ahead of the next one. Calls that this node has not got back are there
/// for certain, whatever the report claims.
double known_load(const load_view& view)
{
    const double reported =
        static_cast<double>(view.in_flight) + view.queued_ahead + view.sent_since_report;
    return std::max(reported, static_cast<double>(view.own_in_flight));
}

bool is_slow(const load_view& view)
{
    return view.pace >= slow_pace && view.report_age && *view.report_age <= pace_memory;
}

bool has_room(const load_view& view)
{
    const double limit = view.limit > 0 ? static_cast<double>(view.limit) : unknown_limit;
    return known_load(view) < room_below * limit && !is_slow(view);
}

/// Candidates of the nearest data centre that has any with room; all when none has room.
std::vector<candidate> nearest_with_room(std::span<const candidate> candidates,
                                         const selection_context& circumstances,
                                         std::vector<std::size_t>& indexes)
{
    std::vector<bool> roomy(candidates.size());
    milliseconds nearest = milliseconds::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const load_view view = candidates[i].load->read(circumstances.rank, circumstances.now);
        roomy[i] = has_room(view);
        if (roomy[i]) {
            nearest = std::min(nearest, candidates[i].distance);
        }
    }
    const bool any = nearest != milliseconds::max();
    std::vector<candidate> wanted;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!any || (roomy[i] && candidates[i].distance <= nearest + same_distance)) {
            wanted.push_back(candidates[i]);
            indexes.push_back(i);
        }
    }
    return wanted;
}

/// Compares two candidates by the load that their replies carry. Both are taken from the nearest
/// data centre with room: two from all data centres are often both remote, which costs the distance
/// although a near member is free.
struct two_choices_policy {
    static constexpr report_source reports = report_source::replies;

    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& circumstances, random_generator& random) const
    {
        std::vector<std::size_t> indexes;
        const std::vector<candidate> near = nearest_with_room(candidates, circumstances, indexes);
        const std::size_t chosen = cheaper_of_two(near, random, [&](const candidate& peer) {
            return expected_cost(peer, circumstances);
        });
        return indexes[chosen];
    }
};

/// Compares two candidates by reports that only probes refresh.
struct two_choices_stale_policy {
    static constexpr report_source reports = report_source::probes;

    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& circumstances, random_generator& random) const
    {
        return cheaper_of_two(candidates, random, [&](const candidate& peer) {
            const load_view view = peer.load->read(circumstances.rank, circumstances.now);
            return cost_behind(static_cast<double>(view.in_flight) + view.queued_ahead, view,
                               peer.distance);
        });
    }
};

const policy_registration<random_policy> register_random{"random"};
const policy_registration<round_robin_policy> register_round_robin{"round_robin"};
const policy_registration<least_outstanding_policy> register_least{"least_outstanding"};
const policy_registration<two_choices_stale_policy> register_stale{"two_choices_stale"};
const policy_registration<two_choices_policy> register_two_choices{"two_choices"};

} // namespace

bool has_known_room(const load_view& view)
{
    return view.report_age && *view.report_age <= room_memory && has_room(view);
}

double expected_cost(const candidate& peer, const selection_context& circumstances)
{
    const load_view view = peer.load->read(circumstances.rank, circumstances.now);
    const double pace = is_slow(view) ? view.pace : 1.0;
    return cost_behind(known_load(view), view, peer.distance) * pace;
}

} // namespace chestnutstand
