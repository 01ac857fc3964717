#include "../support/memory_fixture.h"

#include "chestnutstand/transport/http_client.h"

namespace chestnutstand::testing {
namespace {

class memory_limits : public memory_path {
protected:
    static constexpr std::size_t large_body_mb = 60;
    static constexpr std::size_t largest_body_mb = 64;
    static constexpr std::size_t slow_response_mb = 8;

    /// Client that takes responses of the largest size.
    std::unique_ptr<http_client> client_ =
        make_http_client({largest_body_mb * mib, 2 * largest_body_mb* mib});

    http_result send(http_request request)
    {
        request.headers.push_back({"Host", "shop.example"});
        return exchange(*client_, entry_->caller_port, std::move(request));
    }
};

// Guards against nodes that hold several copies of a body, so that one request within the limits
// takes more memory than the machine has.
TEST_F(memory_limits, serves_one_large_upload)
{
    write_document(largest_body_mb);
    ASSERT_TRUE(eventually([&] { return body_limit_in_force(largest_body_mb * mib); }));
    const auto result = send({"POST", "/body", {}, std::string(large_body_mb * mib, 'x')});
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body, std::to_string(large_body_mb * mib));
    expect_unharmed();
}

// Guards against the same for a response.
TEST_F(memory_limits, serves_one_large_download)
{
    const auto result = send({"GET", "/large/" + std::to_string(large_body_mb), {}, ""});
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body.size(), large_body_mb * mib);
    expect_unharmed();
}

// Guards against responses that wait in memory for callers that do not read them.
TEST_F(memory_limits, survives_slow_readers_of_large_responses)
{
    crowd readers;
    for (int i = 0; i < crowd_size; ++i) {
        const int before = upstream_.requests();
        ASSERT_TRUE(readers.add(
            entry_->caller_port,
            {request_line("GET", "/large/" + std::to_string(slow_response_mb)) + "\r\n", "", 0}));
        readers.send_all();
        // One after the other, as responses that arrive at the same time have a bound of their own.
        // A request that is refused never reaches the upstream.
        eventually([&] { return upstream_.requests() > before; }, milliseconds{2'000});
    }
    expect_unharmed();
}

// Guards against input that is kept without a bound behind a request that is not answered yet.
TEST_F(memory_limits, survives_pipelined_large_bodies)
{
    crowd sent;
    const std::string large =
        request_line("GET", "/large/" + std::to_string(limits_.max_body_mb)) + "\r\n";
    const std::string next = head("POST", "/body", limits_.max_body_mb * mib) +
                             std::string(limits_.max_body_mb * mib, 'x');
    for (int i = 0; i < crowd_size; ++i) {
        ASSERT_TRUE(sent.add(entry_->caller_port, {large, next, next.size() - 1}));
    }
    sent.send_all();
    expect_unharmed();
}

// Guards against connections that take all descriptors, so that the node can reach neither its
// upstream nor other nodes and accepts no other caller.
TEST_F(memory_limits, keeps_descriptors_while_callers_open_connections)
{
    crowd idle;
    for (std::size_t i = 0; i < 2 * limits_.max_descriptors; ++i) {
        idle.add(entry_->caller_port, {request_line("POST", "/body"), "", 0});
    }
    idle.send_all();
    expect_unharmed();
}

} // namespace
} // namespace chestnutstand::testing
