#pragma once

#include "chestnutstand/routing/balancing_policy.h"
#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// How the result of a call changed the ejection state of a member.
enum class ejection_change : std::uint8_t {
    none,
    ejected,
    readmitted, ///< The first call after an ejection period has ended.
};

/// Ejects members of one service whose failure ratio is much higher than that of the others. At
/// most half of the members are ejected at a time. Not safe for concurrent use.
class outlier_detector {
public:
    /// Replaces the set of members and drops the history of removed ones. The maximum number of
    /// ejected members follows the size of the set.
    void set_members(const std::vector<std::uint64_t>& instances);

    /// Records the result of one call to a member. The generator supplies the jitter of the
    /// ejection period, which keeps the nodes from readmitting a member all at the same time.
    ejection_change record(std::uint64_t instance, bool succeeded, time_point now,
                           random_generator& random);

    /// Fraction of its usual traffic that the member should get: 0 while ejected, then growing
    /// to 1.
    double share(std::uint64_t instance, time_point now) const;

    std::size_t ejected_count(time_point now) const;

private:
    /// Recent results of one member and its ejection state.
    struct history {
        /// One bit for each call, the newest lowest; a set bit is a failure.
        std::uint16_t failures = 0;
        std::uint8_t calls = 0;
        std::uint8_t ejections = 0;
        time_point last_call{};
        time_point ejected_until{};
        bool was_ejected = false;
        bool readmitted = false;
    };

    static double failure_ratio(const history& member);
    static bool is_readmitting(const history& member, time_point now);
    bool is_outlier(std::uint64_t instance, const history& member, time_point now) const;
    static void eject(history& member, time_point now, random_generator& random);

    std::unordered_map<std::uint64_t, history> members_;
};

} // namespace chestnutstand
