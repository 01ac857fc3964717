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

/// Outcomes of the calls of a flood, by their bodies.
class flood {
public:
    explicit flood(fleet& all) : all_{all} {}

    void send(std::uint16_t port, const std::string& priority)
    {
        const auto body = priority + "-" + std::to_string(++sent_);
        http_request request{
            "POST", "/call/desk/work", {{std::string{header::priority}, priority}}, body};
        all_.client().send("http://127.0.0.1:" + std::to_string(port), std::move(request),
                           milliseconds{60'000},
                           [this, body](const http_result& result) { end(body, result); });
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
    void end(const std::string& body, const http_result& result)
    {
        const auto outcome = find_header(result.response.headers, header::outcome);
        const std::lock_guard lock{mutex_};
        by_outcome_[std::string{outcome.value_or("no response")}].insert(body);
        ++ended_;
        changed_.notify_all();
    }

    fleet& all_;
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

// Guards, while one class floods its service, against calls without exactly one outcome, refused
// calls that ran, more work on the upstream than its slots, and measurement beyond the budget.
TEST_P(overload, keeps_outcomes_and_budgets)
{
    fleet all;
    const auto history = all.directory() / "history.jsonl";
    auto& node =
        all.add("east", "desk", {"--slots", std::to_string(slots), "--history", history.string()});
    const time_point probing_since = ms_clock::now();
    const auto verdict = all.publish(node, "desk", "desk", 0, desk_section(), "change-1");
    ASSERT_TRUE(verdict.is_object() && verdict.value("accepted", false)) << verdict;
    ASSERT_TRUE(all.wait_until_ready(1));
    ASSERT_TRUE(all.control(node.upstream_port, "/behaviour", {{"service_ms", 20}}));

    flood calls{all};
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 10; ++i) {
            calls.send(node.caller_port, GetParam());
        }
        for (const char* other : {"urgent", "normal", "batch"}) {
            calls.send(node.caller_port, other);
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    ASSERT_TRUE(calls.wait());
    ASSERT_TRUE(eventually([&] { return all.counters(node)["probes"].get<int>() > 0; }));

    const auto counters = all.counters(node);
    const double elapsed_s = (ms_clock::now() - probing_since).count() / 1000.0;
    EXPECT_LE(counters["probes"].get<double>(), probes_per_s * elapsed_s + 1.0);
    EXPECT_LE(counters["peak_in_flight"].get<int>(), slots);

    std::size_t answered = 0;
    for (const auto& [outcome, bodies] : calls.by_outcome()) {
        answered += bodies.size();
    }
    EXPECT_EQ(answered, static_cast<std::size_t>(calls.sent()));
    EXPECT_FALSE(calls.by_outcome().contains("no response"));
    const auto ran = executed_bodies(history);
    auto outcomes = calls.by_outcome();
    EXPECT_FALSE(outcomes["completed"].empty());
    EXPECT_FALSE(outcomes["not-run"].empty());
    for (const auto& body : outcomes["not-run"]) {
        EXPECT_FALSE(ran.contains(body)) << body;
    }
    for (const auto& body : outcomes["completed"]) {
        EXPECT_TRUE(ran.contains(body)) << body;
    }
}

INSTANTIATE_TEST_SUITE_P(flooding_class, overload, ::testing::Values("batch", "urgent"),
                         [](const auto& tested) { return tested.param; });

} // namespace
} // namespace chestnutstand::testing
