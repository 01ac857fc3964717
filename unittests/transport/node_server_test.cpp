#include "chestnutstand/transport/node_server.h"

#include "raw_socket.h"

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

/// Answers with the request id, or keeps the calls when told to.
class recording_handler final : public node_handler {
public:
    void execute(std::uint64_t target_instance, service_call call, call_done done) override
    {
        const std::lock_guard lock{mutex_};
        ++executed_;
        cancel_ = call.cancel;
        if (hold_) {
            held_.push_back(std::move(done));
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
    void fetch_changes(std::uint64_t, peer_client::changes_done done) override
    {
        done(fetched_changes{});
    }
    void sync_members(std::vector<std::string> members, peer_client::members_done done) override
    {
        done(std::move(members));
    }

    void hold() { hold_ = true; }
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
        for (const auto& done : held_) {
            done(not_run(reason_code::draining));
        }
        held_.clear();
    }

private:
    mutable std::mutex mutex_;
    std::atomic<bool> hold_ = false;
    int executed_ = 0;
    std::shared_ptr<cancellation> cancel_;
    std::vector<call_done> held_;
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

// Guards against replies that lose the call they belong to.
TEST_F(node_server_test, carries_call_and_reply)
{
    const auto result = execute(*client_, target(), make_call()).get();
    EXPECT_EQ(result.outcome, call_outcome::completed);
    EXPECT_EQ(result.response.body, "id-1");
    auto other = target();
    other.instance = instance + 1;
    EXPECT_EQ(execute(*client_, other, make_call()).get().reason, reason_code::wrong_instance);
}

// Guards against an unknown outcome for a call that no peer can have received.
TEST_F(node_server_test, a_peer_that_was_never_reachable_did_not_run_the_call)
{
    auto gone = raw_socket::listen_on_loopback();
    const node_reference nobody{99, "127.0.0.1", gone.port()};
    gone.close();
    const auto result = execute(*client_, nobody, make_call()).get();
    EXPECT_EQ(result.outcome, call_outcome::not_run);
    EXPECT_EQ(result.reason, reason_code::peer_unreachable);
}

// Guards against not-run for a call whose connection broke after it was sent.
TEST_F(node_server_test, a_call_whose_connection_breaks_is_unknown)
{
    const auto listener = raw_socket::listen_on_loopback();
    const node_reference broken{98, "127.0.0.1", listener.port()};
    std::thread peer{[&] {
        // Accepts an HTTP/2 connection with an empty SETTINGS frame, reads the call and resets.
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

// Guards against not-run for a call that a stopping peer has cancelled in the middle.
TEST_F(node_server_test, a_call_cut_off_by_the_end_of_its_peer_is_unknown)
{
    handler_.hold();
    auto ended = execute(*client_, target(), make_call());
    ASSERT_TRUE(eventually([&] { return handler_.executed() == 1; }));
    std::thread stop{[&] { server_.stop(milliseconds{0}); }};
    const auto result = ended.get();
    handler_.release();
    stop.join();
    EXPECT_EQ(result.outcome, call_outcome::unknown);
}

// Guards against work that goes on for a call that nobody waits for.
TEST_F(node_server_test, cancellation_reaches_the_peer)
{
    handler_.hold();
    const auto call = make_call();
    auto ended = execute(*client_, target(), call);
    ASSERT_TRUE(eventually([&] { return handler_.cancel() != nullptr; }));
    call.cancel->cancel();
    EXPECT_TRUE(eventually([&] { return handler_.cancel()->cancelled(); }));
    EXPECT_EQ(ended.get().outcome, call_outcome::unknown);
}

// Guards against a call that waits for ever for a silent peer, and a late reply that reaches
// another call.
TEST_F(node_server_test, a_late_reply_is_dropped)
{
    handler_.hold();
    auto first = execute(*client_, target(), make_call(milliseconds{50}));
    EXPECT_EQ(first.get().outcome, call_outcome::unknown);
    auto second = execute(*client_, target(), make_call());
    ASSERT_TRUE(eventually([&] { return handler_.executed() == 2; }));
    handler_.release();
    EXPECT_EQ(second.get().reason, reason_code::draining);
}

} // namespace
} // namespace chestnutstand
