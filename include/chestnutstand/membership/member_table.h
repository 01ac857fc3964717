#pragma once

#include "chestnutstand/membership/member_order.h"
#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

/// All other members that a node knows, with constant-time choice of a random live one.
class member_table {
public:
    struct entry {
        member state;
        time_point changed;
        /// Index in the list of live members, while the member is live.
        std::size_t live_index = 0;
    };

    const member* find(std::uint64_t instance) const;

    /// Merges a state; false when the known state already supersedes it.
    bool merge(const member& incoming, time_point now);

    /// Forgets members that have been dead or gone for longer than the retention.
    void purge(time_point now, milliseconds retention);

    /// Live members, in no particular order.
    const std::vector<std::uint64_t>& live() const { return live_; }

    /// Up to count distinct live members except one.
    std::vector<const member*> random_live(std::size_t count, std::uint64_t except,
                                           std::mt19937_64& random) const;

    /// A random member that was declared dead, or null.
    const member* random_dead(std::mt19937_64& random) const;

    const std::unordered_map<std::uint64_t, entry>& entries() const { return entries_; }

    /// Digest of the live members and their incarnations; equal tables have equal digests.
    std::uint64_t digest() const { return digest_; }

    /// Digest of one member, as it is combined into the digest of a table.
    static std::uint64_t digest_of(const member& state);

private:
    void link(std::uint64_t instance, entry& added);
    void unlink(const entry& removed);

    std::unordered_map<std::uint64_t, entry> entries_;
    std::vector<std::uint64_t> live_;
    std::uint64_t digest_ = 0;
};

} // namespace chestnutstand
