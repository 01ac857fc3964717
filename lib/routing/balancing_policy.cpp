#include "chestnutstand/routing/balancing_policy.h"

#include <algorithm>

namespace chestnutstand {
namespace {

/// Assumed of a peer that has not reported yet, so that it is tried early but not by everybody.
constexpr double unknown_latency_ms = 1.0;
constexpr double unknown_limit = 10.0;

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

/// Takes the better one of two different random candidates.
std::size_t better_of_two(std::span<const candidate> candidates, const selection& circumstances,
                          random_generator& random)
{
    if (candidates.size() == 1) {
        return 0;
    }
    const std::size_t first = random_index(candidates.size(), random);
    const std::size_t other = random_index(candidates.size() - 1, random);
    const std::size_t second = other < first ? other : other + 1;
    const double first_cost = expected_cost(candidates[first], circumstances);
    const double second_cost = expected_cost(candidates[second], circumstances);
    return second_cost < first_cost ? second : first;
}

/// Compares two candidates by the load that their replies carry.
struct two_choices_policy {
    static constexpr report_source reports = report_source::replies;

    std::size_t choose(std::span<const candidate> candidates, const selection& circumstances,
                       random_generator& random) const
    {
        return better_of_two(candidates, circumstances, random);
    }
};

const policy_registration<random_policy> register_random{"random"};
const policy_registration<two_choices_policy> register_two_choices{"two_choices"};

} // namespace

double expected_cost(const candidate& peer, const selection& circumstances)
{
    const load_view view = peer.load->read(circumstances.rank, circumstances.now);
    const double latency = view.latency.count() > 0.0 ? view.latency.count() : unknown_latency_ms;
    const double limit = view.limit > 0 ? static_cast<double>(view.limit) : unknown_limit;
    const double ahead =
        static_cast<double>(view.in_flight) + view.queued_ahead + view.sent_since_report;
    return (ahead + 1.0) * latency / limit + peer.distance.count();
}

} // namespace chestnutstand
