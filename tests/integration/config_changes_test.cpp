#include "../support/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <iostream>
#include <thread>

namespace chestnutstand::testing {
namespace {

/// Reads the versions of nodes again and again, and checks that none falls.
class version_watch {
public:
    explicit version_watch(const std::vector<std::uint16_t>& admin_ports)
    {
        for (const auto port : admin_ports) {
            readers_.emplace_back([this, port] { watch(port); });
        }
    }
    version_watch(const version_watch&) = delete;
    version_watch& operator=(const version_watch&) = delete;
    ~version_watch()
    {
        stopping_ = true;
        for (auto& each : readers_) {
            each.join();
        }
        EXPECT_EQ(falls_, 0);
        EXPECT_GT(reads_, 0);
    }

private:
    void watch(std::uint16_t port)
    {
        const auto client = make_http_client();
        std::uint64_t highest = 0;
        do {
            const auto result =
                exchange(*client, port, {"GET", "/status", {}, ""}, milliseconds{1'000});
            const auto status = nlohmann::json::parse(result.response.body, nullptr, false);
            if (status.is_object() && status["config_version"].is_number()) {
                const auto version = status["config_version"].get<std::uint64_t>();
                falls_ += version < highest ? 1 : 0;
                highest = std::max(highest, version);
                ++reads_;
            }
            std::this_thread::sleep_for(milliseconds{10});
        } while (!stopping_);
    }

    std::atomic<bool> stopping_ = false;
    std::atomic<int> falls_ = 0;
    std::atomic<int> reads_ = 0;
    std::vector<std::thread> readers_;
};

bool accepted(const nlohmann::json& verdict)
{
    return verdict.is_object() && verdict.value("accepted", false);
}

/// Six nodes without upstreams in two data centres, so that one in each learns of changes from its
/// peers only, with a first section "main".
class config_changes : public ::testing::Test {
protected:
    void SetUp() override
    {
        for (const char* data_centre : {"east", "east", "east", "west", "west", "west"}) {
            nodes_.push_back(&fleet_.add(data_centre, ""));
        }
        std::vector<std::uint16_t> ports;
        for (const auto* each : nodes_) {
            ports.push_back(each->admin_port);
        }
        const auto first = publish(0, "main", 0);
        ASSERT_TRUE(accepted(first)) << first;
        version_ = first["version"].get<std::uint64_t>();
        ASSERT_TRUE(in_force_everywhere(version_));
        watch_ = std::make_unique<version_watch>(ports);
    }

    nlohmann::json publish(std::size_t node, const std::string& section, std::uint64_t base,
                           const std::string& team = "platform", const std::string& id = "")
    {
        const auto own_id = id.empty() ? "change-" + std::to_string(next_id_++) : id;
        return fleet_.publish(*nodes_[node], team, section, base,
                              section_content(team, {"service-of-" + section}), own_id);
    }

    bool in_force(const fleet_member& node, std::uint64_t version)
    {
        const auto status = fleet_.status(node);
        return status.is_object() && status["config_version"].is_number() &&
               status["config_version"].get<std::uint64_t>() >= version;
    }

    bool in_force_everywhere(std::uint64_t version)
    {
        return eventually([&] {
            for (const auto* each : nodes_) {
                if (!in_force(*each, version)) {
                    return false;
                }
            }
            return true;
        });
    }

    fleet fleet_;
    std::vector<fleet_member*> nodes_;
    std::uint64_t version_ = 0;
    std::atomic<int> next_id_ = 0;
    std::unique_ptr<version_watch> watch_;
};

// Guards against racing changes of one section of which not exactly one wins.
TEST_F(config_changes, one_of_racing_changes_of_a_section_wins)
{
    for (int round = 0; round < 10; ++round) {
        std::vector<std::future<nlohmann::json>> racers;
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            // The base is copied, because version_ changes once the first verdict is in.
            racers.push_back(std::async(std::launch::async, [this, node, base = version_] {
                return publish(node, "main", base);
            }));
        }
        int winners = 0;
        for (auto& each : racers) {
            const auto verdict = each.get();
            ASSERT_TRUE(verdict.contains("accepted")) << verdict;
            if (accepted(verdict)) {
                ++winners;
                version_ = verdict["version"].get<std::uint64_t>();
            }
            else {
                EXPECT_NE(verdict.value("explanation", ""), "");
            }
        }
        EXPECT_EQ(winners, 1);
        ASSERT_TRUE(in_force_everywhere(version_));
    }
}

// Guards against a change that does not reach nodes that do not read the log. Prints the time,
// which is not part of the verdict.
TEST_F(config_changes, accepted_change_comes_into_force_everywhere)
{
    constexpr int rounds = 30;
    std::vector<double> times_ms;
    for (int round = 0; round < rounds; ++round) {
        const auto verdict = publish(round % nodes_.size(), "main", version_);
        const auto start = ms_clock::now();
        ASSERT_TRUE(accepted(verdict)) << verdict;
        version_ = verdict["version"].get<std::uint64_t>();
        ASSERT_TRUE(in_force_everywhere(version_));
        times_ms.push_back((ms_clock::now() - start).count());
    }
    std::sort(times_ms.begin(), times_ms.end());
    std::cout << "acceptance to in force on " << nodes_.size() << " nodes: median "
              << times_ms[rounds / 2] << " ms, longest of " << rounds << " " << times_ms.back()
              << " ms\n";
}

// Guards against changes of different sections that hinder each other.
TEST_F(config_changes, changes_of_different_sections_are_all_accepted)
{
    std::vector<std::future<nlohmann::json>> authors;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        authors.push_back(std::async(std::launch::async, [this, node] {
            return publish(node, "section-" + std::to_string(node), 0);
        }));
    }
    for (auto& each : authors) {
        const auto verdict = each.get();
        EXPECT_TRUE(accepted(verdict)) << verdict;
        version_ = std::max(version_, verdict.value("version", std::uint64_t{0}));
    }
    EXPECT_TRUE(in_force_everywhere(version_));
}

// Guards against a team that changes a section of another one, or is refused without a reason.
TEST_F(config_changes, foreign_team_is_refused_with_an_explanation)
{
    const auto verdict = publish(1, "main", version_, "intruders");
    ASSERT_TRUE(verdict.contains("accepted")) << verdict;
    EXPECT_FALSE(verdict["accepted"]);
    EXPECT_EQ(verdict["explanation"],
              "section main is owned by team platform, the change is from team intruders");
}

// Guards against a lost or repeated change when the log fails in the middle, and against nodes that
// do not go on afterwards.
TEST_F(config_changes, log_outage_delays_changes_only)
{
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"down", true}}));
    const auto refused = publish(0, "main", version_);
    EXPECT_NE(refused.value("error", "").find("the change was not published"), std::string::npos)
        << refused;
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"down", false}}));
    const auto verdict = publish(0, "main", version_);
    ASSERT_TRUE(accepted(verdict)) << verdict;
    EXPECT_TRUE(in_force_everywhere(verdict["version"]));
}

