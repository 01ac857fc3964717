#include "dispatcher_fixture.h"

#include <algorithm>
#include <array>
#include <set>

namespace chestnutstand {
namespace {

using testing::_;

// Guards against retrying a call that may have run and must not run twice.
TEST_F(dispatcher_test, never_retries_unknown_outcome_of_non_idempotent_class)
{
    EXPECT_CALL(peers_, execute(_, _, _))
        .Times(1)
        .WillOnce([](const node_reference&, const service_call&, const call_done& done) {
            done(unknown_outcome(reason_code::peer_connection_lost));
        });
    EXPECT_EQ(run("payment").outcome, call_outcome::unknown);
}

// Guards against retrying on the member that has just refused the call.
TEST_F(dispatcher_test, retries_refused_call_on_another_member)
{
    std::set<std::uint64_t> called;
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault(
            [&called](const node_reference& target, const service_call&, const call_done& done) {
                EXPECT_TRUE(called.insert(target.instance).second);
                done(called.size() == 1 ? not_run(reason_code::queue_full) : answer(200));
            });
    EXPECT_EQ(run("payment").outcome, call_outcome::completed);
    EXPECT_EQ(called.size(), 2U);
    EXPECT_EQ(counters_.value(reason_event::retried, reason_code::queue_full), 1U);
}

// Guards against sending each call to many full members during an overload, which takes time and
// bandwidth from the calls that are served, and against giving up urgent calls as early as others.
TEST_F(dispatcher_test, stops_after_a_few_full_queues)
{
    publish_members(8);
    answer_with([](int) { return not_run(reason_code::queue_full); });
    EXPECT_EQ(run("payment").reason, reason_code::queue_full);
    EXPECT_EQ(attempts_.size(), 2U);
    attempts_.clear();
    EXPECT_EQ(run("lookup").reason, reason_code::queue_full);
    EXPECT_EQ(attempts_.size(), 4U);
}

// Guards against sending further calls to a node that cannot be reached.
TEST_F(dispatcher_test, avoids_unreachable_member)
{
    std::optional<std::uint64_t> unreachable;
    int calls_to_unreachable = 0;
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault(
            [&](const node_reference& target, const service_call&, const call_done& done) {
                unreachable = unreachable.value_or(target.instance);
                calls_to_unreachable += target.instance == *unreachable ? 1 : 0;
                done(target.instance == *unreachable ? not_run(reason_code::peer_unreachable)
                                                     : answer(200));
            });
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(run().outcome, call_outcome::completed);
    }
    EXPECT_EQ(calls_to_unreachable, 1);
}

// Guards against reporting a call that may have run as not run because its retry was refused.
TEST_F(dispatcher_test, refusal_after_unknown_attempt_stays_unknown)
{
    answer_with([](int attempt) {
        return attempt == 0 ? unknown_outcome(reason_code::upstream_timeout)
                            : not_run(reason_code::queue_full);
    });
    const call_result result = run();
    EXPECT_EQ(attempts_.size(), 3U);
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.reason, reason_code::upstream_timeout);
}

// Guards against retries that multiply down a call tree: the retry budgets of all attempts, plus
// one for each attempt, must not exceed the budget of the call plus one.
TEST_F(dispatcher_test, splits_the_tree_budget)
{
    answer_with([](int) { return not_run(reason_code::upstream_refused); });
    EXPECT_EQ(run().outcome, call_outcome::not_run);
    ASSERT_EQ(attempts_.size(), 2U);
    EXPECT_EQ(attempts_[0].retry_budget, 2U);
    EXPECT_EQ(attempts_[1].retry_budget, 0U);
    EXPECT_NE(attempts_[0].request_id, attempts_[1].request_id);
}

// Guards against a retry storm when all members refuse calls.
TEST_F(dispatcher_test, retries_stay_within_the_ratio_when_all_refuse)
{
    answer_with([](int) { return not_run(reason_code::upstream_refused); });
    for (int i = 0; i < 1000; ++i) {
        EXPECT_EQ(run().outcome, call_outcome::not_run);
    }
    EXPECT_LE(attempts_.size(), 1000 + static_cast<std::size_t>(retry_budget::initial_tokens));
    EXPECT_GT(counters_.value(reason_event::refused, reason_code::retry_budget_exhausted), 900U);
}

