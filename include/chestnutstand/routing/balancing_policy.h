#pragma once

#include "chestnutstand/routing/peer_load.h"
#include "chestnutstand/support/registry.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace chestnutstand {

/// Random number generator for all random decisions; the owner of an instance seeds it.
using random_generator = std::mt19937_64;

/// A member of a service that is eligible for the call.
struct candidate {
    const peer_load* load = nullptr;
    /// Round-trip time to the data centre of the member.
    milliseconds distance{0};
};

/// Properties of the call to place and the time of the choice.
struct selection_context {
    /// Rank of the call's priority class, 0 for the most urgent.
    std::size_t rank = 0;
    time_point now;
};

/// Which messages deliver the load reports that a policy uses.
enum class report_source : std::uint8_t { none, replies, probes };

/// Returns the index of one candidate; the list of candidates must not be empty. Not safe for
/// concurrent use.
template <typename Policy>
concept balancing_policy = std::default_initializable<Policy> &&
    requires(Policy policy, std::span<const candidate> candidates, const selection_context& context,
             random_generator& random)
{
    {
        policy.choose(candidates, context, random)
        } -> std::same_as<std::size_t>;
    {
        Policy::reports
        } -> std::convertible_to<report_source>;
};

/// Interface of the balancing policies that are selected by name at run time.
class any_policy {
public:
    any_policy() = default;
    any_policy(const any_policy&) = delete;
    any_policy& operator=(const any_policy&) = delete;
    virtual ~any_policy() = default;

    virtual std::size_t choose(std::span<const candidate> candidates,
                               const selection_context& context, random_generator& random) = 0;
    virtual report_source reports() const = 0;
};

/// Adapts a policy type to the interface any_policy.
template <balancing_policy Policy>
class policy_plugin final : public any_policy {
public:
    std::size_t choose(std::span<const candidate> candidates, const selection_context& context,
                       random_generator& random) override
    {
        return policy_.choose(candidates, context, random);
    }

    report_source reports() const override { return Policy::reports; }

private:
    Policy policy_;
};

using policy_registry = registry<any_policy>;

template <balancing_policy Policy>
using policy_registration = registration<policy_plugin<Policy>, any_policy>;

inline constexpr std::string_view default_policy = "two_choices";

/// Whether a recent report shows that the peer would start a call without queueing it.
bool has_known_spare_capacity(const load_view& view);

/// Expected cost of sending a call to a candidate, in milliseconds.
double expected_cost(const candidate& peer, const selection_context& context);

} // namespace chestnutstand
