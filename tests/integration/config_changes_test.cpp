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

/// Polls the configuration versions of nodes until it is destroyed and checks that none decreases.
class version_monitor {
public:
    explicit version_monitor(const std::vector<std::uint16_t>& admin_ports)
    {
        for (const auto port : admin_ports) {
            readers_.emplace_back([this, port] { poll_versions(port); });
        }
    }
    version_monitor(const version_monitor&) = delete;
    version_monitor& operator=(const version_monitor&) = delete;
    ~version_monitor()
    {
        stopping_ = true;
        for (auto& reader : readers_) {
            reader.join();
        }
        EXPECT_EQ(decreases_, 0);
        EXPECT_GT(reads_, 0);
    }

private:
    void poll_versions(std::uint16_t port)
    {
        const auto client = make_http_client();
        std::uint64_t highest = 0;
        do {
            const auto result =
                exchange(*client, port, {"GET", "/status", {}, ""}, milliseconds{1'000});
            const auto status = nlohmann::json::parse(result.response.body, nullptr, false);
            if (status.is_object() && status["config_version"].is_number()) {
                const auto version = status["config_version"].get<std::uint64_t>();
                decreases_ += version < highest ? 1 : 0;
                highest = std::max(highest, version);
                ++reads_;
            }
            std::this_thread::sleep_for(milliseconds{10});
        } while (!stopping_);
    }

    std::atomic<bool> stopping_ = false;
    std::atomic<int> decreases_ = 0;
    std::atomic<int> reads_ = 0;
    std::vector<std::thread> readers_;
};

bool is_accepted(const nlohmann::json& result)
{
    return result.is_object() && result.value("accepted", false);
}

/// Six nodes without upstreams in two data centres, with a section "main". With three nodes per
/// data centre, one in each does not read the log and gets changes from its peers only.
class config_changes : public ::testing::Test {
protected:
    void SetUp() override
    {
        for (const char* data_centre : {"east", "east", "east", "west", "west", "west"}) {
            nodes_.push_back(&fleet_.add(data_centre, ""));
        }
        std::vector<std::uint16_t> ports;
        for (const auto* node : nodes_) {
            ports.push_back(node->admin_port);
        }
        const auto result = publish(0, "main", 0);
        ASSERT_TRUE(is_accepted(result)) << result;
        version_ = result["version"].get<std::uint64_t>();
        ASSERT_TRUE(in_force_everywhere(version_));
        monitor_ = std::make_unique<version_monitor>(ports);
    }

    nlohmann::json publish(std::size_t node, const std::string& section, std::uint64_t base_version,
                           const std::string& team = "platform", const std::string& id = "")
    {
        const auto change_id = id.empty() ? "change-" + std::to_string(next_id_++) : id;
        return fleet_.publish(*nodes_[node], team, section, base_version,
                              section_content(team, {"service-of-" + section}), change_id);
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
            for (const auto* node : nodes_) {
                if (!in_force(*node, version)) {
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
    std::unique_ptr<version_monitor> monitor_;
};

// Guards against concurrent changes of a section of which none or several are accepted.
TEST_F(config_changes, accepts_exactly_one_of_concurrent_changes_of_a_section)
{
    for (int round = 0; round < 10; ++round) {
        std::vector<std::future<nlohmann::json>> publications;
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            // Copies the version, as version_ changes once the first result has arrived.
            publications.push_back(
                std::async(std::launch::async, [this, node, base_version = version_] {
                    return publish(node, "main", base_version);
                }));
        }
        int accepted_count = 0;
        for (auto& publication : publications) {
            const auto result = publication.get();
            ASSERT_TRUE(result.contains("accepted")) << result;
            if (is_accepted(result)) {
                ++accepted_count;
                version_ = result["version"].get<std::uint64_t>();
            }
            else {
                EXPECT_NE(result.value("explanation", ""), "");
            }
        }
        EXPECT_EQ(accepted_count, 1);
        ASSERT_TRUE(in_force_everywhere(version_));
    }
}

// Guards against a change that does not reach nodes that do not read the log. Prints the
// propagation time without checking it.
TEST_F(config_changes, accepted_change_comes_into_force_everywhere)
{
    constexpr int rounds = 30;
    std::vector<double> times_ms;
    for (int round = 0; round < rounds; ++round) {
        const auto result = publish(round % nodes_.size(), "main", version_);
        const auto start = ms_clock::now();
        ASSERT_TRUE(is_accepted(result)) << result;
        version_ = result["version"].get<std::uint64_t>();
        ASSERT_TRUE(in_force_everywhere(version_));
        times_ms.push_back((ms_clock::now() - start).count());
    }
    std::sort(times_ms.begin(), times_ms.end());
    std::cout << "acceptance to in force on " << nodes_.size() << " nodes: median "
              << times_ms[rounds / 2] << " ms, longest of " << rounds << " " << times_ms.back()
              << " ms\n";
}

// Guards against a change that is rejected because another section changed at the same time.
TEST_F(config_changes, changes_of_different_sections_are_all_accepted)
{
    std::vector<std::future<nlohmann::json>> publications;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        publications.push_back(std::async(std::launch::async, [this, node] {
            return publish(node, "section-" + std::to_string(node), 0);
        }));
    }
    for (auto& publication : publications) {
        const auto result = publication.get();
        EXPECT_TRUE(is_accepted(result)) << result;
        version_ = std::max(version_, result.value("version", std::uint64_t{0}));
    }
    EXPECT_TRUE(in_force_everywhere(version_));
}

// Guards against a team that can change a section of another team, or is refused without an
// explanation.
TEST_F(config_changes, change_by_another_team_is_refused_with_an_explanation)
{
    const auto result = publish(1, "main", version_, "intruders");
    ASSERT_TRUE(result.contains("accepted")) << result;
    EXPECT_FALSE(result["accepted"]);
    EXPECT_EQ(result["explanation"],
              "section main is owned by team platform, the change is from team intruders");
}

// Guards against a lost or repeated change when the log fails during publication, and against nodes
// that accept no changes after the outage.
TEST_F(config_changes, log_outage_delays_changes_only)
{
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"down", true}}));
    const auto refused = publish(0, "main", version_);
    EXPECT_NE(refused.value("error", "").find("the change was not published"), std::string::npos)
        << refused;
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"down", false}}));
    const auto result = publish(0, "main", version_);
    ASSERT_TRUE(is_accepted(result)) << result;
    EXPECT_TRUE(in_force_everywhere(result["version"]));
}

