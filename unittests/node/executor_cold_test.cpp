#include "executor_fixture.h"

#include <memory>
#include <string>
#include <utility>

namespace chestnutstand {
namespace {

/// Executor whose upstream has many slots and states in the header Cold for how long it is cold.
class executor_cold_test : public executor_test {
protected:
    static constexpr std::uint32_t slots = 30;
    static constexpr double per_second = 4.0;

    static header_names names()
    {
        header_names names;
        names.upstream_cold = "Cold";
        return names;
    }

    static std::shared_ptr<const document> with_cold_limit()
    {
        auto changed = std::make_shared<document>(*make_document());
        changed->services[0].cold_per_s = per_second;
        changed->services[0].health_path = "/health";
        return changed;
    }

    executor_cold_test()
    {
        document_ = with_cold_limit();
        limited_.set_upstream(upstream(1));
    }

    static local_upstream upstream(std::uint64_t born_ms)
    {
        return {"ledger", "http://127.0.0.1:1", slots, "i-1", born_ms};
    }

    /// Offers a call and returns the reason of its end, or internal while it waits or runs.
    reason_code offer(bool movable = false)
    {
        service_call call;
        call.service = "ledger";
        call.priority = "read";
        call.movable = movable;
        call.request.method = "GET";
        call.deadline = ms_clock::now() + milliseconds{60'000};
        call.request_id = std::to_string(++last_call_);
        const auto reason = std::make_shared<reason_code>(reason_code::internal);
        limited_.execute(own_instance, call,
                         [reason](const call_result& result) { *reason = result.reason; });
        return *reason;
    }

    /// Number of a health check that is waiting for its response; 0 if there is none.
    http_client::request_id waiting_check() const
    {
        for (const auto& [id, done] : upstream_.pending) {
            if (upstream_.requests.at(id).target == "/health") {
                return id;
            }
        }
        return 0;
    }

    std::size_t running_calls() const
    {
        return upstream_.pending.size() - (waiting_check() != 0 ? 1 : 0);
    }

    /// Responds to a health check that the executor sends now.
    void state(const std::string& cold_ms)
    {
        limited_.poll(ms_clock::now());
        ASSERT_NE(waiting_check(), 0U);
        upstream_.respond(waiting_check(), 200, {{"Cold", cold_ms}});
    }

    void offer_many()
    {
        for (int i = 0; i < 20; ++i) {
            offer();
        }
    }

    executor limited_{own_instance, upstream_, stats_, keys_, [this] { return document_; },
                      names()};
};

// Guards against a full load on an upstream that has just started.
TEST_F(executor_cold_test, treats_a_new_upstream_as_cold)
{
    offer_many();
    EXPECT_LE(running_calls(), 2U);
    state("0");
    EXPECT_GE(running_calls(), 5U);
}

// Guards against a warm upstream that turns cold and gets requests in proportion to its slots.
TEST_F(executor_cold_test, sends_a_warm_upstream_few_calls_before_it_asks_again)
{
    state("0");
    offer_many();
    EXPECT_LE(running_calls(), per_second * 1.5 + 8.0);
    // Later than the shortest interval between two checks.
    limited_.poll(ms_clock::now() + milliseconds{60});
    ASSERT_NE(waiting_check(), 0U);
    const auto before = running_calls();
    upstream_.respond(waiting_check(), 200, {{"Cold", "5000"}});
    EXPECT_LE(running_calls(), before + 2);
    EXPECT_EQ(stats_.counter("chestnutstand_cold_phases_total"), 1U);
}

// Guards against calls that wait for a cold upstream although another node could start them.
TEST_F(executor_cold_test, refuses_movable_calls_while_cold)
{
    state("5000");
    offer_many();
    EXPECT_EQ(offer(/*movable=*/true), reason_code::upstream_cold);
    EXPECT_EQ(offer(/*movable=*/false), reason_code::internal);
}

// Guards against a heartbeat of a cold upstream that has no effect.
TEST_F(executor_cold_test, believes_a_cold_heartbeat)
{
    state("0");
    limited_.observe_heartbeat(upstream(1), milliseconds{5'000}, ms_clock::now());
    offer_many();
    EXPECT_LE(running_calls(), 2U);
}

// Guards against a statement of an earlier process that is taken for one of its successor.
TEST_F(executor_cold_test, ignores_the_statement_of_an_earlier_process)
{
    limited_.poll(ms_clock::now());
    const auto check = waiting_check();
    ASSERT_NE(check, 0U);
    limited_.set_upstream(upstream(2));
    upstream_.respond(check, 200, {{"Cold", "0"}});
    offer_many();
    EXPECT_LE(running_calls(), 2U);
}

// Guards against health checks at the highest rate for ever because the health path fails.
TEST_F(executor_cold_test, asks_an_upstream_that_states_nothing_less_often)
{
    const auto start = ms_clock::now();
    const auto before = upstream_.last_id;
    for (int ms = 0; ms < 10'000; ms += 40) {
        limited_.poll(start + milliseconds{ms * 1.0});
        if (waiting_check() != 0) {
            upstream_.respond(waiting_check(), 503);
        }
    }
    EXPECT_LE(upstream_.last_id - before, 16U);
    EXPECT_GE(upstream_.last_id - before, 8U);
}

// Guards against a limit where the document has none.
TEST_F(executor_cold_test, limits_nothing_without_a_rate_in_the_document)
{
    document_ = make_document();
    offer_many();
    EXPECT_EQ(running_calls(), 20U);
}

// Guards against queued and new calls that run in a data centre that the operator has evacuated,
// and against the full load at once when it is not evacuated any more.
TEST_F(executor_cold_test, runs_nothing_while_its_data_centre_is_evacuated)
{
    state("0");
    offer_many();
    const auto running = running_calls();
    limited_.set_evacuated(true);
    EXPECT_EQ(stats_.value(reason_event::refused, reason_code::data_centre_evacuated),
              20U - running);
    EXPECT_EQ(offer(), reason_code::data_centre_evacuated);
    EXPECT_EQ(running_calls(), running);
    limited_.set_evacuated(false);
    offer_many();
    EXPECT_LE(running_calls(), running + 2);
}

// Guards against a limit that stays although nothing can state that it may be lifted.
TEST_F(executor_cold_test, follows_heartbeats_if_there_is_no_health_path)
{
    auto changed = std::make_shared<document>(*with_cold_limit());
    changed->services[0].health_path.clear();
    document_ = std::move(changed);
    limited_.observe_heartbeat(upstream(1), milliseconds{5'000}, ms_clock::now());
    offer_many();
    EXPECT_LE(running_calls(), 2U);
    limited_.observe_heartbeat(upstream(1), milliseconds{0}, ms_clock::now());
    limited_.poll(ms_clock::now());
    EXPECT_EQ(running_calls(), 20U);
}

} // namespace
} // namespace chestnutstand
