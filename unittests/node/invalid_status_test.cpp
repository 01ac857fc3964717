#include "chestnutstand/admission/load_prober.h"
#include "chestnutstand/config/http_log_client.h"
#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/node_server.h"

#include "../../lib/transport/wire_convert.h"
#include "../transport/fake_server.h"
#include "../transport/invalid_status.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace chestnutstand {
namespace {

using chestnutstand::testing::eventually;
using chestnutstand::testing::fake_server;
using chestnutstand::testing::invalid_statuses;
using chestnutstand::testing::raw_socket;
using chestnutstand::testing::response_with_status;

/// Server that responds with one status and a body that its reader takes from a status of 200.
class status_server {
public:
    status_server(const std::string& status, const std::string& body)
        : server_{
              [response = response_with_status(status, body)](raw_socket& connection, int, int) {
                  connection.send(response);
                  return false;
              }}
    {
    }

    std::string url() const { return server_.url(); }
    node_reference node() const
    {
        const std::string url = server_.url();
        node_reference target;
        target.instance = 1;
        target.address = "127.0.0.1";
        target.node_port = static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
        return target;
    }

private:
    fake_server server_;
};

/// Reads a response with each invalid status, and with 200 to show that only the status matters.
void expect_only_200(const std::string& body,
                     const std::function<bool(http_client&, const status_server&)>& accepts)
{
    const auto client = make_http_client();
    for (const std::string& status : invalid_statuses) {
        const status_server server{status, body};
        EXPECT_FALSE(accepts(*client, server)) << status;
    }
    const status_server valid{"200", body};
    EXPECT_TRUE(accepts(*client, valid));
}

service_call some_call()
{
    service_call call;
    call.service = "alpha";
    call.deadline = ms_clock::now() + milliseconds{2'000};
    call.request = {"GET", "/", {}, ""};
    return call;
}

// Guards against a response of a faulty upstream that is passed on, or that counts as healthy.
TEST(invalid_status, of_calls_and_health_checks_is_refused)
{
    expect_only_200("{}", [](http_client& client, const status_server& server) {
        return testing::get(client, server.url()).error == http_error::none;
    });
}

// Guards against a load report that is taken from an invalid response.
TEST(invalid_status, of_load_probes_is_refused)
{
    expect_only_200(R"({"in_flight": 1, "slots": 2})",
                    [](http_client& client, const status_server& server) {
                        const time_point now = ms_clock::now();
                        load_prober prober{client, 100.0, now - milliseconds{10'000}};
                        prober.poll(server.url(), now);
                        EXPECT_EQ(prober.sent(), 1U);
                        for (int i = 0; i < 200 && !prober.last(); ++i) {
                            std::this_thread::sleep_for(milliseconds{1});
                        }
                        return prober.last().has_value();
                    });
}

// Guards against a record or an offset that is taken from an invalid response of the log service.
TEST(invalid_status, of_the_log_service_is_refused)
{
    expect_only_200(R"({"offset": 3})", [](http_client& client, const status_server& server) {
        http_log_client log{client, server.url()};
        std::promise<bool> accepted;
        log.append("members", "payload", [&](const absl::StatusOr<std::uint64_t>& offset) {
            accepted.set_value(offset.ok());
        });
        return accepted.get_future().get();
    });
}

// Guards against a result of a call that is taken from an invalid response of another node.
TEST(invalid_status, of_another_node_is_refused)
{
    const std::string reply =
        to_wire(call_result{call_outcome::completed, reason_code::none, {200, {}, "ran"}, {}})
            .SerializeAsString();
    expect_only_200(reply, [](http_client& client, const status_server& server) {
        const auto peers = make_http_peer_client(client);
        std::promise<bool> accepted;
        peers->execute(server.node(), some_call(), [&](const call_result& result) {
            accepted.set_value(result.outcome == call_outcome::completed);
        });
        return accepted.get_future().get();
    });
    const std::string settled =
        to_wire(settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}})
            .SerializeAsString();
    expect_only_200(settled, [](http_client& client, const status_server& server) {
        const auto peers = make_http_peer_client(client);
        std::promise<bool> accepted;
        peers->settle(
            server.node(), "key", milliseconds{2'000},
            [&](const absl::StatusOr<settle_result>& result) { accepted.set_value(result.ok()); });
        return accepted.get_future().get();
    });
}

// Guards against a response within a message of another node whose status no upstream may send.
TEST(invalid_status, within_a_message_between_nodes_is_refused)
{
    for (const std::uint32_t status :
         {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U, 65'736U, 2'147'483'848U, 4'294'967'295U}) {
        wire::ExecuteReply reply;
        reply.set_outcome(wire::OUTCOME_COMPLETED);
        reply.mutable_response()->set_status(status);
        EXPECT_EQ(from_wire(reply).outcome, call_outcome::unknown) << status;
        wire::SettleReply settled;
        settled.set_state(wire::SETTLE_COMPLETED);
        settled.mutable_response()->set_status(status);
        EXPECT_EQ(from_wire(settled).state, settle_state::unknown) << status;
    }
    for (const std::uint32_t status : {200U, 204U, 404U, 599U}) {
        wire::ExecuteReply reply;
        reply.set_outcome(wire::OUTCOME_COMPLETED);
        reply.mutable_response()->set_status(status);
        EXPECT_EQ(from_wire(reply).outcome, call_outcome::completed) << status;
    }
}

} // namespace
} // namespace chestnutstand
