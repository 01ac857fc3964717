#include "../../unittests/transport/raw_socket.h"
#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

/// Nodes that read their document from a keyed store and route requests by host and path.
class routed_path : public ::testing::Test {
protected:
    routed_path() : store_{STUB_STORE_PROGRAM, {}}
    {
        store_port_ = announced_port(store_);
        fleet_.extra_settings() = {{"log_url", ""},
                                   {"store_url", "http://127.0.0.1:" + std::to_string(store_port_)},
                                   {"caller_interface", "routes"},
                                   {"node_carrier", "http"},
                                   {"lame_duck_ms", 3'000}};
    }

    void write_document(int version, const std::string& prefix,
                        const std::string& kind = "idempotent", int timeout_ms = 5'000)
    {
        const nlohmann::json document{{"version", version},
                                      {"services", {{{"name", "alpha"}}}},
                                      {"routes",
                                       {{{"name", "view"},
                                         {"host", "shop.example"},
                                         {"path_prefix", prefix},
                                         {"service", "alpha"},
                                         {"kind", kind},
                                         {"timeout_ms", timeout_ms},
                                         {"latency_target_ms", timeout_ms / 2.0},
                                         {"attempts", 2}}}}};
        const auto result = exchange(fleet_.client(), store_port_,
                                     {"PUT", "/control/document", {}, document.dump()});
        ASSERT_EQ(result.response.status, 200);
    }

    int get_status(const fleet_member& ingress, const std::string& target)
    {
        const auto result =
            exchange(fleet_.client(), ingress.caller_port,
                     {"GET", target, {{"Host", "shop.example"}}, ""}, milliseconds{5'000});
        return result.error == http_error::none ? result.response.status : 0;
    }

    process store_;
    std::uint16_t store_port_ = 0;
    fleet fleet_;
};

// Guards against a node that does not find the document or the other nodes through the store, and
// against a changed document that does not come into force.
TEST_F(routed_path, serves_routes_of_the_newest_document)
{
    write_document(1, "/view/");
    fleet_.add("east", "alpha");
    const auto& without_upstream = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return get_status(without_upstream, "/view/1") == 200; }));
    EXPECT_EQ(get_status(without_upstream, "/other/1"), 404);
    write_document(2, "/other/");
    EXPECT_TRUE(eventually([&] { return get_status(without_upstream, "/other/1") == 200; }));
    EXPECT_EQ(get_status(without_upstream, "/view/1"), 404);
}

// Guards against pipelined requests that wait for each other although their route is idempotent,
// and against those of another route that run before the ones ahead are answered.
TEST_F(routed_path, handles_pipelined_requests_as_their_route_allows)
{
    const auto& node = fleet_.add("east", "alpha");
    int version = 0;
    for (const std::string kind : {"non_idempotent", "upload", "idempotent"}) {
        const std::string prefix = "/" + kind + "/";
        write_document(++version, prefix, kind);
        ASSERT_TRUE(eventually([&] { return get_status(node, prefix + "0") == 200; }));
        ASSERT_TRUE(fleet_.control(node.upstream_port, "/behaviour", {{"service_ms", 800}}));
        const auto client = raw_socket::connect_to(node.caller_port);
        std::string requests;
        for (int i = 1; i <= 3; ++i) {
            requests.append("GET ").append(prefix).append(std::to_string(i));
            requests.append(" HTTP/1.1\r\nHost: shop.example\r\nChestnut-Request-Id: ");
            requests.append(kind).append(std::to_string(i)).append("\r\n\r\n");
        }
        client.send(requests);
        const auto received = client.receive_until_text("HTTP/1.1 200", 3);
        EXPECT_EQ(received.find("HTTP/1.1 5"), std::string::npos) << received;
        const auto peak = fleet_.counters(node)["peak_in_flight"].get<int>();
        if (kind == "idempotent") {
            EXPECT_GT(peak, 1);
        }
        else {
            EXPECT_EQ(peak, 1) << kind;
        }
        ASSERT_TRUE(fleet_.control(node.upstream_port, "/behaviour", {{"service_ms", 1}}));
    }
}

// Guards against a node that reports that it is ready while it has no document and refuses all
// requests.
TEST_F(routed_path, is_ready_once_there_is_a_document)
{
    const auto& node = fleet_.add("east", "alpha");
    const auto health = [&] {
        return exchange(fleet_.client(), node.admin_port, {"GET", "/health", {}, ""})
            .response.status;
    };
    EXPECT_EQ(health(), 503);
    EXPECT_EQ(get_status(node, "/view/1"), 503);
    write_document(1, "/view/");
    EXPECT_TRUE(eventually([&] { return health() == 200; }));
}

// Guards against an upstream that gets no requests during the lame duck period of its stopping
// node, although it keeps running.
TEST_F(routed_path, upstream_serves_while_its_node_is_in_the_lame_duck_period)
{
    write_document(1, "/view/");
    const auto& stopping = fleet_.add("east", "alpha");
    const auto& other = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return get_status(other, "/view/1") == 200; }));
    stopping.node->signal(SIGTERM);
    ASSERT_TRUE(stopping.node->wait_for_line(
        [](const auto& fields) { return fields.value("message", "") == "node drains"; }));
    EXPECT_EQ(get_status(other, "/view/1"), 200);
    EXPECT_EQ(
        exchange(fleet_.client(), stopping.admin_port, {"GET", "/health", {}, ""}).response.status,
        503);
    EXPECT_EQ(stopping.node->wait(), 0);
}

