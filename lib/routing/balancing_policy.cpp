#include "chestnutstand/routing/balancing_policy.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace chestnutstand {
namespace {

/// Lower bound of the service time that remains when the distance is subtracted from a latency.
constexpr double min_service_ms = 0.05;

/// Assumed latency and limit of a peer without measurements. The latency has to be at most that of
/// any measured peer; otherwise a new peer gets no calls while the others are idle. Slow start
/// limits how many calls a new peer gets.
constexpr double default_latency_ms = min_service_ms;
constexpr double default_limit = 10.0;

/// A peer has spare capacity while its load is below this fraction of its limit. Calls begin to
/// queue above it.
constexpr double spare_capacity_below = 0.8;

/// A peer whose VM has at least this pace counts as slow while its report is recent. Other VMs on
/// the same hardware slow it down for a few hundred milliseconds at a time.
constexpr double slow_pace = 1.5;
constexpr milliseconds pace_max_age{150};

/// Maximum age of a report of spare capacity on which a refused call is sent to another peer.
constexpr milliseconds spare_capacity_max_age{250};

/// Peers whose distances differ by at most this count as equally near.
constexpr milliseconds distance_tolerance{0.5};

std::size_t random_index(std::size_t size, random_generator& random)
{
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random);
}

/// Chooses a random candidate.
struct random_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates, const selection_context& /*context*/,
                       random_generator& random) const
    {
        return random_index(candidates.size(), random);
    }
};

/// Chooses the candidates in turn.
struct round_robin_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates, const selection_context& /*context*/,
                       random_generator& /*random*/)
    {
        return next_++ % candidates.size();
    }

private:
    std::size_t next_ = 0;
};

/// Chooses the candidate with the fewest calls in flight from this node; breaks ties at random.
struct least_outstanding_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates, const selection_context& context,
                       random_generator& random) const
    {
        std::size_t best = 0;
        std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
        std::size_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::uint32_t in_flight =
                candidates[i].load->read(context.rank, context.now).own_in_flight;
            if (in_flight > lowest) {
                continue;
            }
            ties = in_flight < lowest ? 1 : ties + 1;
            lowest = in_flight;
            if (random_index(ties, random) == 0) {
                best = i;
            }
        }
        return best;
    }
};

/// Chooses the cheaper of two different random candidates.
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

/// Expected time in milliseconds until a call ends that is behind the given number of others.
double queueing_cost(double calls_ahead, const load_view& view, milliseconds distance)
{
    const double limit = view.limit > 0 ? static_cast<double>(view.limit) : default_limit;
    double latency =
        view.reported_latency.count() > 0.0 ? view.reported_latency.count() : default_latency_ms;
    if (view.latency.count() > 0.0) {
        // The measured latency includes the network delay, which occurs once and not for each call
        // ahead.
        latency = std::max(view.latency.count() - distance.count(), min_service_ms);
    }
    return (calls_ahead + 1.0) * latency / limit + distance.count();
}

/// Estimated number of calls at a peer that are ahead of the next one. It is at least the number of
/// calls in flight from this node, even if the report shows fewer.
double estimated_load(const load_view& view)
{
    const double reported =
        static_cast<double>(view.in_flight) + view.queued_ahead + view.sent_since_report;
    return std::max(reported, static_cast<double>(view.own_in_flight));
}

bool is_slow(const load_view& view)
{
    return view.pace >= slow_pace && view.report_age && *view.report_age <= pace_max_age;
}

bool has_spare_capacity(const load_view& view)
{
    const double limit = view.limit > 0 ? static_cast<double>(view.limit) : default_limit;
    return estimated_load(view) < spare_capacity_below * limit && !is_slow(view);
}

/// Returns the candidates with spare capacity in the nearest data centre that has any, or all
/// candidates when none has spare capacity. Appends their positions to indexes.
std::vector<candidate> nearest_with_spare_capacity(std::span<const candidate> candidates,
                                                   const selection_context& context,
                                                   std::vector<std::size_t>& indexes)
{
    std::vector<bool> available(candidates.size());
    milliseconds nearest = milliseconds::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const load_view view = candidates[i].load->read(context.rank, context.now);
        available[i] = has_spare_capacity(view);
        if (available[i]) {
            nearest = std::min(nearest, candidates[i].distance);
        }
    }
    const bool any_available = nearest != milliseconds::max();
    std::vector<candidate> selected;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!any_available ||
            (available[i] && candidates[i].distance <= nearest + distance_tolerance)) {
            selected.push_back(candidates[i]);
            indexes.push_back(i);
        }
    }
    return selected;
}

/// Compares two candidates by the load reports in their replies. Both are chosen from the nearest
/// data centre with spare capacity. Two candidates from all data centres are often both remote,
/// which adds the network latency although a nearer member is free.
struct two_choices_policy {
    static constexpr report_source reports = report_source::replies;

    std::size_t choose(std::span<const candidate> candidates, const selection_context& context,
                       random_generator& random) const
    {
        std::vector<std::size_t> indexes;
        const std::vector<candidate> near =
            nearest_with_spare_capacity(candidates, context, indexes);
        const std::size_t chosen = cheaper_of_two(
            near, random, [&](const candidate& peer) { return expected_cost(peer, context); });
        return indexes[chosen];
    }
};

/// Compares two candidates by load reports that are only updated by probes.
struct two_choices_stale_policy {
    static constexpr report_source reports = report_source::probes;

    std::size_t choose(std::span<const candidate> candidates, const selection_context& context,
                       random_generator& random) const
    {
        return cheaper_of_two(candidates, random, [&](const candidate& peer) {
            const load_view view = peer.load->read(context.rank, context.now);
            return queueing_cost(static_cast<double>(view.in_flight) + view.queued_ahead, view,
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

bool has_known_spare_capacity(const load_view& view)
{
    return view.report_age && *view.report_age <= spare_capacity_max_age &&
           has_spare_capacity(view);
}

double expected_cost(const candidate& peer, const selection_context& context)
{
    const load_view view = peer.load->read(context.rank, context.now);
    const double pace = is_slow(view) ? view.pace : 1.0;
    return queueing_cost(estimated_load(view), view, peer.distance) * pace;
}

} // namespace chestnutstand
