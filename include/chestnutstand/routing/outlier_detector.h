#pragma once

#include "chestnutstand/routing/balancing_policy.h"
#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// What the end of a call changed for a member.
enum class ejection_change : std::uint8_t {
    none,
    ejected,
    readmitted, ///< The first call after an ejection has ended.
};

/// Ejects members of one service that fail much more often than the others. Never ejects more than
/// half of the members. Not safe for concurrent use.
class outlier_detector {
public:
    /// Forgets members that are gone; the limit of ejections follows the number of members.
    void set_members(const std::vector<std::uint64_t>& instances);

    /// Takes the end of one call to a member. The generator draws the jitter of the ejection
    /// period, so that the nodes do not readmit a member all at once.
    ejection_change record(std::uint64_t instance, bool succeeded, time_point now,
                           random_generator& random);

    /// Share of traffic that the member should get: 0 while ejected, growing after that up to 1.
    double share(std::uint64_t instance, time_point now) const;

    std::size_t ejected_count(time_point now) const;

private:
    /// The last calls to one member, newest in the lowest bit; a set bit is a failure.
    struct history {
        std::uint16_t failures = 0;
        std::uint8_t calls = 0;
        std::uint8_t ejections = 0;
        time_point last_call{};
        time_point ejected_until{};
        bool was_ejected = false;
        bool readmitted = false;
    };

    static double failure_ratio(const history& member);
    static bool readmitting(const history& member, time_point now);
    bool stands_out(std::uint64_t instance, const history& member, time_point now) const;
    static void eject(history& member, time_point now, random_generator& random);

    std::unordered_map<std::uint64_t, history> members_;
};

} // namespace chestnutstand
