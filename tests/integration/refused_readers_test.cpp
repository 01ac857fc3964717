#include "../support/fleet.h"
#include "../support/proxy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand::testing {
namespace {

/// Nodes of one data centre, more than read the store by themselves, each with its own link to the
/// store.
class refused_readers : public ::testing::Test {
protected:
    static constexpr std::size_t node_count = 6;
    static constexpr std::size_t reader_count = 3;
    static constexpr std::size_t instance_digits = 16;
    static constexpr milliseconds silence{60'000};

    refused_readers() : store_{STUB_STORE_PROGRAM, {}}, store_port_{announced_port(store_)} {}

    void SetUp() override
    {
        write_document(1, "/view/");
        for (std::size_t i = 0; i < node_count; ++i) {
            links_.push_back(std::make_unique<proxy>(store_port_));
            fleet_.extra_settings() = {
                {"log_url", ""},
                {"store_url", "http://127.0.0.1:" + std::to_string(links_.back()->port())},
                {"caller_interface", "routes"},
                {"node_carrier", "http"}};
            fleet_.add("east", "");
        }
        ASSERT_TRUE(eventually([&] { return all_return("/view/1", not_served); }));
        ASSERT_TRUE(eventually([&] { return all_return("/other/1", unknown_route); }));
        // At its start a node reads the store until it hears of others.
        ASSERT_TRUE(eventually([&] {
            const auto order = by_instance();
            for (std::size_t i = 0; i < node_count; ++i) {
                const auto status = fleet_.status(*fleet_.members().at(order.at(i)));
                const bool reads = !status["document_source"]["waiting_ms"].is_null();
                if (reads != (i < reader_count)) {
                    return false;
                }
            }
            return true;
        }));
    }

    void write_document(int version, const std::string& prefix)
    {
        const nlohmann::json document{{"version", version},
                                      {"services", {{{"name", "alpha"}}}},
                                      {"routes",
                                       {{{"name", "view"},
                                         {"host", "shop.example"},
                                         {"path_prefix", prefix},
                                         {"service", "alpha"},
                                         {"kind", "idempotent"},
                                         {"timeout_ms", 5'000},
                                         {"latency_target_ms", 2'500},
                                         {"attempts", 2}}}}};
        const auto result = exchange(fleet_.client(), store_port_,
                                     {"PUT", "/control/document", {}, document.dump()});
        ASSERT_EQ(result.response.status, 200);
    }

    bool all_return(const std::string& target, int status)
    {
        return std::all_of(
            fleet_.members().begin(), fleet_.members().end(), [&](const auto& member) {
                const auto result =
                    exchange(fleet_.client(), member->caller_port,
                             {"GET", target, {{"Host", "shop.example"}}, ""}, milliseconds{5'000});
                return result.response.status == status;
            });
    }

    /// Indices of the nodes, those that read the store by themselves first.
    std::vector<std::size_t> by_instance()
    {
        std::vector<std::pair<std::string, std::size_t>> order;
        for (std::size_t i = 0; i < node_count; ++i) {
            auto id = fleet_.status(*fleet_.members().at(i))["instance"].get<std::string>();
            order.emplace_back(std::string(instance_digits - id.size(), '0') + id, i);
        }
        std::sort(order.begin(), order.end());
        std::vector<std::size_t> indices;
        indices.reserve(order.size());
        for (const auto& [id, index] : order) {
            indices.push_back(index);
        }
        return indices;
    }

    /// No upstream is registered, so that a known route is refused with this status.
    static constexpr int not_served = 503;
    static constexpr int unknown_route = 404;

    process store_;
    std::uint16_t store_port_;
    fleet fleet_;
    std::vector<std::unique_ptr<proxy>> links_;
};

// Guards against a change that no node learns of while the store turns the readers away, although
// it serves the other nodes.
TEST_F(refused_readers, follow_changes_that_other_nodes_read)
{
    const auto order = by_instance();
    for (std::size_t i = 0; i < reader_count; ++i) {
        ASSERT_TRUE(links_.at(order.at(i))->set_faults({{"mode", "cut"}}));
    }
    write_document(2, "/other/");
    EXPECT_TRUE(eventually([&] { return all_return("/other/1", not_served); }));
    write_document(3, "/third/");
    EXPECT_TRUE(eventually([&] { return all_return("/third/1", not_served); }));
}

// Guards against the same when the store leaves the readers without a response, on connections that
// stay open.
TEST_F(refused_readers, follow_changes_that_other_nodes_read_while_the_store_is_silent)
{
    const auto order = by_instance();
    for (std::size_t i = 0; i < reader_count; ++i) {
        ASSERT_TRUE(
            links_.at(order.at(i))->set_faults({{"mode", "delay"}, {"delay_ms", silence.count()}}));
    }
    write_document(2, "/other/");
    EXPECT_TRUE(eventually([&] { return all_return("/other/1", not_served); }));
}

} // namespace
} // namespace chestnutstand::testing
