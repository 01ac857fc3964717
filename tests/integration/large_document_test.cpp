#include "../support/fleet.h"

#include "chestnutstand/support/compression.h"

#include "node.pb.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace chestnutstand::testing {
namespace {

constexpr std::size_t route_count = 2'800;

std::string random_text(std::mt19937_64& random, std::size_t length)
{
    std::uniform_int_distribution<int> letter{0, 25};
    std::string text;
    for (std::size_t i = 0; i < length; ++i) {
        text.push_back(static_cast<char>('a' + letter(random)));
    }
    return text;
}

nlohmann::json make_document()
{
    std::mt19937_64 random{7};
    nlohmann::json document{{"version", 1},
                            {"services", {{{"name", "alpha"}}, {{"name", "beta"}}}},
                            {"routes", nlohmann::json::array()}};
    for (std::size_t i = 0; i < route_count; ++i) {
        document["routes"].push_back({{"name", random_text(random, 8)},
                                      {"host", random_text(random, 6) + ".example"},
                                      {"path_prefix", "/" + random_text(random, 8) + "/"},
                                      {"service", i % 2 == 0 ? "alpha" : "beta"},
                                      {"kind", "idempotent"},
                                      {"timeout_ms", 2'500},
                                      {"latency_target_ms", 800},
                                      {"attempts", 2},
                                      {"rank", i % 3}});
    }
    return document;
}

/// A node whose document has thousands of routes.
class large_document : public ::testing::Test {
protected:
    large_document() : store_{STUB_STORE_PROGRAM, {}}, text_{make_document().dump()} {}

    void SetUp() override
    {
        const auto store_port = announced_port(store_);
        nodes_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"}};
        ASSERT_EQ(exchange(nodes_.client(), store_port, {"PUT", "/control/document", {}, text_})
                      .response.status,
                  200);
        node_ = &nodes_.add("east", "");
        ASSERT_TRUE(eventually([&] { return nodes_.status(*node_)["config_version"] == 1; }));
    }

    /// The response of the node to a peer.
    std::string fetch(const wire::FetchChangesRequest& request)
    {
        return std::string{exchange(nodes_.client(), node_->node_port,
                                    {"POST", "/changes", {}, request.SerializeAsString()})
                               .response.body.view()};
    }

    process store_;
    fleet nodes_;
    const std::string text_;
    fleet_member* node_ = nullptr;
};

// Guards against a document that takes longer from node to node than a change may take: over a link
// of 10 Mbit/s, five nodes that fetch it at the same time, and five that fetch it from one of them,
// have to have it within half of the 2.5 s in which a change comes into force.
TEST_F(large_document, is_small_on_its_way_to_a_peer)
{
    constexpr double bytes_per_s = 1'250'000;
    constexpr double time_limit_s = 1.25;
    constexpr double transfers = 5 + 5;
    constexpr auto max_bytes = static_cast<std::size_t>(bytes_per_s * time_limit_s / transfers);
    wire::FetchChangesRequest request;
    request.set_accepts_compressed(true);
    const std::string response = fetch(request);
    EXPECT_LE(response.size(), max_bytes);
    wire::FetchChangesReply reply;
    ASSERT_TRUE(reply.ParseFromString(response));
    ASSERT_GE(reply.records_size(), 1);
    const auto& record = reply.records(0);
    const auto received = decompress(record.compressed_payload(), record.payload_bytes());
    ASSERT_TRUE(received.ok()) << received.status();
    EXPECT_EQ(*received, text_);
}

// Guards against a node of an older version that gets a document that it cannot read.
TEST_F(large_document, is_sent_as_it_is_to_a_peer_of_an_older_version)
{
    wire::FetchChangesReply reply;
    ASSERT_TRUE(reply.ParseFromString(fetch({})));
    ASSERT_GE(reply.records_size(), 1);
    EXPECT_EQ(reply.records(0).payload(), text_);
}

} // namespace
} // namespace chestnutstand::testing
