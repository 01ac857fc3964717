#include "chestnutstand/membership/join_log.h"

#include "chestnutstand/membership/gossip_codec.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {

namespace {

constexpr const char* members_stream = "members";
// Enough to find a live node after most of the recorded ones have been replaced.
constexpr std::uint32_t tail_records = 256;
constexpr std::size_t enough_fresh_records = 3;

} // namespace

void join_log::refresh(done finished)
{
    if (tail_known_) {
        read_from(next_offset_, std::move(finished));
        return;
    }
    auto on_page = [self = shared_from_this(),
                    finished = std::move(finished)](const absl::StatusOr<log_page>& page) mutable {
        if (!page.ok()) {
            finished(page.status());
            return;
        }
        const std::uint64_t tail = page->next > tail_records ? page->next - tail_records : 0;
        self->read_from(std::max(page->first, tail), std::move(finished));
    };
    // One record is enough to learn the bounds of the stream.
    log_.read(members_stream, 0, 1,
              [&loop = loop_, on_page = std::move(on_page)](absl::StatusOr<log_page> page) mutable {
                  loop.post([on_page = std::move(on_page), page = std::move(page)]() mutable {
                      on_page(page);
                  });
              });
}

void join_log::read_from(std::uint64_t offset, done finished)
{
    auto on_page = [self = shared_from_this(),
                    finished = std::move(finished)](const absl::StatusOr<log_page>& page) {
        if (page.ok()) {
            self->store(*page);
        }
        finished(page.status());
    };
    log_.read(members_stream, offset, tail_records,
              [&loop = loop_, on_page = std::move(on_page)](absl::StatusOr<log_page> page) mutable {
                  loop.post([on_page = std::move(on_page), page = std::move(page)]() mutable {
                      on_page(page);
                  });
              });
}

void join_log::store(const log_page& page)
{
    tail_known_ = true;
    next_offset_ = std::max(next_offset_, page.first);
    const time_point now = ms_clock::now();
    for (const log_record& entry : page.records) {
        next_offset_ = std::max(next_offset_, entry.offset + 1);
        if (auto node = decode_join_record(entry.payload)) {
            const std::uint64_t instance = node->node.instance;
            records_[instance] = {*std::move(node), now - entry.age};
        }
    }
}

void join_log::append(const member& self, done finished)
{
    log_.append(members_stream, encode_join_record(self),
                [&loop = loop_, finished = std::move(finished)](
                    const absl::StatusOr<std::uint64_t>& offset) mutable {
                    loop.post([finished = std::move(finished), status = offset.status()] {
                        finished(status);
                    });
                });
}

void join_log::purge(time_point now, milliseconds retention)
{
    std::erase_if(records_,
                  [&](const auto& item) { return now - item.second.appended > retention; });
}

std::optional<std::size_t> join_log::sufficient_record_count() const
{
    return enough_fresh_records;
}

} // namespace chestnutstand
