#include "../support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace chestnutstand::testing {
namespace {

constexpr int slots = 4;
constexpr double probes_per_s = 5.0;

std::string desk_section()
{
    return nlohmann::json{
        {"owner", "desk"},
        {"services",
         {{{"name", "desk"},
           {"probe_budget_per_s", probes_per_s},
           {"queue_limit_per_priority", 20},
           {"priorities",
            {{{"name", "urgent"}, {"latency_target_ms", 50}, {"weight", 8}, {"idempotent", true}},
             {{"name", "normal"}, {"latency_target_ms", 250}, {"weight", 3}, {"idempotent", true}},
             {{"name", "batch"},
              {"latency_target_ms", 2000},
              {"weight", 1},
              {"idempotent", true}}}}}}}}
        .dump();
}

/// Sends calls without waiting for their responses and records the bodies of the calls by outcome.
class flood {
public:
    explicit flood(fleet& test_fleet) : fleet_{test_fleet} {}

    void send(std::uint16_t port, const std::string& priority)
    {
        const auto body = priority + "-" + std::to_string(++sent_);
        http_request request{
            "POST", "/call/desk/work", {{std::string{header::priority}, priority}}, body};
        fleet_.client().send(
            "http://127.0.0.1:" + std::to_string(port), std::move(request), milliseconds{60'000},
            [this, body](const http_result& result) { record_result(body, result); });
    }

    bool wait()
    {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, std::chrono::seconds{90},
                                 [this] { return ended_ == sent_; });
    }

    int sent() const { return sent_; }
    const std::map<std::string, std::set<std::string>>& by_outcome() const { return by_outcome_; }

private:
    void record_result(const std::string& body, const http_result& result)
    {
        const auto outcome = find_header(result.response.headers, header::outcome);
        const std::lock_guard lock{mutex_};
        by_outcome_[std::string{outcome.value_or("no response")}].insert(body);
        ++ended_;
        changed_.notify_all();
    }

    fleet& fleet_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int sent_ = 0;
    int ended_ = 0;
    std::map<std::string, std::set<std::string>> by_outcome_;
};

std::set<std::string> executed_bodies(const std::filesystem::path& history)
{
    std::set<std::string> bodies;
    std::ifstream lines{history};
    for (std::string line; std::getline(lines, line);) {
        const auto entry = nlohmann::json::parse(line, nullptr, false);
        if (entry.is_object()) {
            bodies.insert(entry.value("payload", ""));
        }
    }
    return bodies;
}

class overload : public ::testing::TestWithParam<std::string> {};

// Guards against calls without exactly one outcome, refused calls that ran, more requests in flight
// on the upstream than it has slots, and probes beyond their budget, while the calls of one
// priority class flood its service.
TEST_P(overload, keeps_outcomes_and_budgets)
{
    fleet test_fleet;
    const auto history = test_fleet.directory() / "history.jsonl";
    auto& node = test_fleet.add("east", "desk",
                                {"--slots", std::to_string(slots), "--history", history.string()});
    const time_point probing_start = ms_clock::now();
    const auto publish_result =
        test_fleet.publish(node, "desk", "desk", 0, desk_section(), "change-1");
    ASSERT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
        << publish_result;
    ASSERT_TRUE(test_fleet.wait_until_ready(1));
    ASSERT_TRUE(test_fleet.control(node.upstream_port, "/behaviour", {{"service_ms", 20}}));

    flood calls{test_fleet};
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 10; ++i) {
            calls.send(node.caller_port, GetParam());
        }
        for (const char* priority : {"urgent", "normal", "batch"}) {
            calls.send(node.caller_port, priority);
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    ASSERT_TRUE(calls.wait());
    ASSERT_TRUE(eventually([&] { return test_fleet.counters(node)["probes"].get<int>() > 0; }));

    const auto counters = test_fleet.counters(node);
    const double elapsed_s = (ms_clock::now() - probing_start).count() / 1000.0;
    EXPECT_LE(counters["probes"].get<double>(), probes_per_s * elapsed_s + 1.0);
    EXPECT_LE(counters["peak_in_flight"].get<int>(), slots);

    std::size_t response_count = 0;
    for (const auto& [outcome, bodies] : calls.by_outcome()) {
        response_count += bodies.size();
    }
    EXPECT_EQ(response_count, static_cast<std::size_t>(calls.sent()));
    EXPECT_FALSE(calls.by_outcome().contains("no response"));
    const auto executed = executed_bodies(history);
    auto outcomes = calls.by_outcome();
    EXPECT_FALSE(outcomes["completed"].empty());
    EXPECT_FALSE(outcomes["not-run"].empty());
    for (const auto& body : outcomes["not-run"]) {
        EXPECT_FALSE(executed.contains(body)) << body;
    }
    for (const auto& body : outcomes["completed"]) {
        EXPECT_TRUE(executed.contains(body)) << body;
    }
}

INSTANTIATE_TEST_SUITE_P(flooding_class, overload, ::testing::Values("batch", "urgent"),
                         [](const auto& info) { return info.param; });

} // namespace
} // namespace chestnutstand::testing
