#include "chestnutstand/routing/outlier_detector.h"

#include "chestnutstand/routing/slow_start.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <random>
#include <utility>

namespace chestnutstand {
namespace {

/// Size of the window in calls. A window of calls rather than of time ejects a member that fails
/// within microseconds after as few calls as one that fails slowly.
constexpr std::uint8_t window_calls = 16;

/// Calls that must have ended before a member can be ejected, normally and during readmission.
constexpr std::uint8_t min_calls = 5;
constexpr std::uint8_t min_calls_readmitting = 2;

/// A member is ejected when its failure ratio is at least ejection_ratio and exceeds the average of
/// the other members by at least the margin. If all members fail equally often, ejecting some only
/// overloads the others.
constexpr double ejection_ratio = 0.5;
constexpr double ejection_margin = 0.3;

/// Results of earlier calls are ignored when no call has ended for this long.
constexpr milliseconds history_lifetime{10'000};

constexpr milliseconds base_ejection_period{1'000};
constexpr milliseconds max_ejection_period{60'000};
constexpr double jitter = 0.25;

} // namespace

void outlier_detector::set_members(const std::vector<std::uint64_t>& instances)
{
    std::unordered_map<std::uint64_t, history> next;
    next.reserve(instances.size());
    for (const std::uint64_t instance : instances) {
        next.emplace(instance, members_[instance]);
    }
    members_ = std::move(next);
}

ejection_change outlier_detector::record(std::uint64_t instance, bool succeeded, time_point now,
                                         random_generator& random)
{
    const auto found = members_.find(instance);
    if (found == members_.end() || now < found->second.ejected_until) {
        return ejection_change::none;
    }
    history& member = found->second;
    if (now - member.last_call > history_lifetime) {
        member.calls = 0;
        member.failures = 0;
    }
    member.last_call = now;
    member.failures = static_cast<std::uint16_t>((member.failures << 1U) | (succeeded ? 0U : 1U));
    member.calls = std::min<std::uint8_t>(window_calls, member.calls + 1);
    if (is_outlier(instance, member, now)) {
        eject(member, now, random);
        return ejection_change::ejected;
    }
    if (member.calls == window_calls && member.failures == 0 && !is_readmitting(member, now)) {
        member.ejections = 0;
        member.was_ejected = false;
    }
    const bool is_first = member.was_ejected && !std::exchange(member.readmitted, true);
    return is_first ? ejection_change::readmitted : ejection_change::none;
}

double outlier_detector::share(std::uint64_t instance, time_point now) const
{
    const auto found = members_.find(instance);
    if (found == members_.end() || !found->second.was_ejected) {
        return 1.0;
    }
    const milliseconds since_readmission = now - found->second.ejected_until;
    return since_readmission < milliseconds{0} ? 0.0
                                               : readmission_slow_start.share(since_readmission);
}

std::size_t outlier_detector::ejected_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [now](const auto& entry) { return now < entry.second.ejected_until; }));
}

double outlier_detector::failure_ratio(const history& member)
{
    return member.calls == 0 ? 0.0
                             : static_cast<double>(std::popcount(member.failures)) / member.calls;
}

bool outlier_detector::is_readmitting(const history& member, time_point now)
{
    return member.was_ejected && now - member.ejected_until < readmission_slow_start.ramp;
}

bool outlier_detector::is_outlier(std::uint64_t instance, const history& member,
                                  time_point now) const
{
    const std::uint8_t required_calls =
        is_readmitting(member, now) ? min_calls_readmitting : min_calls;
    const double ratio = failure_ratio(member);
    if (member.calls < required_calls || ratio < ejection_ratio) {
        return false;
    }
    if ((ejected_count(now) + 1) * 2 > members_.size()) {
        return false;
    }
    double sum = 0.0;
    std::size_t others = 0;
    for (const auto& [other, state] : members_) {
        if (other != instance && state.calls > 0 && now - state.last_call <= history_lifetime) {
            sum += failure_ratio(state);
            ++others;
        }
    }
    return others == 0 || ratio >= sum / static_cast<double>(others) + ejection_margin;
}

void outlier_detector::eject(history& member, time_point now, random_generator& random)
{
    constexpr std::uint8_t max_doublings = 6;
    const double doublings = std::min(member.ejections, max_doublings);
    const milliseconds period =
        std::min<milliseconds>(max_ejection_period, base_ejection_period * std::exp2(doublings));
    std::uniform_real_distribution<double> jitter_factor{1.0 - jitter, 1.0 + jitter};
    member.ejected_until = now + period * jitter_factor(random);
    member.readmitted = false;
    member.ejections = std::min<std::uint8_t>(max_doublings, member.ejections + 1);
    member.was_ejected = true;
    member.calls = 0;
    member.failures = 0;
}

} // namespace chestnutstand
