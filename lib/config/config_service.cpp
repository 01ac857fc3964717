#include "chestnutstand/config/config_service.h"

#include "checkpoint_writer.h"
#include "log_tail.h"
#include "records.pb.h"

#include "chestnutstand/support/log.h"
#include "chestnutstand/support/str_cat.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

/// Records kept for peers that are a little behind; others get the whole state.
constexpr std::size_t max_kept_records = 512;
constexpr std::size_t max_kept_bytes = 2'097'152;

/// Keeps a reply below gRPC's default message limit of 4 MiB.
constexpr std::size_t max_reply_bytes = 1'048'576;

constexpr milliseconds bootstrap_read_period{1'000};

constexpr std::size_t max_hints = 4;

// The others learn from them by gossip.
constexpr std::size_t log_readers_per_data_centre = 2;

absl::Status not_published_error(const absl::Status& cause)
{
    return absl::UnavailableError(str_cat("the change was not published: ", cause.message()));
}

std::string to_payload(const section_change& change, std::uint64_t published_at)
{
    wire::ConfigRecord record;
    auto& wire_change = *record.mutable_change();
    wire_change.set_change_id(change.change_id);
    wire_change.set_team(change.team);
    wire_change.set_section(change.section);
    wire_change.set_base_version(change.base_version);
    wire_change.set_content(change.content);
    wire_change.set_published_at(published_at);
    return record.SerializeAsString();
}

} // namespace

config_service::config_service(config_options options, control_loop& loop, log_client& log,
                               peer_client& peers)
    : options_{options}, loop_{loop}, log_{log}, peers_{peers}
{
    log_tail::target target;
    target.apply = [this](const std::vector<log_record>& records) { apply_page(records); };
    target.adopt = [this](const wire::Checkpoint& checkpoint) {
        auto status = replay_.adopt(checkpoint);
        announce();
        return status;
    };
    target.next_offset = [this] { return replay_.next_offset(); };
    tail_ = std::make_unique<log_tail>(loop_, log_, std::move(target));
    checkpoints_ = std::make_unique<checkpoint_writer>(options_, loop_, log_, replay_, *tail_);
}

config_service::~config_service() = default;

void config_service::start()
{
    next_bootstrap_read_ = ms_clock::now() + options_.bootstrap_delay;
    loop_.repeat(options_.poll_period, [this] { poll(); });
}

void config_service::on_advance(std::function<void(std::uint64_t next_offset)> listener)
{
    listeners_.push_back(std::move(listener));
}

std::size_t config_service::wanted_readers() const
{
    return log_readers_per_data_centre;
}

void config_service::poll()
{
    if (!tail_->reading() && needs_log_read()) {
        tail_->catch_up([](const absl::Status&) {});
    }
    if (tailing_) {
        checkpoints_->tick(ms_clock::now());
    }
}

bool config_service::needs_log_read()
{
    if (tailing_ || !publishes_.empty()) {
        return true;
    }
    const auto now = ms_clock::now();
    if (replay_.next_offset() > 0 || now < next_bootstrap_read_) {
        return false;
    }
    next_bootstrap_read_ = now + bootstrap_read_period;
    return true;
}

void config_service::apply_page(const std::vector<log_record>& records)
{
    for (const auto& each : records) {
        apply_record(each.offset, each.payload);
    }
    announce();
}

void config_service::apply_fetched(const fetched_changes& changes)
{
    for (std::size_t i = 0; i < changes.records.size(); ++i) {
        const auto& each = changes.records[i];
        if (i > 0 || !changes.starts_with_checkpoint) {
            apply_record(each.offset, each.payload);
            continue;
        }
        wire::ConfigRecord record;
        const bool valid = record.ParseFromString(each.payload) && record.has_checkpoint();
        const auto status = valid ? replay_.adopt(record.checkpoint())
                                  : absl::InvalidArgumentError("expected a checkpoint");
        if (!status.ok()) {
            log_event(log_level::warning, "checkpoint of a peer refused",
                      {{"reason", std::string{status.message()}}});
        }
    }
    announce();
}

