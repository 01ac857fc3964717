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

/// Callers that repeat keyed calls through several nodes, and what they saw.
class keyed_callers {
public:
    explicit keyed_callers(fleet& all) : fleet_{all}
    {
        for (const auto& entry : all.members()) {
            ports_.push_back(entry->caller_port);
        }
    }

    /// A key from any node that replies.
    std::string issue(std::mt19937& random)
    {
        for (int i = 0; i < 100; ++i) {
            const auto result = exchange(fleet_.client(), any_port(random),
                                         {"POST", "/keys/alpha", {}, ""}, milliseconds{2'000});
            if (result.error == http_error::none && result.response.status == 200) {
                return nlohmann::json::parse(result.response.body)["keys"][0];
            }
        }
        return "";
    }

    /// Sends one call or query and records its reply; true when the outcome is final.
    bool ask(std::uint16_t port, const std::string& key, const std::string& payload)
    {
        const bool query = payload.empty();
        http_request request{query ? "GET" : "POST",
                             query ? "/outcome" : "/call/alpha/pay",
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
        const auto seen =
            outcome_names.find(find_header(result.response.headers, header::outcome).value_or(""));
        if (result.error != http_error::none || !seen) {
            return false;
        }
        record.outcome = *seen;
        record.reason =
            reason_names.find(find_header(result.response.headers, header::reason).value_or("none"))
                .value_or(reason_code::internal);
        record.response = result.response.body;
        const auto content = decode(key, fleet_.cluster_secret());
        for (const auto& candidate : content->candidates) {
            record.candidates.push_back(absl::StrCat(absl::Hex(candidate.instance)));
        }
        const std::lock_guard lock{mutex_};
        record.id = std::to_string(records_.calls.size());
        records_.calls.push_back(record);
        return *seen != call_outcome::unknown;
    }

    void run(std::size_t caller)
    {
        std::mt19937 random{static_cast<std::uint32_t>(20261204 + caller)};
        for (std::size_t i = 0; i < keys_per_caller; ++i) {
            const std::string key = issue(random);
            if (key.empty()) {
                continue;
            }
            const std::string payload = absl::StrCat("payment ", caller, "-", i);
            for (int attempt = 0; attempt < attempts_per_key; ++attempt) {
                const bool final = ask(any_port(random), key, payload);
                // A final outcome must stay what it is, so some calls are repeated after it.
                if (final && random() % 4 != 0) {
                    break;
                }
            }
            const std::lock_guard lock{mutex_};
            keys_.push_back(key);
        }
    }

    void add_disturbance(history::disturbance_record::kind what, const std::string& process)
    {
        const std::lock_guard lock{mutex_};
        records_.disturbances.push_back(
            {what, process, ms_clock::now().time_since_epoch().count()});
    }

    history::records& records() { return records_; }
    const std::vector<std::string>& keys() const { return keys_; }

private:
    std::uint16_t any_port(std::mt19937& random) const { return ports_[random() % ports_.size()]; }

    fleet& fleet_;
    std::vector<std::uint16_t> ports_;
    std::mutex mutex_;
    history::records records_;
    std::vector<std::string> keys_;
};

/// Pauses two nodes in turn, twice, and then kills a third.
void disturb(fleet& all, keyed_callers& callers, const std::string& killed)
{
    using kind = history::disturbance_record::kind;
    for (int round = 0; round < 4; ++round) {
        auto& node = *all.members()[static_cast<std::size_t>(round % 2)]->node;
        pause_for(400);
        callers.add_disturbance(kind::fault, "paused");
        node.signal(SIGSTOP);
        pause_for(1'200);
        node.signal(SIGCONT);
    }
    callers.add_disturbance(kind::death, killed);
    all.members()[2]->node->kill();
}

// Guards against a key that runs twice, a wrong not-run, a foreign response or an unexplained loss
// when keyed calls are repeated through several nodes while nodes are paused and killed.
TEST(keys, run_at_most_once_while_nodes_are_paused_and_killed)
{
    fleet all;
    std::vector<std::string> histories;
    for (std::size_t i = 0; i < node_count; ++i) {
        histories.push_back((all.directory() / ("executions-" + std::to_string(i))).string());
        all.add(i % 2 == 0 ? "east" : "west", "alpha", {"--history", histories.back()});
    }
    const auto verdict = all.publish(*all.members().front(), "platform", "main", 0,
                                     section_content("platform", {"alpha"}), "change-1");
    ASSERT_TRUE(verdict.is_object() && verdict.value("accepted", false)) << verdict;
    ASSERT_TRUE(all.wait_until_ready(node_count));
    for (const auto& entry : all.members()) {
        ASSERT_TRUE(all.control(entry->upstream_port, "/behaviour", {{"service_ms", 30}}));
    }
    const auto killed = all.status(*all.members()[2]).value("instance", "");
    ASSERT_FALSE(killed.empty());

    keyed_callers callers{all};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < caller_count; ++i) {
        threads.emplace_back([&callers, i] { callers.run(i); });
    }
    disturb(all, callers, killed);
    for (auto& thread : threads) {
        thread.join();
    }
    for (const auto& key : callers.keys()) {
        callers.ask(all.members()[0]->caller_port, key, "");
    }

    auto& seen = callers.records();
    for (const auto& file : histories) {
        std::ifstream lines{file};
        const auto status = history::read(lines, seen);
        ASSERT_TRUE(status.ok()) << file << ": " << status;
    }
    const auto result = history::check(seen);
    for (const auto& each : result.violations) {
        ADD_FAILURE() << history::to_string(each.broken) << ": " << each.detail;
    }
    std::cout << "keys " << callers.keys().size() << " replies " << seen.calls.size()
              << " executions " << seen.executions.size() << " completed " << result.completed
              << " not-run " << result.not_run << " unknown " << result.unknown << "\n";
    for (const auto& [reason, count] : result.unknown_by_reason) {
        std::cout << "unknown " << to_string(reason) << " " << count << "\n";
    }
    EXPECT_GT(result.completed, callers.keys().size() / 2);
}

} // namespace
} // namespace chestnutstand::testing