// Guards against a change that is appended twice, or reported wrongly, when the answer is lost.
TEST_F(config_changes, lost_append_answer_still_gives_the_verdict)
{
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"drop_append_answers", true}}));
    const auto verdict = publish(0, "main", version_, "platform", "once");
    ASSERT_TRUE(accepted(verdict)) << verdict;
    const auto repeated = publish(2, "main", version_, "platform", "once");
    EXPECT_TRUE(accepted(repeated)) << repeated;
    EXPECT_EQ(repeated["version"], verdict["version"]);
    EXPECT_TRUE(in_force_everywhere(verdict["version"]));
}

// Guards against a node that serves an old document after a pause, or goes back to one.
TEST_F(config_changes, paused_node_catches_up)
{
    nodes_[3]->node->signal(SIGSTOP);
    for (int i = 0; i < 5; ++i) {
        const auto verdict = publish(0, "main", version_);
        ASSERT_TRUE(accepted(verdict)) << verdict;
        version_ = verdict["version"].get<std::uint64_t>();
    }
    nodes_[3]->node->signal(SIGCONT);
    EXPECT_TRUE(in_force_everywhere(version_));
}

// Guards against a new node that needs the log for its first document.
TEST_F(config_changes, new_node_starts_from_peers_while_the_log_is_down)
{
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"down", true}}));
    fleet_.extra_settings()["seeds"] = {
        {{"address", "127.0.0.1"}, {"gossip_port", nodes_[0]->gossip_port}}};
    auto& added = fleet_.add("west", "");
    EXPECT_TRUE(eventually([&] { return in_force(added, version_); }));
}

} // namespace
} // namespace chestnutstand::testing
