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

/// A change of one section as its author submits it.
struct section_change {
    /// Chosen by the author; a change with an id that was seen already is not applied again.
    std::string change_id;
    std::string team;
    std::string section;
    /// Version of the section that the author edited; 0 for a new section.
    std::uint64_t base_version = 0;
    std::string content;
};

enum class replay_result : std::uint8_t {
    accepted,
    rejected,
    duplicate,            ///< The change id was seen before; the first verdict stands.
    checkpoint_confirmed, ///< The checkpoint equals the replayed state.
    checkpoint_refused,   ///< Wrong, or too old to be compared.
    malformed,
    not_next, ///< The offset is not the next one; nothing was changed.
};

inline constexpr name_table<replay_result, 7> replay_result_names{
    {"accepted", "rejected", "duplicate", "checkpoint_confirmed", "checkpoint_refused", "malformed",
     "not_next"}};

struct replay_verdict {
    replay_result result = replay_result::malformed;
    /// Of a change.
    std::string change_id;
    /// Of the document after the record.
    std::uint64_t version = 0;
    std::string explanation;
};

/// Everything that is known of the configuration.
struct config_state {
    std::uint64_t version = 0;
    std::uint64_t next_offset = 0;
    std::vector<section> sections;
};

/// Verdict on a change that was replayed not long ago.
struct recent_change {
    std::string change_id;
    std::uint64_t offset = 0;
    bool accepted = false;

    friend bool operator==(const recent_change&, const recent_change&) = default;
};

/// Number of offsets for which change ids and old states are remembered. A change must reach the
/// log within as many offsets after it was published.
inline constexpr std::uint64_t replay_window = 1000;

/// Replays the records of the configuration stream. The state depends on the records only, so all
/// nodes that have replayed the same offsets agree. It never goes back to a lower version.
class change_replay {
public:
    change_replay();

    /// Applies the record at next_offset(); any other offset is refused without an effect.
    replay_verdict apply(std::uint64_t offset, const wire::ConfigRecord& record);

    /// Takes over a state that covers more records than this one. Refused without an effect when it
    /// is inconsistent or contradicts what is known here.
    absl::Status adopt(const wire::Checkpoint& checkpoint);

    /// The current state; at least one record must have been replayed.
    wire::Checkpoint make_checkpoint() const;

    /// The verdict on a change when it is certain before the change is in the log.
    std::optional<replay_verdict> predict_rejection(const section_change& change) const;

    std::optional<recent_change> find_recent(const std::string& change_id) const;

    std::uint64_t next_offset() const { return next_offset_; }
    std::uint64_t version() const { return version_; }
    /// Oldest offset that a node without state needs: the one after the last confirmed checkpoint.
    std::uint64_t oldest_needed_offset() const { return oldest_needed_offset_; }
    /// Null while there is no section.
    const std::shared_ptr<const document>& current() const { return document_; }
    config_state state() const;

private:
    struct known_state {
        std::uint64_t version;
        std::string digest;
    };

    replay_verdict apply_change(std::uint64_t offset, const wire::SectionChange& change);
    replay_verdict apply_checkpoint(std::uint64_t offset, const wire::Checkpoint& checkpoint);
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
    /// Digests of earlier states, by which checkpoints that cover less are compared.
    std::deque<known_state> state_digests_;
};

/// The newest checkpoint among consecutive records of the log from which all later ones can be
/// replayed, or null. The records are those from first_offset on.
const wire::Checkpoint* find_usable_checkpoint(std::uint64_t first_offset,
                                               const std::vector<wire::ConfigRecord>& records);

} // namespace chestnutstand
