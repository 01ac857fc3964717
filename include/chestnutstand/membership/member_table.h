#pragma once

#include "chestnutstand/membership/member_order.h"
#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// All other members that a node knows. A random live member is chosen in constant time.
class member_table {
public:
    struct entry {
        member state;
        time_point changed;
        /// Index in the list of live members; valid only while the member is live.
        std::size_t live_index = 0;
    };

    /// Null for an unknown member. The pointer is valid until the next purge.
    const member* find(std::uint64_t instance) const;

    /// Stores the state if it supersedes the known one; returns whether it did.
    bool merge(const member& incoming, time_point now);

    /// Removes members that have been dead or left for longer than the retention.
    void purge(time_point now, milliseconds retention);

    /// Instances of the live members, in no particular order.
    const std::vector<std::uint64_t>& live() const { return live_; }

    /// Up to count distinct live members other than the excluded instance.
    std::vector<const member*> random_live(std::size_t count, std::uint64_t excluded,
                                           std::mt19937_64& random) const;

    /// A random dead member, or null when there is none.
    const member* random_dead(std::mt19937_64& random) const;

    const std::unordered_map<std::uint64_t, entry>& entries() const { return entries_; }

    /// Digest of the live members and their incarnations. Equal tables have equal digests.
    std::uint64_t digest() const { return digest_; }

    /// Digest of one member; the digest of a table is the XOR of those of its live members.
    static std::uint64_t digest_of(const member& state);

private:
    void add_to_live(std::uint64_t instance, entry& added);
    void remove_from_live(const entry& removed);

    std::unordered_map<std::uint64_t, entry> entries_;
    std::vector<std::uint64_t> live_;
    std::uint64_t digest_ = 0;
};

} // namespace chestnutstand
