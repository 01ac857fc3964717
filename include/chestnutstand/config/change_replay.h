#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/support/name_table.h"

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chestnutstand {

namespace wire {
class Checkpoint;
class ConfigRecord;
class SectionChange;
} // namespace wire

/// Request to replace the content of one section, as its author submits it.
struct section_change {
    /// Chosen by the author; a change whose id was used before is not applied again.
    std::string change_id;
    std::string team;
    std::string section;
    /// Version of the section that the author started from; 0 for a new section.
    std::uint64_t base_version = 0;
    std::string content;
};

enum class replay_result : std::uint8_t {
    accepted,
    rejected,
    duplicate,            ///< The change id was used before; the first verdict stands.
    checkpoint_confirmed, ///< Equals the replayed state.
    checkpoint_refused,   ///< Differs from the replayed state, or too old to compare.
    malformed,
    not_next, ///< Not the next offset; the state is unchanged.
};

inline constexpr name_table<replay_result, 7> replay_result_names{
    {"accepted", "rejected", "duplicate", "checkpoint_confirmed", "checkpoint_refused", "malformed",
     "not_next"}};

struct replay_verdict {
    replay_result result = replay_result::malformed;
    /// Empty for a record that is not a change.
    std::string change_id;
    /// Version of the document after the record.
    std::uint64_t version = 0;
    std::string explanation;
};

/// Snapshot of the replayed configuration.
struct config_state {
    std::uint64_t version = 0;
    std::uint64_t next_offset = 0;
    std::vector<section> sections;
};

/// Verdict on a change that was replayed within the last replay_window offsets.
struct recent_change {
    std::string change_id;
    std::uint64_t offset = 0;
    bool accepted = false;

    friend bool operator==(const recent_change&, const recent_change&) = default;
};

/// Number of offsets for which change ids and digests of earlier states are kept. A change that
/// reaches the log this many offsets or more after its publication is rejected, because a repeated
/// change id could no longer be detected.
inline constexpr std::uint64_t replay_window = 1000;

/// Replays the records of the configuration stream. The state is a deterministic function of the
/// records, so all nodes that have replayed the same offsets agree. Versions never decrease.
class change_replay {
public:
    change_replay();

    /// Applies the record at next_offset(); any other offset is refused and leaves the state
    /// unchanged.
    replay_verdict apply(std::uint64_t offset, const wire::ConfigRecord& record);

    /// Replaces the state by that of a checkpoint, which must cover more records than were replayed
    /// here. Fails and leaves the state unchanged when the checkpoint is inconsistent or
    /// contradicts the current sections.
    absl::Status adopt(const wire::Checkpoint& checkpoint);

    /// The current state; at least one record must have been replayed.
    wire::Checkpoint make_checkpoint() const;

    /// The rejection that a change is certain to get wherever it lands in the log; nothing when the
    /// verdict depends on the records before it.
    std::optional<replay_verdict> predict_rejection(const section_change& change) const;

    std::optional<recent_change> find_recent(const std::string& change_id) const;

    std::uint64_t next_offset() const { return next_offset_; }
    std::uint64_t version() const { return version_; }
    /// Oldest offset that a node without state has to read: the one after the last record that the
    /// newest confirmed checkpoint covers.
    std::uint64_t oldest_needed_offset() const { return oldest_needed_offset_; }
    /// Null until the first section is accepted.
    const std::shared_ptr<const document>& current() const { return document_; }
    config_state state() const;

private:
    struct state_digest {
        std::uint64_t version;
        std::string digest;
    };

    replay_verdict apply_change(std::uint64_t offset, const wire::SectionChange& change);
    replay_verdict apply_checkpoint(std::uint64_t offset, const wire::Checkpoint& checkpoint);
    /// Returns why a change is rejected; empty for an accepted one, whose section and document are
    /// then stored in result and next.
    std::string check_change(std::uint64_t offset, const wire::SectionChange& change,
                             section& result, std::shared_ptr<const document>& next) const;
    std::vector<section> sections_with(const section& changed) const;
    absl::Status check_adoptable(const wire::Checkpoint& checkpoint) const;
    bool recent_changes_match(const wire::Checkpoint& checkpoint) const;
    void record_state_digest();
    void trim_history();
    void add_recent_change(recent_change change);

    std::uint64_t next_offset_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t oldest_needed_offset_ = 0;
    std::map<std::string, section> sections_;
    std::shared_ptr<const document> document_;
    std::deque<recent_change> recent_;
    std::unordered_map<std::string, recent_change> recent_by_id_;
    /// Digests of earlier states, oldest first; a checkpoint that covers fewer records than were
    /// replayed is compared with the one that was current then.
    std::deque<state_digest> state_digests_;
};

/// The newest checkpoint among consecutive records, the first of which is at first_offset, from
/// which all later records can be replayed; null when there is none. Points into records.
const wire::Checkpoint* find_usable_checkpoint(std::uint64_t first_offset,
                                               const std::vector<wire::ConfigRecord>& records);

} // namespace chestnutstand
