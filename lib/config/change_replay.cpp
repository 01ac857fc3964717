#include "chestnutstand/config/change_replay.h"

#include "records.pb.h"

#include "chestnutstand/support/str_cat.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace chestnutstand {
namespace {

/// Version of the document after an accepted change at an offset; 0 is reserved for no document.
std::uint64_t version_of(std::uint64_t offset)
{
    return offset + 1;
}

std::uint64_t offset_after(std::uint64_t offset)
{
    return offset + 1;
}

section to_section(const wire::SectionState& state)
{
    return {state.section(), state.owner(), state.version(), state.content()};
}

void add_section(wire::Checkpoint& checkpoint, const section& added)
{
    auto& state = *checkpoint.add_sections();
    state.set_section(added.name);
    state.set_owner(added.owner);
    state.set_version(added.version);
    state.set_content(added.content);
}

/// SHA-256 digest of the version and the sections, which is all that checkpoints are compared by
/// apart from the recent changes.
std::string digest_of(const wire::Checkpoint& checkpoint)
{
    wire::Checkpoint digested;
    digested.set_version(checkpoint.version());
    *digested.mutable_sections() = checkpoint.sections();
    const std::string bytes = digested.SerializeAsString();
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    return {digest.begin(), digest.end()};
}

recent_change to_recent_change(const wire::RecentChange& change)
{
    return {change.change_id(), change.offset(), change.accepted()};
}

std::string stale_base_message(const std::string& name, std::uint64_t current, std::uint64_t base)
{
    return current == 0
               ? str_cat("section ", name, " does not exist, the change is based on version ", base,
                         ", expected 0")
               : str_cat("section ", name, " has version ", current,
                         ", the change is based on version ", base);
}

std::string wrong_team_message(const section& current, const std::string& team)
{
    return str_cat("section ", current.name, " is owned by team ", current.owner,
                   ", the change is from team ", team);
}

/// Error message for an invalid name in a change; empty when all are valid.
std::string check_names(const std::string& change_id, const std::string& team,
                        const std::string& name)
{
    constexpr std::string_view expected = "expected 1 to 64 letters, digits, '.', '_' or '-'";
    if (!is_valid_name(change_id)) {
        return str_cat("change_id: ", expected);
    }
    if (!is_valid_name(team)) {
        return str_cat("team: ", expected);
    }
    return is_valid_name(name) ? "" : str_cat("section: ", expected);
}

/// Checks a checkpoint without any other state.
absl::Status check_consistent(const wire::Checkpoint& checkpoint)
{
    std::vector<section> sections;
    std::uint64_t highest = 0;
    for (const auto& state : checkpoint.sections()) {
        if (!sections.empty() && sections.back().name >= state.section()) {
            return absl::InvalidArgumentError("sections are not in the order of their names");
        }
        if (!is_valid_name(state.section()) || state.version() == 0) {
            return absl::InvalidArgumentError("a section has no valid name or version");
        }
        highest = std::max(highest, state.version());
        sections.push_back(to_section(state));
    }
    if (highest != checkpoint.version() || highest > version_of(checkpoint.covered_offset())) {
        return absl::InvalidArgumentError("versions do not match the covered offset");
    }
    std::set<std::string> change_ids;
    std::uint64_t lowest_offset = 0;
    for (const auto& change : checkpoint.recent_changes()) {
        if (change.offset() < lowest_offset || change.offset() > checkpoint.covered_offset() ||
            !change_ids.insert(change.change_id()).second) {
            return absl::InvalidArgumentError("recent changes are not in order");
        }
        lowest_offset = change.offset() + 1;
    }
    return sections.empty() ? absl::OkStatus() : parse_document(sections).status();
}

} // namespace

change_replay::change_replay()
{
    record_state_digest();
}

replay_verdict change_replay::apply(std::uint64_t offset, const wire::ConfigRecord& record)
{
    if (offset != next_offset_) {
        return {replay_result::not_next, "", version_,
                str_cat("expected offset ", next_offset_, ", found ", offset)};
    }
    replay_verdict verdict;
    verdict.explanation = "the record is neither a change nor a checkpoint";
    if (record.has_change()) {
        verdict = apply_change(offset, record.change());
    }
    else if (record.has_checkpoint()) {
        verdict = apply_checkpoint(offset, record.checkpoint());
    }
    ++next_offset_;
    trim_history();
    verdict.version = version_;
    return verdict;
}

