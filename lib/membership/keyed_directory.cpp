#include "chestnutstand/membership/keyed_directory.h"

#include "chestnutstand/membership/gossip_codec.h"
#include "chestnutstand/support/log.h"

#include <string>
#include <utility>

namespace chestnutstand {

void keyed_directory::refresh(done finished)
{
    store_.newest(store_topic::members, [self = shared_from_this(), finished = std::move(finished)](
                                            absl::StatusOr<keyed_page> page) mutable {
        self->loop_.post([self, finished = std::move(finished), page = std::move(page)] {
            if (page.ok()) {
                self->take(*page);
            }
            finished(page.status());
        });
    });
}

void keyed_directory::take(const keyed_page& page)
{
    records_.clear();
    const time_point now = ms_clock::now();
    for (const auto& each : page.records) {
        auto node = decode_join_record(each.value);
        if (!node) {
            log_event(log_level::warning, "member record refused",
                      {{"key", each.key}, {"offset", each.offset}});
            continue;
        }
        const std::uint64_t instance = node->node.instance;
        records_[instance] = {*std::move(node), now};
    }
}

void keyed_directory::append(const member& self, done finished)
{
    const std::string key = self.node.address + ":" + std::to_string(self.gossip_port);
    store_.put(store_topic::members, key, encode_join_record(self),
               [&loop = loop_, finished = std::move(finished)](absl::Status status) mutable {
                   loop.post([finished = std::move(finished), status = std::move(status)] {
                       finished(status);
                   });
               });
}

// The store keeps the newest record of each key, whatever its age.
void keyed_directory::purge(time_point /*now*/, milliseconds /*retention*/) {}

std::optional<std::size_t> keyed_directory::sufficient_record_count() const
{
    return std::nullopt;
}

} // namespace chestnutstand