void config_service::apply_record(std::uint64_t offset, const std::string& payload)
{
    if (offset != replay_.next_offset()) {
        return;
    }
    wire::ConfigRecord record;
    if (!record.ParseFromString(payload)) {
        record.Clear();
    }
    const auto verdict = replay_.apply(offset, record);
    keep_record(offset, payload);
    const bool accepted = verdict.result == replay_result::accepted;
    const bool confirmed = verdict.result == replay_result::checkpoint_confirmed;
    log_event(accepted || confirmed ? log_level::info : log_level::warning,
              "configuration record replayed",
              {{"offset", offset},
               {"result", std::string{replay_result_names.name(verdict.result)}},
               {"change_id", verdict.change_id},
               {"version", verdict.version},
               {"explanation", verdict.explanation}});
    const auto waiting = publishes_.find(verdict.change_id);
    if (waiting != publishes_.end() && verdict.result == replay_result::rejected) {
        waiting->second.explanation = verdict.explanation;
    }
}

void config_service::keep_record(std::uint64_t offset, const std::string& payload)
{
    if (!records_.empty() && records_.back().offset + 1 != offset) {
        records_.clear();
        record_bytes_ = 0;
    }
    records_.push_back({offset, payload});
    record_bytes_ += payload.size();
    while (records_.size() > max_kept_records || record_bytes_ > max_kept_bytes) {
        record_bytes_ -= records_.front().payload.size();
        records_.pop_front();
    }
}

void config_service::announce()
{
    if (announced_offset_ == replay_.next_offset()) {
        return;
    }
    announced_offset_ = replay_.next_offset();
    // The document is in force here before its author or a peer learns of it.
    if (current_.load() != replay_.current()) {
        current_.store(replay_.current());
    }
    complete_publishes();
    for (const auto& listener : listeners_) {
        listener(announced_offset_);
    }
}

fetched_changes config_service::handle_fetch(std::uint64_t from_offset) const
{
    fetched_changes reply;
    if (from_offset >= replay_.next_offset()) {
        return reply;
    }
    if (records_.empty() || from_offset < records_.front().offset ||
        records_.back().offset + 1 != replay_.next_offset()) {
        wire::ConfigRecord record;
        *record.mutable_checkpoint() = replay_.make_checkpoint();
        reply.starts_with_checkpoint = true;
        reply.records.push_back({replay_.next_offset() - 1, record.SerializeAsString()});
        return reply;
    }
    std::size_t bytes = 0;
    for (auto i = from_offset - records_.front().offset; i < records_.size(); ++i) {
        bytes += records_[i].payload.size();
        if (bytes > max_reply_bytes && !reply.records.empty()) {
            break;
        }
        reply.records.push_back(records_[i]);
    }
    return reply;
}

void config_service::hint(const node_reference& peer, std::uint64_t next_offset)
{
    if (next_offset <= replay_.next_offset()) {
        return;
    }
    remove_hint(peer);
    if (hints_.size() == max_hints) {
        hints_.erase(hints_.begin());
    }
    hints_.push_back({peer, next_offset});
    if (!fetching_) {
        fetch();
    }
}

void config_service::remove_hint(const node_reference& peer)
{
    hints_.erase(std::remove_if(hints_.begin(), hints_.end(),
                                [&](const auto& each) { return each.peer == peer; }),
                 hints_.end());
}

void config_service::fetch()
{
    const auto newest =
        std::max_element(hints_.begin(), hints_.end(), [](const auto& left, const auto& right) {
            return left.next_offset < right.next_offset;
        });
    if (newest == hints_.end() || newest->next_offset <= replay_.next_offset()) {
        hints_.clear();
        return;
    }
    fetching_ = true;
    peers_.fetch_changes(newest->peer, replay_.next_offset(), options_.fetch_timeout,
                         [this, asked = *newest](absl::StatusOr<fetched_changes> changes) {
                             loop_.post([this, asked, changes = std::move(changes)] {
                                 finish_fetch(asked, changes);
                             });
                         });
}

