#include "../support/fleet.h"

#include "chestnutstand/keys/idempotency_key.h"
#include "chestnutstand/transport/headers.h"
#include "history_checker.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace chestnutstand::testing {
namespace {

constexpr std::size_t node_count = 5;
constexpr std::size_t caller_count = 6;
constexpr std::size_t keys_per_caller = 60;
constexpr int attempts_per_key = 4;

void pause_for(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{ms});
}

/// Callers that repeat keyed calls through several nodes and record the outcomes.
class keyed_callers {
public:
    explicit keyed_callers(fleet& test_fleet) : fleet_{test_fleet}
    {
        for (const auto& member : test_fleet.members()) {
            ports_.push_back(member->caller_port);
        }
    }

    /// Requests a key from random nodes until one replies; empty when none of 100 requests
    /// succeeds.
    std::string request_key(std::mt19937& random)
    {
        for (int i = 0; i < 100; ++i) {
            const auto result = exchange(fleet_.client(), random_port(random),
                                         {"POST", "/keys/alpha", {}, ""}, milliseconds{2'000});
            if (result.error == http_error::none && result.response.status == 200) {
                return nlohmann::json::parse(result.response.body)["keys"][0];
            }
        }
        return "";
    }

    /// Sends one call, or a query of the key if the payload is empty, and records its reply.
    /// Returns whether the outcome is final.
    bool call_or_query(std::uint16_t port, const std::string& key, const std::string& payload)
    {
        const bool is_query = payload.empty();
        http_request request{is_query ? "GET" : "POST",
                             is_query ? "/outcome" : "/call/alpha/pay",
                             {{std::string{header::idempotency_key}, key},
                              {std::string{header::priority}, "write"},
                              {std::string{header::timeout_ms}, "1500"}},
                             payload};
        history::call_record record;
        record.key = key;
        record.payload = payload;
        record.start = ms_clock::now().time_since_epoch().count();
        const auto result =
            exchange(fleet_.client(), port, std::move(request), milliseconds{4'000});
        record.end = ms_clock::now().time_since_epoch().count();
        const auto outcome =
            outcome_names.find(find_header(result.response.headers, header::outcome).value_or(""));
        if (result.error != http_error::none || !outcome) {
            return false;
        }
        record.outcome = *outcome;
        record.reason =
            reason_names.find(find_header(result.response.headers, header::reason).value_or("none"))
                .value_or(reason_code::internal);
        record.response = result.response.body;
        const auto key_content = decode(key, fleet_.cluster_secret());
        for (const auto& candidate : key_content->candidates) {
            record.candidates.push_back(absl::StrCat(absl::Hex(candidate.instance)));
        }
        const std::lock_guard lock{mutex_};
        record.id = std::to_string(records_.calls.size());
        records_.calls.push_back(record);
        return *outcome != call_outcome::unknown;
    }

    void make_calls(std::size_t caller)
    {
        std::mt19937 random{static_cast<std::uint32_t>(20261204 + caller)};
        for (std::size_t i = 0; i < keys_per_caller; ++i) {
            const std::string key = request_key(random);
            if (key.empty()) {
                continue;
            }
            const std::string payload = absl::StrCat("payment ", caller, "-", i);
            for (int attempt = 0; attempt < attempts_per_key; ++attempt) {
                const bool is_final = call_or_query(random_port(random), key, payload);
                // Repeats a quarter of the calls after a final outcome, which must not change.
                if (is_final && random() % 4 != 0) {
                    break;
                }
            }
            const std::lock_guard lock{mutex_};
            keys_.push_back(key);
        }
    }

    void add_disturbance(history::disturbance_record::kind type, const std::string& process)
    {
        const std::lock_guard lock{mutex_};
        records_.disturbances.push_back(
            {type, process, ms_clock::now().time_since_epoch().count()});
    }

    history::records& records() { return records_; }
    const std::vector<std::string>& keys() const { return keys_; }

private:
    std::uint16_t random_port(std::mt19937& random) const
    {
        return ports_[random() % ports_.size()];
    }

    fleet& fleet_;
    std::vector<std::uint16_t> ports_;
    std::mutex mutex_;
    history::records records_;
    std::vector<std::string> keys_;
};

/// Pauses two nodes alternately, twice each, and then kills a third.
void inject_faults(fleet& test_fleet, keyed_callers& callers, const std::string& killed_instance)
{
    using kind = history::disturbance_record::kind;
    for (int round = 0; round < 4; ++round) {
        auto& node = *test_fleet.members()[static_cast<std::size_t>(round % 2)]->node;
        pause_for(400);
        callers.add_disturbance(kind::fault, "paused");
        node.signal(SIGSTOP);
        pause_for(1'200);
        node.signal(SIGCONT);
    }
    callers.add_disturbance(kind::death, killed_instance);
    test_fleet.members()[2]->node->kill();
}

// Guards against a key that runs twice, a not-run outcome of a call that ran, the response of
// another call, or an unexplained unknown outcome, when keyed calls are repeated through several
// nodes while nodes are paused and killed.
TEST(keys, run_at_most_once_while_nodes_are_paused_and_killed)
{
    fleet test_fleet;
    std::vector<std::string> histories;
    for (std::size_t i = 0; i < node_count; ++i) {
        histories.push_back(
            (test_fleet.directory() / ("executions-" + std::to_string(i))).string());
        test_fleet.add(i % 2 == 0 ? "east" : "west", "alpha", {"--history", histories.back()});
    }
    const auto publish_result =
        test_fleet.publish(*test_fleet.members().front(), "platform", "main", 0,
                           section_content("platform", {"alpha"}), "change-1");
    ASSERT_TRUE(publish_result.is_object() && publish_result.value("accepted", false))
        << publish_result;
    ASSERT_TRUE(test_fleet.wait_until_ready(node_count));
    for (const auto& member : test_fleet.members()) {
        ASSERT_TRUE(test_fleet.control(member->upstream_port, "/behaviour", {{"service_ms", 30}}));
    }
    const auto killed_instance = test_fleet.status(*test_fleet.members()[2]).value("instance", "");
    ASSERT_FALSE(killed_instance.empty());

    keyed_callers callers{test_fleet};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < caller_count; ++i) {
        threads.emplace_back([&callers, i] { callers.make_calls(i); });
    }
    inject_faults(test_fleet, callers, killed_instance);
    for (auto& thread : threads) {
        thread.join();
    }
    for (const auto& key : callers.keys()) {
        callers.call_or_query(test_fleet.members()[0]->caller_port, key, "");
    }

    auto& recorded = callers.records();
    for (const auto& history_file : histories) {
        std::ifstream lines{history_file};
        const auto status = history::read(lines, recorded);
        ASSERT_TRUE(status.ok()) << history_file << ": " << status;
    }
    const auto result = history::check(recorded);
    for (const auto& violation : result.violations) {
        ADD_FAILURE() << history::to_string(violation.broken) << ": " << violation.detail;
    }
    std::cout << "keys " << callers.keys().size() << " replies " << recorded.calls.size()
              << " executions " << recorded.executions.size() << " completed " << result.completed
              << " not-run " << result.not_run << " unknown " << result.unknown << "\n";
    for (const auto& [reason, count] : result.unknown_by_reason) {
        std::cout << "unknown " << to_string(reason) << " " << count << "\n";
    }
    EXPECT_GT(result.completed, callers.keys().size() / 2);
}

} // namespace
} // namespace chestnutstand::testing