replay_verdict change_replay::apply_change(std::uint64_t offset, const wire::SectionChange& change)
{
    replay_verdict verdict;
    verdict.change_id = change.change_id();
    verdict.explanation = check_names(change.change_id(), change.team(), change.section());
    if (!verdict.explanation.empty()) {
        return verdict;
    }
    if (const auto first = find_recent(change.change_id())) {
        verdict.result = replay_result::duplicate;
        verdict.explanation = str_cat("the change id was used at offset ", first->offset);
        return verdict;
    }
    section changed;
    std::shared_ptr<const document> next;
    verdict.explanation = check_change(offset, change, changed, next);
    const bool accepted = verdict.explanation.empty();
    verdict.result = accepted ? replay_result::accepted : replay_result::rejected;
    add_recent_change({change.change_id(), offset, accepted});
    if (accepted) {
        version_ = changed.version;
        document_ = std::move(next);
        sections_[changed.name] = std::move(changed);
        record_state_digest();
    }
    return verdict;
}

std::string change_replay::check_change(std::uint64_t offset, const wire::SectionChange& change,
                                        section& result,
                                        std::shared_ptr<const document>& next) const
{
    if (offset < change.published_at() || offset - change.published_at() >= replay_window) {
        return str_cat("the change was published at offset ", change.published_at(),
                       " and reached the log at ", offset, ", expected within ", replay_window,
                       " offsets");
    }
    const auto current = sections_.find(change.section());
    const std::uint64_t version = current == sections_.end() ? 0 : current->second.version;
    if (version != change.base_version()) {
        return stale_base_message(change.section(), version, change.base_version());
    }
    if (version != 0 && current->second.owner != change.team()) {
        return wrong_team_message(current->second, change.team());
    }
    const auto content = parse_section(change.content(), str_cat("section ", change.section()));
    if (!content.ok()) {
        return std::string{content.status().message()};
    }
    if (version == 0 && content->owner != change.team()) {
        return str_cat("section ", change.section(), ": owner: expected the author's team ",
                       change.team(), " in a new section, found ", content->owner);
    }
    result = {change.section(), content->owner, version_of(offset), change.content()};
    auto parsed = parse_document(sections_with(result));
    if (!parsed.ok()) {
        return std::string{parsed.status().message()};
    }
    next = std::make_shared<const document>(*std::move(parsed));
    return "";
}

std::vector<section> change_replay::sections_with(const section& changed) const
{
    auto all = sections_;
    all[changed.name] = changed;
    std::vector<section> result;
    result.reserve(all.size());
    for (auto& [name, value] : all) {
        result.push_back(std::move(value));
    }
    return result;
}

replay_verdict change_replay::apply_checkpoint(std::uint64_t offset,
                                               const wire::Checkpoint& checkpoint)
{
    replay_verdict verdict{replay_result::checkpoint_refused, "", 0, ""};
    const std::uint64_t covered = checkpoint.covered_offset();
    if (covered >= offset) {
        verdict.explanation =
            str_cat("the checkpoint at offset ", offset, " covers later records, up to ", covered);
        return verdict;
    }
    const auto compared =
        std::find_if(state_digests_.rbegin(), state_digests_.rend(),
                     [&](const auto& digest) { return digest.version <= version_of(covered); });
    if (compared == state_digests_.rend()) {
        verdict.explanation =
            str_cat("the checkpoint is too old to compare, it covers offset ", covered);
        return verdict;
    }
    if (compared->version != checkpoint.version() || compared->digest != digest_of(checkpoint) ||
        !recent_changes_match(checkpoint)) {
        verdict.explanation = str_cat("the checkpoint of version ", checkpoint.version(),
                                      " differs from the replayed state");
        return verdict;
    }
    verdict.result = replay_result::checkpoint_confirmed;
    oldest_needed_offset_ = std::max(oldest_needed_offset_, offset_after(covered));
    return verdict;
}

bool change_replay::recent_changes_match(const wire::Checkpoint& checkpoint) const
{
    const std::uint64_t covered = checkpoint.covered_offset();
    const std::uint64_t oldest = next_offset_ > replay_window ? next_offset_ - replay_window : 0;
    std::vector<recent_change> in_checkpoint;
    for (const auto& change : checkpoint.recent_changes()) {
        if (change.offset() >= oldest) {
            in_checkpoint.push_back(to_recent_change(change));
        }
    }
    std::vector<recent_change> replayed;
    std::copy_if(
        recent_.begin(), recent_.end(), std::back_inserter(replayed),
        [&](const auto& change) { return change.offset >= oldest && change.offset <= covered; });
    return in_checkpoint == replayed;
}

absl::Status change_replay::check_adoptable(const wire::Checkpoint& checkpoint) const
{
    if (offset_after(checkpoint.covered_offset()) <= next_offset_) {
        return absl::FailedPreconditionError("the checkpoint covers no later records");
    }
    if (auto status = check_consistent(checkpoint); !status.ok()) {
        return status;
    }
    std::map<std::string, const wire::SectionState*> states;
    for (const auto& state : checkpoint.sections()) {
        states[state.section()] = &state;
    }
    for (const auto& [name, current] : sections_) {
        const auto found = states.find(name);
        if (found == states.end() || found->second->version() < current.version) {
            return absl::InvalidArgumentError(
                str_cat("the checkpoint has an older section ", name));
        }
        if (found->second->version() == current.version &&
            found->second->content() != current.content) {
            return absl::InvalidArgumentError(
                str_cat("the checkpoint has another content of section ", name));
        }
    }
    return absl::OkStatus();
}

