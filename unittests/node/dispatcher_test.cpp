#include "chestnutstand/node/dispatcher.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>

namespace chestnutstand {
namespace {

using testing::_;
using testing::NiceMock;

class mock_peer_client : public peer_client {
public:
    MOCK_METHOD(void, execute, (const node_reference&, const call&, call_done), (override));
    MOCK_METHOD(void, forward, (const node_reference&, const call&, bool, call_done), (override));
    MOCK_METHOD(void, settle,
                (const node_reference&, const std::string&, milliseconds, settle_done), (override));
    MOCK_METHOD(void, probe, (const node_reference&, milliseconds, probe_done), (override));
    MOCK_METHOD(void, fetch_changes,
                (const node_reference&, std::uint64_t, milliseconds, changes_done), (override));
    MOCK_METHOD(void, sync_members,
                (const node_reference&, std::vector<std::string>, milliseconds, members_done),
                (override));
};

call_result answer(int status)
{
    call_result result;
    result.outcome = outcome::completed;
    result.why = reason::none;
    result.response.status = status;
    return result;
}

class dispatcher_test : public testing::Test {
protected:
    void SetUp() override
    {
        publish_members(3);
        service_config service;
        service.name = "ledger";
        service.priorities = {{"lookup", milliseconds{50}, 1.0, true},
                              {"payment", milliseconds{500}, 1.0, false}};
        auto declared = std::make_shared<document>();
        declared->services.push_back(service);
        configuration_.store(std::move(declared));
        dispatcher_options options;
        options.self_instance = 99;
        options.now = [this] { return now_; };
        dispatcher_ = std::make_unique<dispatcher>(peers_, nullptr, routes_, configuration_,
                                                   counters_, std::move(options));
    }

    void publish_members(std::uint64_t count)
    {
        auto table = std::make_shared<routing_table>();
        for (std::uint64_t i = 1; i <= count; ++i) {
            member entry;
            entry.node = {i, "127.0.0.1", static_cast<std::uint16_t>(i)};
            entry.service = "ledger";
            table->by_service["ledger"].push_back(entry);
        }
        routes_.store(std::move(table));
    }

    call_result run(const std::string& priority = "lookup")
    {
        call what;
        what.service = "ledger";
        what.priority = priority;
        what.deadline = now_ + milliseconds{1000};
        what.retry_budget = 3;
        std::optional<call_result> result;
        dispatcher_->dispatch(what, [&result](call_result given) { result = std::move(given); });
        EXPECT_TRUE(result.has_value());
        return result.value_or(unknown_outcome(reason::internal));
    }

    time_point now_{milliseconds{1'000'000}};
    snapshot<routing_table> routes_;
    snapshot<document> configuration_;
    metrics counters_;
    NiceMock<mock_peer_client> peers_;
    std::unique_ptr<dispatcher> dispatcher_;
};

// Guards against a retry of a call that may have run and must not run twice.
TEST_F(dispatcher_test, never_retries_unknown_outcome_of_non_idempotent_class)
{
    EXPECT_CALL(peers_, execute(_, _, _))
        .Times(1)
        .WillOnce([](const node_reference&, const call&, const call_done& done) {
            done(unknown_outcome(reason::peer_connection_lost));
        });
    EXPECT_EQ(run("payment").outcome, outcome::unknown);
}

// Guards against a retry on the member that has just refused the call.
TEST_F(dispatcher_test, retries_refused_call_on_another_member)
{
    std::set<std::uint64_t> called;
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault([&called](const node_reference& target, const call&, const call_done& done) {
            EXPECT_TRUE(called.insert(target.instance).second);
            done(called.size() == 1 ? not_run(reason::queue_full) : answer(200));
        });
    EXPECT_EQ(run("payment").outcome, outcome::completed);
    EXPECT_EQ(called.size(), 2U);
    EXPECT_EQ(counters_.value(reason_event::retried, reason::queue_full), 1U);
}

// Guards against calls that keep going to a node that cannot be reached.
TEST_F(dispatcher_test, avoids_unreachable_member)
{
    std::optional<std::uint64_t> dead;
    int calls_to_dead = 0;
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault([&](const node_reference& target, const call&, const call_done& done) {
            dead = dead.value_or(target.instance);
            calls_to_dead += target.instance == *dead ? 1 : 0;
            done(target.instance == *dead ? not_run(reason::peer_unreachable) : answer(200));
        });
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(run().outcome, outcome::completed);
    }
    EXPECT_EQ(calls_to_dead, 1);
}

// Guards against a key whose candidates are the same node twice.
TEST_F(dispatcher_test, chooses_distinct_candidates)
{
    std::set<std::uint64_t> instances;
    for (const node_reference& node : dispatcher_->choose_distinct("ledger", "payment", 5)) {
        instances.insert(node.instance);
    }
    EXPECT_EQ(instances.size(), 3U);
}

} // namespace
} // namespace chestnutstand
