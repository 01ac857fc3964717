#include "chestnutstand/routing/balancing_policy.h"

#include <algorithm>
#include <limits>

namespace chestnutstand {
namespace {

/// Assumed of a peer that has not reported yet, so that it is tried early but not by everybody.
constexpr double unknown_latency_ms = 1.0;
constexpr double unknown_limit = 10.0;

/// Lowest service time that a latency can stand for after the distance is subtracted.
constexpr double lowest_service_ms = 0.05;

std::size_t random_index(std::size_t size, random_generator& random)
{
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random);
}

/// Takes any candidate.
struct random_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates, const selection& /*circumstances*/,
                       random_generator& random) const
    {
        return random_index(candidates.size(), random);
    }
};

/// Takes all candidates in turn.
struct round_robin_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates, const selection& /*circumstances*/,
                       random_generator& /*random*/)
    {
        return next_++ % candidates.size();
    }

private:
    std::size_t next_ = 0;
};

/// Takes the candidate with the fewest unanswered calls of this node, ties at random.
struct least_outstanding_policy {
    static constexpr report_source reports = report_source::none;

    std::size_t choose(std::span<const candidate> candidates, const selection& circumstances,
                       random_generator& random) const
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

/// Compares two candidates by the load that their replies carry.
struct two_choices_policy {
    static constexpr report_source reports = report_source::replies;

    std::size_t choose(std::span<const candidate> candidates, const selection& circumstances,
                       random_generator& random) const
    {
        return cheaper_of_two(candidates, random, [&](const candidate& peer) {
            return expected_cost(peer, circumstances);
        });
    }
};

/// Compares two candidates by reports that only probes refresh.
struct two_choices_stale_policy {
    static constexpr report_source reports = report_source::probes;

    std::size_t choose(std::span<const candidate> candidates, const selection& circumstances,
                       random_generator& random) const
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

double expected_cost(const candidate& peer, const selection& circumstances)
{
    const load_view view = peer.load->read(circumstances.rank, circumstances.now);
    const double ahead =
        static_cast<double>(view.in_flight) + view.queued_ahead + view.sent_since_report;
    return cost_behind(ahead, view, peer.distance);
}

} // namespace chestnutstand
