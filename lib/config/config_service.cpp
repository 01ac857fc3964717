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

/// Limits of the records kept for peers that are a little behind; other peers get a checkpoint.
constexpr std::size_t max_kept_records = 512;
constexpr std::size_t max_kept_bytes = 2'097'152;

/// Keeps a response to a peer below gRPC's default message limit of 4 MiB.
constexpr std::size_t max_response_bytes = 1'048'576;

/// Time between two reads of the log by a node that has no state and does not tail the log.
constexpr milliseconds bootstrap_read_period{1'000};

constexpr std::size_t max_hints = 4;

/// All other nodes get the records from peers, after a hint by gossip.
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
    log_tail::sink sink;
    sink.apply = [this](const std::vector<log_record>& records) { apply_page(records); };
    sink.adopt = [this](const wire::Checkpoint& checkpoint) {
        auto status = replay_.adopt(checkpoint);
        announce();
        return status;
    };
    sink.next_offset = [this] { return replay_.next_offset(); };
    tail_ = std::make_unique<log_tail>(loop_, log_, std::move(sink));
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

source_progress config_service::progress() const
{
    return tail_->progress();
}

void config_service::poll()
{
    if (!tail_->is_reading() && needs_log_read()) {
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
    for (const auto& record : records) {
        apply_record(record.offset, record.payload);
    }
    announce();
}

void config_service::apply_fetched(const fetched_changes& changes)
{
    for (std::size_t i = 0; i < changes.records.size(); ++i) {
        const auto& fetched = changes.records[i];
        if (i > 0 || !changes.starts_with_checkpoint) {
            apply_record(fetched.offset, fetched.payload);
            continue;
        }
        wire::ConfigRecord record;
        const bool valid = record.ParseFromString(fetched.payload) && record.has_checkpoint();
        const auto status =
            valid ? replay_.adopt(record.checkpoint())
                  : absl::InvalidArgumentError("the first record of the response is not a "
                                               "checkpoint");
        if (!status.ok()) {
            log_event(log_level::warning, "checkpoint from a peer refused",
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
    const auto pending = publishes_.find(verdict.change_id);
    if (pending != publishes_.end() && verdict.result == replay_result::rejected) {
        pending->second.explanation = verdict.explanation;
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
    // The document comes into force on this node before its author or a peer is notified.
    if (current_.load() != replay_.current()) {
        current_.store(replay_.current());
    }
    complete_publishes();
    for (const auto& listener : listeners_) {
        listener(announced_offset_);
    }
}

fetched_changes config_service::handle_fetch(const fetch_request& request) const
{
    const std::uint64_t from_offset = request.from_offset;
    fetched_changes response;
    if (from_offset >= replay_.next_offset()) {
        return response;
    }
    if (records_.empty() || from_offset < records_.front().offset ||
        records_.back().offset + 1 != replay_.next_offset()) {
        wire::ConfigRecord record;
        *record.mutable_checkpoint() = replay_.make_checkpoint();
        response.starts_with_checkpoint = true;
        response.records.push_back({replay_.next_offset() - 1, record.SerializeAsString()});
        return response;
    }
    std::size_t bytes = 0;
    for (auto i = from_offset - records_.front().offset; i < records_.size(); ++i) {
        bytes += records_[i].payload.size();
        if (bytes > max_response_bytes && !response.records.empty()) {
            break;
        }
        response.records.push_back(records_[i]);
    }
    return response;
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
                                [&](const auto& hint) { return hint.peer == peer; }),
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
    peers_.fetch_changes(newest->peer, {replay_.next_offset()}, options_.fetch_timeout,
                         [this, used_hint = *newest](absl::StatusOr<fetched_changes> changes) {
                             loop_.post([this, used_hint, changes = std::move(changes)] {
                                 finish_fetch(used_hint, changes);
                             });
                         });
}

void config_service::finish_fetch(const peer_hint& used_hint,
                                  const absl::StatusOr<fetched_changes>& changes)
{
    const std::uint64_t before = replay_.next_offset();
    if (changes.ok()) {
        apply_fetched(*changes);
    }
    // A fetch that brought nothing new is not repeated for the same hint; gossip repeats the hint.
    if (replay_.next_offset() == before) {
        remove_hint(used_hint.peer);
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
        complete_publish(change_id, not_published_error(caught_up));
        return;
    }
    if (replay_.find_recent(change_id)) {
        complete_publishes();
        return;
    }
    if (const auto rejection = replay_.predict_rejection(found->second.change)) {
        complete_publish(change_id,
                         publish_verdict{false, replay_.version(), rejection->explanation});
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
        complete_publish(change_id, not_published_error(offset.status()));
        return;
    }
    if (!offset.ok()) {
        log_event(log_level::warning,
                  "append failed with unknown effect; reading the log for the change",
                  {{"change_id", change_id}, {"error", std::string{offset.status().message()}}});
    }
    // When this read comes too early, poll() repeats it as long as a publish is pending.
    tail_->catch_up([](const absl::Status&) {});
}

void config_service::expire_publish(const std::string& change_id, std::uint64_t number)
{
    const auto found = publishes_.find(change_id);
    if (found == publishes_.end() || found->second.number != number) {
        return;
    }
    complete_publish(change_id, absl::DeadlineExceededError(str_cat(
                                    "no verdict within ", options_.publish_wait.count(),
                                    " ms because the log did not answer; the change may still ",
                                    "take effect, publish it again with change id ", change_id,
                                    " to learn the verdict")));
}

void config_service::complete_publishes()
{
    std::vector<std::pair<std::string, publish_verdict>> decided;
    for (const auto& [change_id, pending] : publishes_) {
        const auto recent = replay_.find_recent(change_id);
        if (!recent) {
            continue;
        }
        publish_verdict verdict{recent->accepted, replay_.version(), pending.explanation};
        if (recent->accepted) {
            verdict.version = recent->offset + 1;
        }
        else if (verdict.explanation.empty()) {
            verdict.explanation =
                str_cat("a change with this id was rejected at offset ", recent->offset);
        }
        decided.emplace_back(change_id, std::move(verdict));
    }
    for (const auto& [change_id, verdict] : decided) {
        complete_publish(change_id, verdict);
    }
}

void config_service::complete_publish(const std::string& change_id,
                                      const absl::StatusOr<publish_verdict>& verdict)
{
    const auto found = publishes_.find(change_id);
    if (found == publishes_.end()) {
        return;
    }
    const auto callbacks = std::move(found->second.done);
    publishes_.erase(found);
    for (const auto& done : callbacks) {
        done(verdict);
    }
}

} // namespace chestnutstand
