#include "checkpoint_writer.h"

#include "records.pb.h"

#include "chestnutstand/support/log.h"

#include <algorithm>
#include <string>

namespace chestnutstand {
namespace {

constexpr milliseconds max_age_check_period{60'000};

/// A checkpoint is due when the oldest needed record has reached this share of the retention.
constexpr double due_age_share = 0.5;

/// Limits the wait of a node to a share of the retention, so that the checkpoint is in time.
constexpr double wait_share = 0.125;
constexpr double age_check_share = 0.02;

/// Mixes all bits of a number (finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

checkpoint_writer::checkpoint_writer(const config_options& options, control_loop& loop,
                                     log_client& log, const change_replay& replay, log_tail& tail)
    : options_{options}, loop_{loop}, log_{log}, replay_{replay}, tail_{tail}
{
}

void checkpoint_writer::tick(time_point now)
{
    if (busy_ || replay_.next_offset() == 0) {
        return;
    }
    if (!is_due()) {
        write_at_.reset();
        check_age(now);
        return;
    }
    if (!write_at_) {
        write_at_ = now + wait();
    }
    if (now < *write_at_) {
        return;
    }
    write_at_.reset();
    busy_ = true;
    const std::uint64_t due_offset = replay_.oldest_needed_offset();
    tail_.catch_up(
        [this, due_offset](const absl::Status& caught_up) { write(due_offset, caught_up); });
}

bool checkpoint_writer::is_due() const
{
    const std::uint64_t oldest = replay_.oldest_needed_offset();
    return replay_.next_offset() - oldest >= options_.checkpoint_records || aged_offset_ == oldest;
}

milliseconds checkpoint_writer::wait() const
{
    constexpr double steps = 1U << 20U;
    const std::uint64_t number =
        mix(options_.instance ^ mix(replay_.oldest_needed_offset() + 1)) % (1U << 20U);
    const milliseconds longest =
        std::min(options_.checkpoint_wait, options_.log_retention * wait_share);
    return longest * (static_cast<double>(number) / steps);
}

void checkpoint_writer::check_age(time_point now)
{
    if (next_age_check_ && now < *next_age_check_) {
        return;
    }
    next_age_check_ =
        now + std::min(max_age_check_period, options_.log_retention * age_check_share);
    const std::uint64_t oldest = replay_.oldest_needed_offset();
    busy_ = true;
    log_.read(config_stream, oldest, 1, [this, oldest](absl::StatusOr<log_page> page) {
        loop_.post([this, oldest, page = std::move(page)] { finish_age_check(oldest, page); });
    });
}

void checkpoint_writer::finish_age_check(std::uint64_t offset, const absl::StatusOr<log_page>& page)
{
    busy_ = false;
    if (!page.ok()) {
        return;
    }
    const bool expired = page->first > offset;
    const bool old = !page->records.empty() &&
                     page->records.front().age >= options_.log_retention * due_age_share;
    if (expired || old) {
        aged_offset_ = offset;
    }
}

void checkpoint_writer::write(std::uint64_t due_offset, const absl::Status& caught_up)
{
    // Another node's checkpoint may have been read just now.
    if (!caught_up.ok() || replay_.oldest_needed_offset() != due_offset) {
        busy_ = false;
        return;
    }
    wire::ConfigRecord record;
    *record.mutable_checkpoint() = replay_.make_checkpoint();
    const std::uint64_t covered = record.checkpoint().covered_offset();
    log_.append(config_stream, record.SerializeAsString(),
                [this, covered](absl::StatusOr<std::uint64_t> offset) {
                    loop_.post([this, covered, offset = std::move(offset)] {
                        busy_ = false;
                        log_event(log_level::info, "checkpoint appended",
                                  {{"covered_offset", covered},
                                   {"result", offset.ok() ? "ok" : offset.status().ToString()}});
                    });
                });
}

} // namespace chestnutstand