void config_service::finish_fetch(const peer_hint& asked,
                                  const absl::StatusOr<fetched_changes>& changes)
{
    const std::uint64_t before = replay_.next_offset();
    if (changes.ok()) {
        apply_fetched(*changes);
    }
    // A peer that did not help is not asked again for the same hint; gossip repeats hints.
    if (replay_.next_offset() == before) {
        remove_hint(asked.peer);
    }
    fetching_ = false;
    fetch();
}

void config_service::publish(section_change change, publish_done done)
{
    const std::string change_id = change.change_id;
    auto [entry, is_new] = publishes_.try_emplace(change_id);
    entry->second.done.push_back(std::move(done));
    if (!is_new) {
        return;
    }
    entry->second.change = std::move(change);
    const std::uint64_t number = next_publish_++;
    entry->second.number = number;
    loop_.post_after(options_.publish_wait,
                     [this, change_id, number] { expire_publish(change_id, number); });
    tail_->catch_up(
        [this, change_id](const absl::Status& caught_up) { append_change(change_id, caught_up); });
}

void config_service::append_change(const std::string& change_id, const absl::Status& caught_up)
{
    const auto found = publishes_.find(change_id);
    if (found == publishes_.end()) {
        return;
    }
    if (!caught_up.ok()) {
        answer(change_id, not_published_error(caught_up));
        return;
    }
    if (replay_.find_recent(change_id)) {
        complete_publishes();
        return;
    }
    if (const auto refused = replay_.predict_rejection(found->second.change)) {
        answer(change_id, publish_verdict{false, replay_.version(), refused->explanation});
        return;
    }
    log_.append(config_stream, to_payload(found->second.change, replay_.next_offset()),
                [this, change_id](absl::StatusOr<std::uint64_t> offset) {
                    loop_.post([this, change_id, offset = std::move(offset)] {
                        finish_append(change_id, offset);
                    });
                });
}

void config_service::finish_append(const std::string& change_id,
                                   const absl::StatusOr<std::uint64_t>& offset)
{
    if (absl::IsUnavailable(offset.status())) {
        answer(change_id, not_published_error(offset.status()));
        return;
    }
    if (!offset.ok()) {
        log_event(log_level::warning, "append without an answer, reading the log for the change",
                  {{"change_id", change_id}, {"error", std::string{offset.status().message()}}});
    }
    // While a change waits, poll() keeps reading even when this read comes too early.
    tail_->catch_up([](const absl::Status&) {});
}

void config_service::expire_publish(const std::string& change_id, std::uint64_t number)
{
    const auto found = publishes_.find(change_id);
    if (found == publishes_.end() || found->second.number != number) {
        return;
    }
    answer(change_id, absl::DeadlineExceededError(str_cat(
                          "no verdict within ", options_.publish_wait.count(),
                          " ms because the log did not answer; the change may still take effect, ",
                          "publish it again with change id ", change_id, " to learn the verdict")));
}

void config_service::complete_publishes()
{
    std::vector<std::pair<std::string, publish_verdict>> settled;
    for (const auto& [change_id, waiting] : publishes_) {
        const auto recent = replay_.find_recent(change_id);
        if (!recent) {
            continue;
        }
        publish_verdict verdict{recent->accepted, replay_.version(), waiting.explanation};
        if (recent->accepted) {
            verdict.version = recent->offset + 1;
        }
        else if (verdict.explanation.empty()) {
            verdict.explanation =
                str_cat("a change with this id was rejected at offset ", recent->offset);
        }
        settled.emplace_back(change_id, std::move(verdict));
    }
    for (const auto& [change_id, verdict] : settled) {
        answer(change_id, verdict);
    }
}

void config_service::answer(const std::string& change_id,
                            const absl::StatusOr<publish_verdict>& verdict)
{
    const auto found = publishes_.find(change_id);
    if (found == publishes_.end()) {
        return;
    }
    const auto waiting = std::move(found->second.done);
    publishes_.erase(found);
    for (const auto& done : waiting) {
        done(verdict);
    }
}

} // namespace chestnutstand