absl::Status change_replay::adopt(const wire::Checkpoint& checkpoint)
{
    if (auto status = check_adoptable(checkpoint); !status.ok()) {
        return status;
    }
    std::vector<section> sections;
    sections_.clear();
    for (const auto& state : checkpoint.sections()) {
        sections.push_back(to_section(state));
        sections_[state.section()] = sections.back();
    }
    document_ =
        sections.empty() ? nullptr : std::make_shared<const document>(*parse_document(sections));
    recent_.clear();
    recent_by_id_.clear();
    for (const auto& change : checkpoint.recent_changes()) {
        add_recent_change(to_recent_change(change));
    }
    version_ = checkpoint.version();
    next_offset_ = offset_after(checkpoint.covered_offset());
    oldest_needed_offset_ = std::min(checkpoint.oldest_needed_offset(), next_offset_);
    state_digests_.clear();
    record_state_digest();
    return absl::OkStatus();
}

wire::Checkpoint change_replay::make_checkpoint() const
{
    wire::Checkpoint checkpoint;
    checkpoint.set_covered_offset(next_offset_ - 1);
    checkpoint.set_version(version_);
    checkpoint.set_oldest_needed_offset(oldest_needed_offset_);
    for (const auto& [name, current] : sections_) {
        add_section(checkpoint, current);
    }
    for (const auto& recent : recent_) {
        auto& change = *checkpoint.add_recent_changes();
        change.set_change_id(recent.change_id);
        change.set_offset(recent.offset);
        change.set_accepted(recent.accepted);
    }
    return checkpoint;
}

std::optional<replay_verdict> change_replay::predict_rejection(const section_change& change) const
{
    const replay_verdict rejected{replay_result::rejected, change.change_id, version_, ""};
    auto reject = [&](std::string explanation) {
        auto verdict = rejected;
        verdict.explanation = std::move(explanation);
        return verdict;
    };
    if (auto error = check_names(change.change_id, change.team, change.section); !error.empty()) {
        return reject(std::move(error));
    }
    const auto content = parse_section(change.content, str_cat("section ", change.section));
    if (!content.ok()) {
        return reject(std::string{content.status().message()});
    }
    const auto current = sections_.find(change.section);
    const std::uint64_t version = current == sections_.end() ? 0 : current->second.version;
    if (change.base_version < version) {
        return reject(stale_base_message(change.section, version, change.base_version));
    }
    // A change that is still missing here could transfer the section to this team, but would also
    // make the base version stale.
    if (version != 0 && change.base_version == version && current->second.owner != change.team) {
        return reject(wrong_team_message(current->second, change.team));
    }
    return std::nullopt;
}

std::optional<recent_change> change_replay::find_recent(const std::string& change_id) const
{
    const auto found = recent_by_id_.find(change_id);
    return found == recent_by_id_.end() ? std::nullopt : std::optional{found->second};
}

config_state change_replay::state() const
{
    config_state result{version_, next_offset_, {}};
    for (const auto& [name, current] : sections_) {
        result.sections.push_back(current);
    }
    return result;
}

void change_replay::add_recent_change(recent_change change)
{
    recent_by_id_[change.change_id] = change;
    recent_.push_back(std::move(change));
}

void change_replay::record_state_digest()
{
    wire::Checkpoint digested;
    digested.set_version(version_);
    for (const auto& [name, current] : sections_) {
        add_section(digested, current);
    }
    state_digests_.push_back({version_, digest_of(digested)});
}

void change_replay::trim_history()
{
    while (!recent_.empty() && recent_.front().offset + replay_window < next_offset_) {
        recent_by_id_.erase(recent_.front().change_id);
        recent_.pop_front();
    }
    // The digest before the window is kept too: it belongs to the state at the start of the window.
    while (state_digests_.size() > 1 && state_digests_[1].version + replay_window < next_offset_) {
        state_digests_.pop_front();
    }
}

const wire::Checkpoint* find_usable_checkpoint(std::uint64_t first_offset,
                                               const std::vector<wire::ConfigRecord>& records)
{
    for (std::size_t i = records.size(); i > 0; --i) {
        const auto& record = records[i - 1];
        const std::uint64_t offset = first_offset + i - 1;
        if (!record.has_checkpoint()) {
            continue;
        }
        const auto& checkpoint = record.checkpoint();
        const bool is_replayable = checkpoint.covered_offset() < offset &&
                                   offset_after(checkpoint.covered_offset()) >= first_offset;
        if (is_replayable && check_consistent(checkpoint).ok()) {
            return &checkpoint;
        }
    }
    return nullptr;
}

} // namespace chestnutstand
