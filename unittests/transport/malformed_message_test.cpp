#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/node_server.h"

#include "../../lib/transport/wire_convert.h"

#include <gtest/gtest.h>

#include <cmath>
#include <future>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();
constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();

/// Completes everything at once.
class answering_handler final : public node_handler {
public:
    void execute(std::uint64_t, service_call call, call_done done) override
    {
        EXPECT_TRUE(std::isfinite((call.deadline - ms_clock::now()).count()));
        done({call_outcome::completed, reason_code::none, {200, {}, "ran"}, {}});
    }
    void forward(std::uint64_t, service_call, bool, call_done done) override
    {
        done(unknown_outcome(reason_code::owner_unreachable));
    }
    absl::StatusOr<settle_result> settle(std::uint64_t, const std::string&) override
    {
        return settle_result{};
    }
    load_report probe() override { return {}; }
    void fetch_changes(const fetch_request&, peer_client::changes_done done) override
    {
        done(fetched_changes{});
    }
    void sync_members(std::vector<std::string> members, peer_client::members_done done) override
    {
        done(std::move(members));
    }
};

http_result post(http_client& client, std::uint16_t port, const std::string& path, std::string body)
{
    std::promise<http_result> ended;
    client.send("http://127.0.0.1:" + std::to_string(port), {"POST", path, {}, std::move(body)},
                milliseconds{10'000},
                [&](http_result result) { ended.set_value(std::move(result)); });
    return ended.get_future().get();
}

// Guards against a node that ends at a message that is damaged, cut off or made of random bytes.
TEST(malformed_message, node_responds_to_all_others)
{
    answering_handler handler;
    const auto server = make_http_node_server("127.0.0.1", 0, handler);
    ASSERT_TRUE(server->start().ok());
    const auto client = make_http_client();
    service_call call;
    call.service = "alpha";
    call.deadline = ms_clock::now() + milliseconds{1'000};
    call.request = {"GET", "/", {{"A", "b"}}, "body"};
    wire::ExecuteRequest valid;
    *valid.mutable_call() = to_wire(call);
    const std::string whole = valid.SerializeAsString();
    std::mt19937_64 random{7};
    for (const std::string path :
         {"/execute", "/forward", "/settle", "/probe", "/changes", "/members"}) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            std::string changed = whole;
            changed[length] = static_cast<char>(random());
            for (const auto& body : {whole.substr(0, length), changed}) {
                EXPECT_NE(post(*client, server->port(), path, body).response.status, 0) << path;
            }
        }
    }
    EXPECT_EQ(post(*client, server->port(), "/execute", whole).response.status, 200);
    server->stop(milliseconds{0});
}

// Guards against a deadline or a load that no comparison orders, which can corrupt a sorted
// container.
TEST(malformed_message, numbers_are_finite)
{
    for (const double number : {infinity, -infinity, not_a_number, 1e308, -1e308}) {
        wire::Call call;
        call.set_timeout_ms(number);
        EXPECT_TRUE(std::isfinite((from_wire(call).deadline - ms_clock::now()).count()));
        wire::LoadReport load;
        load.set_latency_ms(number);
        load.set_pace(number);
        EXPECT_TRUE(std::isfinite(from_wire(load).latency.count()));
        EXPECT_TRUE(std::isfinite(from_wire(load).pace));
    }
}

// Guards against a caller that gets a response which no upstream has made.
TEST(malformed_message, completed_call_needs_a_response)
{
    wire::ExecuteReply reply;
    reply.set_outcome(wire::OUTCOME_COMPLETED);
    EXPECT_EQ(from_wire(reply).outcome, call_outcome::unknown);
    reply.mutable_response()->set_status(100);
    EXPECT_EQ(from_wire(reply).outcome, call_outcome::unknown);
    reply.mutable_response()->set_status(200);
    EXPECT_EQ(from_wire(reply).outcome, call_outcome::completed);
    wire::SettleReply settled;
    settled.set_state(wire::SETTLE_COMPLETED);
    EXPECT_EQ(from_wire(settled).state, settle_state::unknown);
}

} // namespace
} // namespace chestnutstand
