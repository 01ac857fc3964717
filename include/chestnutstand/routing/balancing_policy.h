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

/// Generator behind every random choice; seeded by its owner.
using random_generator = std::mt19937_64;

/// A member of a service that may get the call.
struct candidate {
    const peer_load* load = nullptr;
    /// Round-trip time to the data centre of the member.
    milliseconds distance{0};
};

/// Circumstances of one choice.
struct selection_context {
    /// Rank of the call's priority class, 0 for the most urgent.
    std::size_t rank = 0;
    time_point now;
};

/// Where a policy gets its load reports from.
enum class report_source : std::uint8_t { none, replies, probes };

/// Chooses one of several candidates; the candidates are never empty. Not safe for concurrent use.
template <typename Policy>
concept balancing_policy = std::default_initializable<Policy> &&
    requires(Policy policy, std::span<const candidate> candidates,
             const selection_context& circumstances, random_generator& random)
{
    {
        policy.choose(candidates, circumstances, random)
        } -> std::same_as<std::size_t>;
    {
        Policy::reports
        } -> std::convertible_to<report_source>;
};

/// Any balancing policy, chosen by name at run time.
class any_policy {
public:
    any_policy() = default;
    any_policy(const any_policy&) = delete;
    any_policy& operator=(const any_policy&) = delete;
    virtual ~any_policy() = default;

    virtual std::size_t choose(std::span<const candidate> candidates,
                               const selection_context& circumstances,
                               random_generator& random) = 0;
    virtual report_source reports() const = 0;
};

/// Makes a policy available at run time.
template <balancing_policy Policy>
class policy_plugin final : public any_policy {
public:
    std::size_t choose(std::span<const candidate> candidates,
                       const selection_context& circumstances, random_generator& random) override
    {
        return policy_.choose(candidates, circumstances, random);
    }

    report_source reports() const override { return Policy::reports; }

private:
    Policy policy_;
};

using policy_registry = registry<any_policy>;

template <balancing_policy Policy>
using policy_registration = registration<policy_plugin<Policy>, any_policy>;

inline constexpr std::string_view default_policy = "two_choices";

/// Whether a recent report says that the peer would start a call at once.
bool has_known_room(const load_view& view);

/// Expected cost of sending a call to a candidate, in milliseconds.
double expected_cost(const candidate& peer, const selection_context& circumstances);

} // namespace chestnutstand