// Guards against a change that is applied twice, or whose result is reported wrongly, when the
// response of the log to the append is lost.
TEST_F(config_changes, lost_append_answer_still_gives_the_verdict)
{
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"drop_append_answers", true}}));
    const auto result = publish(0, "main", version_, "platform", "once");
    ASSERT_TRUE(is_accepted(result)) << result;
    const auto repeated = publish(2, "main", version_, "platform", "once");
    EXPECT_TRUE(is_accepted(repeated)) << repeated;
    EXPECT_EQ(repeated["version"], result["version"]);
    EXPECT_TRUE(in_force_everywhere(result["version"]));
}

// Guards against a node that keeps an old document after a pause, or reverts to one.
TEST_F(config_changes, paused_node_catches_up)
{
    nodes_[3]->node->signal(SIGSTOP);
    for (int i = 0; i < 5; ++i) {
        const auto result = publish(0, "main", version_);
        ASSERT_TRUE(is_accepted(result)) << result;
        version_ = result["version"].get<std::uint64_t>();
    }
    nodes_[3]->node->signal(SIGCONT);
    EXPECT_TRUE(in_force_everywhere(version_));
}

// Guards against a new node that can get its first document only from the log.
TEST_F(config_changes, new_node_starts_from_peers_while_the_log_is_down)
{
    ASSERT_TRUE(fleet_.control(fleet_.log_port(), "/faults", {{"down", true}}));
    fleet_.extra_settings()["seeds"] = {
        {{"address", "127.0.0.1"}, {"gossip_port", nodes_[0]->gossip_port}}};
    auto& new_node = fleet_.add("west", "");
    EXPECT_TRUE(eventually([&] { return in_force(new_node, version_); }));
}

} // namespace
} // namespace chestnutstand::testing