// Guards against a retry whose response can no longer arrive in time.
TEST_F(dispatcher_test, no_retry_after_the_deadline)
{
    answer_with([this](int) {
        now_ += milliseconds{1001};
        return not_run(reason_code::queue_timeout);
    });
    EXPECT_EQ(run().outcome, call_outcome::not_run);
    EXPECT_EQ(attempts_.size(), 1U);
}

// Guards against sending more traffic to an upstream that fails immediately and so always looks
// idle.
TEST_F(dispatcher_test, fast_failing_member_does_not_attract_traffic)
{
    std::array<int, 4> calls{};
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault(
            [&](const node_reference& target, const service_call&, const call_done& done) {
                ++calls.at(target.instance);
                now_ += milliseconds{target.instance == 1 ? 0.05 : 5.0};
                done(answer(target.instance == 1 ? 500 : 200));
            });
    for (int i = 0; i < 200; ++i) {
        run();
    }
    EXPECT_LT(calls[1], 10);
}

// Guards against hedging calls that must not run twice, against a second response to the caller,
// and against attempts that are not cancelled after a hedge has completed the call.
TEST_F(dispatcher_test, hedges_only_slow_idempotent_calls)
{
    std::vector<call_done> pending;
    std::vector<std::shared_ptr<cancellation>> cancels;
    std::vector<bool> fresh_connections;
    answer_with([this](int) {
        now_ += milliseconds{2};
        return answer(200);
    });
    for (int i = 0; i < 100; ++i) {
        run("lookup");
        run("payment");
    }
    const std::size_t answered = attempts_.size();
    timers_.clear();
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault([&](const node_reference&, const service_call& call, const call_done& done) {
            cancels.push_back(call.cancel);
            fresh_connections.push_back(call.request.fresh_connection);
            pending.push_back(done);
        });
    int responses = 0;
    service_call slow;
    slow.service = "ledger";
    slow.priority = "lookup";
    slow.retry_budget = 1;
    slow.deadline = now_ + milliseconds{1000};
    dispatcher_->dispatch(slow, [&responses](const call_result& result) {
        ++responses;
        EXPECT_EQ(result.response.status, 201);
    });
    slow.priority = "payment";
    slow.idempotency_key = "key";
    dispatcher_->dispatch(slow, [](const call_result&) {});
    ASSERT_EQ(timers_.size(), 1U);
    timers_[0]();
    ASSERT_EQ(pending.size(), 3U);
    // The first connection may be silent, and other pooled ones as well.
    EXPECT_EQ(fresh_connections, (std::vector<bool>{false, false, true}));
    pending[2](answer(201));
    EXPECT_TRUE(cancels[0]->cancelled());
    pending[0](answer(202));
    EXPECT_EQ(responses, 1);
    EXPECT_EQ(answered, 200U);
}

// Guards against a probe rate that grows with the call rate.
TEST_F(dispatcher_test, probe_rate_is_limited_under_load)
{
    answer_with([](int) { return answer(200); });
    int probes = 0;
    ON_CALL(peers_, probe(_, _, _))
        .WillByDefault([&probes](const node_reference&, milliseconds, const auto& done) {
            ++probes;
            done(load_report{});
        });
    for (int i = 0; i < 10'000; ++i) {
        run();
        now_ += milliseconds{1};
    }
    EXPECT_LE(probes, 101);
    EXPECT_GE(probes, 30);
}

