#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/node_server.h"

#include "raw_socket.h"

#include "node.pb.h"

#include <absl/status/statusor.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand {
namespace {

using chestnutstand::testing::raw_socket;

constexpr std::uint64_t instance = 17;

/// Completes each call with its request id, or holds the calls until release().
class recording_handler final : public node_handler {
public:
    void execute(std::uint64_t target_instance, service_call call, call_done done) override
    {
        const std::lock_guard lock{mutex_};
        ++executed_;
        cancel_ = call.cancel;
        if (hold_calls_) {
            held_calls_.push_back(std::move(done));
            return;
        }
        if (target_instance != instance) {
            done(not_run(reason_code::wrong_instance));
            return;
        }
        done({call_outcome::completed, reason_code::none, {200, {}, call.request_id}, {}});
    }

    void forward(std::uint64_t, service_call, bool, call_done done) override
    {
        done(not_run(reason_code::stale_key));
    }
    absl::StatusOr<settle_result> settle(std::uint64_t, const std::string& key) override
    {
        settle_result result;
        result.state = settle_state::completed;
        result.response = {200, {}, key};
        return result;
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
    void acquire_quota(const quota_request& request, peer_client::quota_done done) override
    {
        const std::lock_guard lock{mutex_};
        quota_request_ = request;
        done(quota_reply{request.tokens / 2, milliseconds{12.5}, true, 83});
    }

    quota_request received_quota_request() const
    {
        const std::lock_guard lock{mutex_};
        return quota_request_;
    }
    void hold_calls() { hold_calls_ = true; }
    int executed() const
    {
        const std::lock_guard lock{mutex_};
        return executed_;
    }
    std::shared_ptr<cancellation> cancel() const
    {
        const std::lock_guard lock{mutex_};
        return cancel_;
    }
    void release()
    {
        const std::lock_guard lock{mutex_};
        for (const auto& done : held_calls_) {
            done(not_run(reason_code::draining));
        }
        held_calls_.clear();
    }

private:
    mutable std::mutex mutex_;
    std::atomic<bool> hold_calls_ = false;
    int executed_ = 0;
    quota_request quota_request_;
    std::shared_ptr<cancellation> cancel_;
    std::vector<call_done> held_calls_;
};

service_call make_call(milliseconds timeout = milliseconds{10'000})
{
    service_call call;
    call.service = "alpha";
    call.deadline = ms_clock::now() + timeout;
    call.request_id = "id-1";
    call.request = {"GET", "/", {}, ""};
    call.cancel = std::make_shared<cancellation>();
    return call;
}

std::future<call_result> execute(peer_client& client, const node_reference& target,
                                 const service_call& call)
{
    auto ended = std::make_shared<std::promise<call_result>>();
    client.execute(target, call, [ended](const call_result& result) { ended->set_value(result); });
    return ended->get_future();
}

template <typename Condition>
bool eventually(Condition holds)
{
    for (int i = 0; i < 10'000 && !holds(); ++i) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    return holds();
}

class node_server_test : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(server_.start().ok()); }
    void TearDown() override
    {
        handler_.release();
        server_.stop(milliseconds{1'000});
    }

    node_reference target() const { return {instance, "127.0.0.1", server_.port()}; }

    recording_handler handler_;
    node_server server_{"127.0.0.1", 0, handler_};
    std::unique_ptr<peer_client> client_ = make_grpc_peer_client();
};

// Guards against a reply that does not belong to the call.
TEST_F(node_server_test, carries_call_and_reply)
{
    const auto result = execute(*client_, target(), make_call()).get();
    EXPECT_EQ(result.outcome, call_outcome::completed);
    EXPECT_EQ(result.response.body, "id-1");
    auto other = target();
    other.instance = instance + 1;
    EXPECT_EQ(execute(*client_, other, make_call()).get().reason, reason_code::wrong_instance);
}

void expect_quota_round_trip(peer_client& client, const node_reference& target,
                             const recording_handler& handler)
{
    std::promise<absl::StatusOr<quota_reply>> ended;
    client.acquire_quota(target, {"acme", 7, 5, quota_request_kind::take_over, 99, 59},
                         milliseconds{10'000}, [&](const auto& reply) { ended.set_value(reply); });
    const auto reply = ended.get_future().get();
    ASSERT_TRUE(reply.ok()) << reply.status();
    EXPECT_EQ(reply->granted, 3U);
    EXPECT_EQ(reply->retry_after, milliseconds{12.5});
    EXPECT_TRUE(reply->decided);
    EXPECT_EQ(reply->members_known, 83U);
    const quota_request received = handler.received_quota_request();
    EXPECT_EQ(received.tenant, "acme");
    EXPECT_EQ(received.tokens, 7U);
    EXPECT_EQ(received.document_version, 5U);
    EXPECT_EQ(received.kind, quota_request_kind::take_over);
    EXPECT_EQ(received.sender, 99U);
    EXPECT_EQ(received.members_known, 59U);
}

// Guards against a field of a request for tokens that one of the carriers loses.
TEST_F(node_server_test, both_carriers_carry_a_quota_request_and_its_reply)
{
    expect_quota_round_trip(*client_, target(), handler_);
    recording_handler handler;
    const auto server = make_http_node_server("127.0.0.1", 0, handler);
    ASSERT_TRUE(server->start().ok());
    const auto http = make_http_client();
    const auto client = make_http_peer_client(*http);
    expect_quota_round_trip(*client, {instance, "127.0.0.1", server->port()}, handler);
    server->stop(milliseconds{1'000});
}

// Guards against an unknown outcome for a call that was never sent.
TEST_F(node_server_test, a_peer_that_was_never_reachable_did_not_run_the_call)
{
    auto gone = raw_socket::listen_on_loopback();
    const node_reference unreachable{99, "127.0.0.1", gone.port()};
    gone.close();
    const auto result = execute(*client_, unreachable, make_call()).get();
    EXPECT_EQ(result.outcome, call_outcome::not_run);
    EXPECT_EQ(result.reason, reason_code::peer_unreachable);
}

// Guards against not-run for a call whose connection breaks after the call was sent.
TEST_F(node_server_test, a_call_whose_connection_breaks_is_unknown)
{
    const auto listener = raw_socket::listen_on_loopback();
    const node_reference broken{98, "127.0.0.1", listener.port()};
    std::thread peer{[&] {
        // Sends an empty HTTP/2 SETTINGS frame, reads the call and resets the connection.
        auto connection = listener.accept();
        connection.send(std::string_view{"\0\0\0\4\0\0\0\0\0", 9});
        connection.receive_until_text("Execute");
        connection.reset();
    }};
    const auto result = execute(*client_, broken, make_call(milliseconds{2'000})).get();
    peer.join();
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.reason, reason_code::peer_connection_lost);
}

// Guards against not-run for a running call that its peer cancels when it stops.
TEST_F(node_server_test, a_call_interrupted_by_peer_shutdown_is_unknown)
{
    handler_.hold_calls();
    auto ended = execute(*client_, target(), make_call());
    ASSERT_TRUE(eventually([&] { return handler_.executed() == 1; }));
    std::thread stop{[&] { server_.stop(milliseconds{0}); }};
    const auto result = ended.get();
    handler_.release();
    stop.join();
    EXPECT_EQ(result.outcome, call_outcome::unknown);
}

// Guards against a cancelled call that keeps running on the peer.
TEST_F(node_server_test, cancellation_reaches_the_peer)
{
    handler_.hold_calls();
    const auto call = make_call();
    auto ended = execute(*client_, target(), call);
    ASSERT_TRUE(eventually([&] { return handler_.cancel() != nullptr; }));
    call.cancel->cancel();
    EXPECT_TRUE(eventually([&] { return handler_.cancel()->cancelled(); }));
    EXPECT_EQ(ended.get().outcome, call_outcome::unknown);
}

// Guards against a call that waits forever for an unresponsive peer, and against a late reply that
// is attributed to another call.
TEST_F(node_server_test, a_late_reply_is_dropped)
{
    handler_.hold_calls();
    auto first = execute(*client_, target(), make_call(milliseconds{50}));
    EXPECT_EQ(first.get().outcome, call_outcome::unknown);
    auto second = execute(*client_, target(), make_call());
    ASSERT_TRUE(eventually([&] { return handler_.executed() == 2; }));
    handler_.release();
    EXPECT_EQ(second.get().reason, reason_code::draining);
}

// Guards against a node that never gets a large document from its peers, because the time limit
// that detects a lost response also bounds the transfer.
TEST(http_peer_client, large_document_may_arrive_slowly)
{
    constexpr milliseconds start_limit{100};
    wire::FetchChangesReply reply;
    reply.add_records()->set_payload("document");
    const std::string body = reply.SerializeAsString();
    const auto listener = raw_socket::listen_on_loopback();
    std::thread peer{[&] {
        const auto connection = listener.accept();
        connection.receive_until_text("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n");
        std::this_thread::sleep_for(start_limit * 3.0);
        connection.send(body);
        connection.receive_until_text("\r\n\r\n");
    }};
    auto http = make_http_client();
    const auto peers = make_http_peer_client(*http);
    std::promise<absl::StatusOr<fetched_changes>> fetched;
    peers->fetch_changes({instance, "127.0.0.1", listener.port()}, {}, start_limit,
                         [&](const auto& changes) { fetched.set_value(changes); });
    const auto changes = fetched.get_future().get();
    http.reset();
    peer.join();
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_EQ(changes->records.at(0).payload, "document");
}

} // namespace
} // namespace chestnutstand
