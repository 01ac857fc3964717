#include "log_tail.h"

#include "records.pb.h"

#include "chestnutstand/config/config_service.h"
#include "chestnutstand/support/log.h"
#include "chestnutstand/support/str_cat.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

constexpr std::uint32_t max_page_records = 100;

/// Checkpoints are due every 200 records, so the newest is usually within the last 400.
constexpr std::uint64_t initial_search_distance = 400;

} // namespace

/// Search for the newest usable checkpoint: reads the last records of the log, and twice as many
/// each time that there is none among them.
struct log_tail::checkpoint_search {
    std::uint64_t oldest_retained = 0;
    std::uint64_t end = 0;
    std::uint64_t distance = initial_search_distance;
    std::uint64_t first = 0;
    std::vector<wire::ConfigRecord> records;

    void restart()
    {
        first = std::max(oldest_retained, end > distance ? end - distance : 0);
        records.clear();
    }
    std::uint64_t next_offset() const { return first + records.size(); }
};

log_tail::log_tail(control_loop& loop, log_client& log, sink receiver)
    : loop_{loop}, log_{log}, sink_{std::move(receiver)}, limit_{max_page_records}
{
}

void log_tail::catch_up(catch_up_done done)
{
    waiting_.push_back(std::move(done));
    if (!reading_) {
        start();
    }
}

void log_tail::start()
{
    reading_ = true;
    progress_.waiting_since = ms_clock::now();
    active_ = std::move(waiting_);
    waiting_.clear();
    read_next();
}

void log_tail::read_next()
{
    log_.read(config_stream, sink_.next_offset(), limit_, [this](absl::StatusOr<log_page> page) {
        loop_.post([this, page = std::move(page)] { on_page(page); });
    });
}

void log_tail::on_page(const absl::StatusOr<log_page>& page)
{
    if (!page.ok()) {
        on_error(page.status());
        return;
    }
    const std::uint64_t next = sink_.next_offset();
    const bool has_gap = page->first > next;
    const bool is_long = next == 0 && page->next > initial_search_distance;
    if (has_gap || (is_long && !search_)) {
        begin_search(*page);
        return;
    }
    sink_.apply(page->records);
    if (sink_.next_offset() >= page->next) {
        finish(absl::OkStatus());
        return;
    }
    if (sink_.next_offset() == next) {
        finish(absl::UnknownError(str_cat("the log has no record at offset ", next)));
        return;
    }
    limit_ = std::min(max_page_records, limit_ * 2);
    read_next();
}

void log_tail::begin_search(const log_page& page)
{
    search_ = std::make_shared<checkpoint_search>();
    search_->oldest_retained = page.first;
    search_->end = page.next;
    search_->restart();
    read_search();
}

void log_tail::read_search()
{
    if (search_->next_offset() >= search_->end) {
        end_search();
        return;
    }
    log_.read(config_stream, search_->next_offset(), limit_, [this](absl::StatusOr<log_page> page) {
        loop_.post([this, page = std::move(page)] { on_search_page(page); });
    });
}

void log_tail::on_search_page(const absl::StatusOr<log_page>& page)
{
    if (!page.ok()) {
        on_error(page.status());
        return;
    }
    for (const auto& read : page->records) {
        if (read.offset != search_->next_offset()) {
            on_error(absl::UnknownError(
                str_cat("the log has no record at offset ", search_->next_offset())));
            return;
        }
        // A record that cannot be parsed stays empty; the replay treats it as malformed.
        search_->records.emplace_back().ParseFromString(read.payload);
    }
    if (page->records.empty()) {
        on_error(absl::UnknownError("records expired while they were read"));
        return;
    }
    read_search();
}

void log_tail::end_search()
{
    const auto* found = find_usable_checkpoint(search_->first, search_->records);
    if (found != nullptr) {
        if (auto status = sink_.adopt(*found); !status.ok()) {
            on_error(status);
            return;
        }
        search_.reset();
        read_next();
        return;
    }
    if (search_->first > search_->oldest_retained) {
        search_->distance *= 2;
        search_->restart();
        read_search();
        return;
    }
    if (search_->oldest_retained > sink_.next_offset()) {
        on_error(absl::NotFoundError(
            str_cat("the log starts at offset ", search_->oldest_retained,
                    " and has no usable checkpoint, expected records from ", sink_.next_offset())));
        return;
    }
    // The log has no checkpoint but is complete, so it is replayed from its start. search_ stays
    // set, which keeps on_page() from searching again.
    read_next();
}

void log_tail::on_error(const absl::Status& status)
{
    if (absl::IsResourceExhausted(status) && limit_ > 1) {
        limit_ /= 2;
        search_ ? read_search() : read_next();
        return;
    }
    finish(status);
}

void log_tail::finish(const absl::Status& status)
{
    if (status.ok() == failing_) {
        failing_ = !failing_;
        log_event(failing_ ? log_level::warning : log_level::info,
                  failing_ ? "failed to read the configuration log"
                           : "configuration log is readable again",
                  {{"error", std::string{status.message()}}});
    }
    search_.reset();
    reading_ = false;
    progress_.waiting_since.reset();
    if (status.ok()) {
        progress_.answered_at = ms_clock::now();
    }
    const auto done = std::move(active_);
    active_.clear();
    for (const auto& callback : done) {
        callback(status);
    }
    if (!reading_ && !waiting_.empty()) {
        start();
    }
}

} // namespace chestnutstand