// Guards against calls that pile up at a member that has stopped responding, and against a member
// that gets no calls after it responds again.
TEST_F(dispatcher_test, avoids_unresponsive_member_until_a_probe_succeeds)
{
    publish_members(2);
    constexpr std::uint64_t unresponsive = 1;
    bool is_unresponsive = true;
    std::vector<call_done> unanswered;
    std::size_t calls_to_unresponsive = 0;
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault(
            [&](const node_reference& target, const service_call&, const call_done& done) {
                calls_to_unresponsive += target.instance == unresponsive ? 1 : 0;
                if (is_unresponsive && target.instance == unresponsive) {
                    unanswered.push_back(done);
                    return;
                }
                auto result = answer(200);
                result.load.emplace();
                result.load->limit = 10;
                result.load->upstream_registered = true;
                done(std::move(result));
            });
    ON_CALL(peers_, probe(_, _, _))
        .WillByDefault([&](const node_reference& target, milliseconds, const auto& done) {
            if (is_unresponsive && target.instance == unresponsive) {
                done(absl::DeadlineExceededError("silent"));
                return;
            }
            load_report report;
            report.limit = 10;
            report.upstream_registered = true;
            done(std::move(report));
        });
    const auto run_for = [&](milliseconds duration) {
        for (const auto end = now_ + duration; now_ < end; now_ += milliseconds{10}) {
            service_call call;
            call.service = "ledger";
            call.priority = "lookup";
            call.deadline = now_ + milliseconds{1000};
            dispatcher_->dispatch(call, [](const call_result&) {});
        }
    };
    run_for(milliseconds{1'000});
    const std::size_t before = calls_to_unresponsive;
    run_for(milliseconds{3'000});
    EXPECT_EQ(calls_to_unresponsive, before) << "avoided for as long as its probes fail";
    for (const auto& done : unanswered) {
        done(unknown_outcome(reason_code::peer_connection_lost));
    }
    is_unresponsive = false;
    run_for(milliseconds{1'000});
    EXPECT_GT(calls_to_unresponsive, before + 10);
}

// Guards against sending calls to a member that has left the routing table, and against a call that
// is never completed because its service has no members.
TEST_F(dispatcher_test, follows_the_routing_table)
{
    answer_with([](int) { return answer(200); });
    publish_members(1);
    for (int i = 0; i < 20; ++i) {
        run();
    }
    EXPECT_TRUE(std::all_of(attempts_.begin(), attempts_.end(),
                            [](const attempt& sent) { return sent.instance == 1; }));
    publish_members(0);
    EXPECT_EQ(run().reason, reason_code::no_route);
}

// Guards against a key owner that tries an unreachable or the most loaded candidate first.
TEST_F(dispatcher_test, ranks_candidates_by_cost_and_avoided_ones_last)
{
    const std::vector<node_reference> nodes = dispatcher_->choose_distinct("ledger", "payment", 3);
    ASSERT_EQ(nodes.size(), 3U);
    const auto report_from = [this](const node_reference& node, call_result result) {
        EXPECT_CALL(peers_, execute(node, _, _))
            .WillOnce([result = std::move(result)](const node_reference&, const service_call&,
                                                   const call_done& done) { done(result); });
        service_call call;
        call.service = "ledger";
        call.priority = "payment";
        dispatcher_->execute_on(node, call, [](const call_result&) {});
    };
    load_report busy;
    busy.in_flight = 9;
    busy.limit = 10;
    busy.latency = milliseconds{1};
    busy.upstream_registered = true;
    report_from(nodes[0], not_run(reason_code::peer_unreachable));
    call_result loaded = not_run(reason_code::queue_full);
    loaded.load = busy;
    report_from(nodes[1], loaded);
    const auto ranked = dispatcher_->rank("ledger", "payment", nodes);
    EXPECT_EQ(ranked, (std::vector<node_reference>{nodes[2], nodes[1], nodes[0]}));
}

// Guards against a key that has the same node as a candidate twice.
TEST_F(dispatcher_test, chooses_distinct_candidates)
{
    std::set<std::uint64_t> instances;
    for (const node_reference& node : dispatcher_->choose_distinct("ledger", "payment", 5)) {
        instances.insert(node.instance);
    }
    EXPECT_EQ(instances.size(), 3U);
}

// Guards against large bodies that cross the links between data centres under load although the own
// data centre could serve them later, and against a call that fails because the own one cannot.
TEST_F(dispatcher_test, places_large_bodies_in_the_own_data_centre_first)
{
    auto table = std::make_shared<routing_table>();
    for (std::uint64_t i = 1; i <= 6; ++i) {
        member entry;
        entry.node = {i, "127.0.0.1", static_cast<std::uint16_t>(i)};
        entry.service = "ledger";
        // dispatcher_options::data_centre of the fixture is empty.
        entry.data_centre = i <= 2 ? "" : "far";
        table->by_service["ledger"].push_back(entry);
    }
    routes_.store(std::move(table));
    answer_with(
        [](int index) { return index < 2 ? not_run(reason_code::queue_full) : answer(200); });
    service_call call;
    call.service = "ledger";
    call.priority = "lookup";
    call.deadline = now_ + milliseconds{1000};
    call.is_bulk = true;
    std::optional<call_result> result;
    dispatcher_->dispatch(call, [&](call_result reported) { result = std::move(reported); });
    ASSERT_EQ(attempts_.size(), 3U);
    EXPECT_LE(attempts_[0].instance, 2U);
    EXPECT_LE(attempts_[1].instance, 2U);
    EXPECT_GT(attempts_[2].instance, 2U);
    EXPECT_EQ(result->outcome, call_outcome::completed);
}

} // namespace
} // namespace chestnutstand
