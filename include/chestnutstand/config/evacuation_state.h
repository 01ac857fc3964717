#pragma once

#include "chestnutstand/config/keyed_store.h"
#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace chestnutstand {

/// Position in the operator's topic: an offset within an era of the store.
struct store_position {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    friend bool operator==(const store_position&, const store_position&) = default;
    friend bool operator<(const store_position& left, const store_position& right)
    {
        return std::tie(left.era, left.offset) < std::tie(right.era, right.offset);
    }
    friend bool operator<=(const store_position& left, const store_position& right)
    {
        return !(right < left);
    }
};

/// What is known of one data centre.
struct evacuation_entry {
    std::string data_centre;
    bool evacuated = false;
    /// The entry includes all records before this position.
    store_position as_of;
    /// The record was written in that era. Otherwise it may come from the older copy of the store
    /// with which the era began.
    bool written_in_era = false;

    friend bool operator==(const evacuation_entry&, const evacuation_entry&) = default;
};

/// The evacuated data centres, from listings and single records of the store and from peers, in any
/// order. Of two entries, the one with the later position counts.
///
/// An era begins with an older copy of the store, and the operator writes again what the store has
/// lost. An entry of a newer era that contradicts a known one therefore counts at once only if it
/// was written in that era. Otherwise it counts after rewrite_time, unless a later one comes first.
///
/// Does no I/O and reads no clock. Not thread-safe.
class evacuation_state {
public:
    /// Time that the operator gets to write its records again, counted from the moment at which
    /// this node learns of the era: the time by which the deployments extend the limit for an
    /// evacuation while the store is unstable.
    static constexpr milliseconds rewrite_time{5'000};

    // The following methods return whether the state has changed.

    /// All current records of the topic, as of the next offset of the store.
    bool apply_listing(store_position next, const std::vector<evacuation_record>& records,
                       time_point now);

    /// Records that follow each other in the topic, oldest first.
    bool apply_records(std::uint64_t era, const std::vector<evacuation_record>& records,
                       time_point now);

    /// State of a peer.
    bool merge(std::uint64_t era, const std::vector<evacuation_entry>& entries, time_point now);

    /// Applies contradicting entries whose time has come. To be called regularly.
    bool settle(time_point now);

    /// Newest era of the store that is known; 0 for none.
    std::uint64_t era() const { return era_; }

    std::set<std::string> evacuated() const;
    std::vector<evacuation_entry> entries() const;

    /// Differs between nodes with different states; 0 if nothing is known.
    std::uint64_t digest() const;

private:
    bool observe_era(std::uint64_t era, time_point now);
    bool apply(const evacuation_entry& entry, time_point now);
    bool contradicts_without_proof(const evacuation_entry& known, const evacuation_entry& entry,
                                   time_point now) const;

    std::uint64_t era_ = 0;
    time_point era_since_;
    std::map<std::string, evacuation_entry> entries_;
    /// Entries that contradict the known ones and count after rewrite_time.
    std::map<std::string, evacuation_entry> held_;
    /// Newest listing; data centres without an entry were not evacuated then.
    store_position listed_;
};

/// Text form of a state, for peers.
std::string encode_evacuations(const evacuation_state& state);

struct decoded_evacuations {
    std::uint64_t era = 0;
    std::vector<evacuation_entry> entries;
};

/// nullopt unless the text is the text form of a state.
std::optional<decoded_evacuations> decode_evacuations(const std::string& text);

} // namespace chestnutstand
