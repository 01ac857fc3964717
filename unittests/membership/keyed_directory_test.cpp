#include "chestnutstand/membership/keyed_directory.h"

#include "chestnutstand/membership/gossip_codec.h"

#include "records.pb.h"

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

/// Store whose listing is set by the test.
class fake_store final : public keyed_store {
public:
    void put(store_topic, const std::string&, std::string, write_done) override {}
    void newest(store_topic, read_done done) override { done(keyed_page{records, 9}); }
    void follow(store_topic, std::uint64_t, milliseconds, read_done) override {}

    std::vector<keyed_record> records;
};

std::string join_record(std::uint64_t instance, std::uint32_t node_port, std::uint32_t gossip_port)
{
    wire::JoinRecord record;
    record.set_instance(instance);
    record.set_address("127.0.0.1");
    record.set_node_port(node_port);
    record.set_gossip_port(gossip_port);
    return record.SerializeAsString();
}

/// Field 15 with a group in a group and so on.
std::string nested_groups()
{
    constexpr std::size_t nesting = 100'000;
    constexpr char start_of_group = (15 << 3) | 3;
    return std::string(nesting, start_of_group);
}

// Guards against a node that ends, or no longer follows the list of members, because of one odd
// entry of another writer.
TEST(keyed_directory, skips_odd_entries)
{
    fake_store store;
    store.records = {{"deep", nested_groups(), 1},
                     {"port", join_record(1, 99'999, 7'600), 2},
                     {"gossip", join_record(2, 7'600, 1U << 31U), 3},
                     {"text", "{\"address\": [[[[", 4},
                     {"empty", "", 5},
                     {"sound", join_record(3, 7'600, 7'600), 6}};
    control_loop loop;
    const auto directory = std::make_shared<keyed_directory>(loop, store);
    std::promise<absl::Status> refreshed;
    loop.post([&] {
        directory->refresh([&](const absl::Status& status) { refreshed.set_value(status); });
    });
    EXPECT_TRUE(refreshed.get_future().get().ok());
    ASSERT_EQ(directory->records().size(), 1U);
    EXPECT_EQ(directory->records().begin()->first, 3U);
    loop.stop();
}

} // namespace
} // namespace chestnutstand