// Guards against a stopping node that takes a request, passes it on, and cuts it off without a
// response because it ends before the request does.
TEST_F(routed_path, stopping_node_takes_only_requests_that_end_before_it)
{
    fleet_.extra_settings()["lame_duck_ms"] = 1'500;
    fleet_.extra_settings()["drain_limit_ms"] = 2'500;
    write_document(1, "/view/");
    const auto& node = fleet_.add("east", "alpha");
    ASSERT_TRUE(eventually([&] { return get_status(node, "/view/1") == 200; }));
    const auto executions = fleet_.counters(node)["executions"];
    ASSERT_TRUE(fleet_.control(node.upstream_port, "/behaviour", {{"service_ms", 4'000}}));
    node.node->signal(SIGTERM);
    ASSERT_TRUE(node.node->wait_for_line(
        [](const auto& fields) { return fields.value("message", "") == "node drains"; }));
    EXPECT_EQ(get_status(node, "/view/1"), 503);
    EXPECT_EQ(fleet_.counters(node)["executions"], executions);
    ASSERT_TRUE(fleet_.control(node.upstream_port, "/behaviour", {{"service_ms", 1}}));
    const auto in_time = exchange(
        fleet_.client(), node.caller_port,
        {"GET", "/view/1", {{"Host", "shop.example"}, {"Chestnut-Timeout-Ms", "300"}}, ""});
    EXPECT_EQ(in_time.response.status, 200);
    EXPECT_EQ(node.node->wait(), 0);
}

// Guards against calls that end with a closed connection when their node stops: those that wait at
// another node, and those that still run.
TEST_F(routed_path, answers_all_calls_before_it_stops)
{
    constexpr int call_count = 6;
    constexpr milliseconds call_limit{20'000};
    fleet_.extra_settings()["lame_duck_ms"] = 200;
    fleet_.extra_settings()["drain_limit_ms"] = 3'000;
    write_document(1, "/pay/", "non_idempotent", 20'000);
    const auto& worker = fleet_.add("east", "alpha", {"--slots", "1", "--service-ms", "20"});
    const auto& entry = fleet_.add("east", "");
    ASSERT_TRUE(eventually([&] { return get_status(entry, "/pay/1") == 200; }));
    const std::uint64_t before = fleet_.counters(worker)["executions"];
    ASSERT_TRUE(fleet_.control(worker.upstream_port, "/behaviour", {{"service_ms", 2'000}}));
    std::vector<std::thread> callers;
    callers.reserve(call_count);
    std::vector<http_result> results(call_count);
    for (int i = 0; i < call_count; ++i) {
        callers.emplace_back([&, i] {
            results[i] = exchange(fleet_.client(), entry.caller_port,
                                  {"POST", "/pay/1", {{"Host", "shop.example"}}, ""}, call_limit);
        });
    }
    ASSERT_TRUE(eventually([&] {
        const auto load = fleet_.status(worker)["load"];
        int queued = 0;
        for (const auto& [name, length] : load["queues"].items()) {
            queued += length.get<int>();
        }
        return load["in_flight"] == 1 && queued >= call_count / 2;
    }));
    entry.node->signal(SIGTERM);
    for (std::thread& caller : callers) {
        caller.join();
    }
    std::uint64_t not_run = 0;
    for (const http_result& result : results) {
        EXPECT_EQ(result.error, http_error::none);
        not_run += result.response.status == 503 ? 1 : 0;
    }
    EXPECT_GE(not_run, 2U);
    const std::uint64_t ran = fleet_.counters(worker)["executions"];
    EXPECT_LE(ran - before, call_count - not_run);
}

// Guards against nodes that wait for lost responses of the store and miss a change of the document.
TEST_F(routed_path, follows_changes_after_the_store_lost_all_waiting_reads)
{
    constexpr std::chrono::milliseconds stable_window{3'000};
    constexpr milliseconds change_limit{2'000};
    write_document(1, "/view/");
    fleet_.add("east", "alpha");
    fleet_.add("east", "");
    fleet_.add("west", "");
    const auto all_return = [&](const std::string& target, int status) {
        return std::all_of(
            fleet_.members().begin(), fleet_.members().end(),
            [&](const auto& member) { return get_status(*member, target) == status; });
    };
    ASSERT_TRUE(eventually([&] { return all_return("/view/1", 200); }));
    ASSERT_EQ(exchange(fleet_.client(), store_port_, {"PUT", "/control/lose_reads", {}, ""})
                  .response.status,
              200);
    std::this_thread::sleep_for(stable_window);
    write_document(2, "/other/");
    EXPECT_TRUE(eventually([&] { return all_return("/other/1", 200); }, change_limit));
}

// Guards against requests that fail while a changed settings file is reloaded.
TEST_F(routed_path, serves_while_its_settings_are_reloaded)
{
    write_document(1, "/view/");
    const auto& node = fleet_.add("east", "alpha");
    ASSERT_TRUE(eventually([&] { return get_status(node, "/view/1") == 200; }));
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    constexpr std::size_t caller_count = 3;
    callers.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                ++(get_status(node, "/view/1") == 200 ? served : failed);
            }
        });
    }
    const auto file = fleet_.directory() / "node-0.json";
    auto settings = nlohmann::json::parse(std::ifstream{file});
    for (const char* level : {"info", "debug", "info"}) {
        settings["log_level"] = level;
        std::ofstream{file} << settings.dump();
        node.node->signal(SIGHUP);
        const int before = served;
        EXPECT_TRUE(eventually([&] { return served > before + 100; }));
    }
    stop = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_TRUE(node.node->wait_for_line(
        [](const auto& fields) { return fields.value("message", "") == "settings reloaded"; }));
    EXPECT_EQ(failed, 0);
}

// Guards against heartbeats of another writer that end the node or displace its upstream.
TEST_F(routed_path, keeps_its_upstream_after_odd_heartbeats)
{
    constexpr std::size_t nesting = 200'000;
    write_document(1, "/view/");
    const auto& node = fleet_.add("east", "alpha");
    ASSERT_TRUE(eventually([&] { return get_status(node, "/view/1") == 200; }));
    const std::string sound = R"("service": "alpha", "state": "ready", "address": "127.0.0.1:9")";
    const std::string without_address =
        R"("service": "alpha", "state": "ready", "slots": 9, "sequence": 1, "born": 1)";
    const std::vector<std::string> odd_bodies{
        "{" + sound + R"(, "slots": 9, "sequence": 1, "born": 1, "x": )" +
            std::string(nesting, '[') + std::string(nesting, ']') + "}",
        std::string(nesting, '['),
        "{" + sound + R"(, "slots": 1e999, "sequence": 1, "born": 1})",
        "{" + sound + R"(, "slots": 9, "sequence": 1e30, "born": 1})",
        "{" + sound + R"(, "slots": 9, "sequence": 18446744073709551615, "born": 1})",
        "{" + sound + R"(, "slots": 9, "sequence": 1, "born": 18446744073709551615})",
        "{" + without_address + R"(, "address": "127.0.0.1:99999"})",
        "{" + without_address + R"(, "address": "nowhere"})"};
    for (const std::string& body : odd_bodies) {
        const auto result = exchange(fleet_.client(), node.admin_port,
                                     {"PUT", "/upstreams/odd", {}, body}, milliseconds{5'000});
        EXPECT_EQ(result.response.status, 400) << body.substr(0, 120);
    }
    EXPECT_EQ(get_status(node, "/view/1"), 200);
}

// Guards against a request id of a caller that does not appear in the logs.
TEST_F(routed_path, logs_the_outcome_of_a_request)
{
    write_document(1, "/view/");
    const auto& node = fleet_.add("east", "alpha");
    ASSERT_TRUE(eventually([&] { return get_status(node, "/view/1") == 200; }));
    const std::string id = "request-under-test";
    exchange(
        fleet_.client(), node.caller_port,
        {"GET", "/view/1", {{"Host", "shop.example"}, {std::string{header::request_id}, id}}, ""});
    for (const std::string message : {"call executed", "call answered"}) {
        EXPECT_TRUE(node.node->wait_for_line([&](const auto& fields) {
            return fields.value("message", "") == message && fields.value("request_id", "") == id;
        })) << message;
    }
}

} // namespace
} // namespace chestnutstand::testing
