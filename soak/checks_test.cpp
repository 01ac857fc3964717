#include "checks.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace chestnutstand::soak {
namespace {

constexpr double run_ms = 30'000;

/// A run in which every promise is kept; each test breaks one.
class soak_checks : public ::testing::Test {
protected:
    soak_checks()
    {
        record_.time = {0, run_ms};
        record_.recovered = true;
        record_.calls = {call("paid", false, 200), call("refused", false, 503)};
        record_.arrivals = {{"paid", 1, true, 1'010}};
        record_.versions = {{0, 1, 900, 1}, {0, 1, 5'000, 2}};
        record_.publications = {{2, 1'900}};
        record_.stops = {{2, {10'000, 12'000}, 0, false, 14'000}};
    }

    static call_record call(const std::string& id, bool repeatable, int status)
    {
        call_record made;
        made.id = id;
        made.repeatable = repeatable;
        made.time = {1'000, 1'020};
        made.status = status;
        return made;
    }

    void lose_call_to_stopped_node(const interval& time)
    {
        auto lost = call("lost", true, 0);
        lost.node = record_.stops[0].node;
        lost.time = time;
        lost.error = http_error::connection_lost;
        record_.calls.push_back(lost);
    }

    std::vector<promise> broken() const
    {
        std::vector<promise> result;
        for (const violation& each : check(record_, limits_)) {
            result.push_back(each.broken);
        }
        return result;
    }

    run_record record_;
    promise_limits limits_;
};

using promises = std::vector<promise>;

TEST_F(soak_checks, find_nothing_in_a_run_that_keeps_all_promises)
{
    EXPECT_EQ(broken(), promises{});
}

// Guards against a check that overlooks a second execution.
TEST_F(soak_checks, find_a_request_that_ran_twice)
{
    record_.arrivals.push_back({"paid", 3, true, 1'015});
    EXPECT_EQ(broken(), promises{promise::at_most_once});
}

// Guards against a check that takes a request which an upstream turned away for an execution.
TEST_F(soak_checks, allow_a_new_attempt_after_a_refusal)
{
    record_.arrivals.insert(record_.arrivals.begin(), {"paid", 3, false, 1'005});
    EXPECT_EQ(broken(), promises{});
}

// Guards against a check that overlooks an execution after the refusal.
TEST_F(soak_checks, find_a_refused_request_that_ran_later)
{
    record_.arrivals.push_back({"refused", 3, true, 20'000});
    EXPECT_EQ(broken(), promises{promise::true_refusal});
}

// Guards against a check that overlooks foreign bodies and answers that no upstream gave.
TEST_F(soak_checks, find_answers_of_other_requests)
{
    record_.calls[0].own_body = false;
    record_.calls.push_back(call("invented", true, 200));
    EXPECT_EQ(broken(), (promises{promise::own_answer, promise::own_answer}));
}

// Guards against a check that overlooks calls which a planned stop cuts off.
TEST_F(soak_checks, find_a_call_lost_by_a_planned_stop)
{
    lose_call_to_stopped_node({10'500, 10'900});
    EXPECT_EQ(broken(), promises{promise::graceful_stop});
    record_.stops[0].disturbed = true;
    EXPECT_EQ(broken(), promises{});
}

// Guards against a check that overlooks a process which ends at once.
TEST_F(soak_checks, find_a_call_lost_by_a_stop_that_takes_no_time)
{
    lose_call_to_stopped_node({9'990, 10'002});
    record_.stops[0].time.to = 10'005;
    EXPECT_EQ(broken(), promises{promise::graceful_stop});
}

// Guards against a check that overlooks a stop which ends in an error.
TEST_F(soak_checks, find_a_stop_with_a_wrong_status)
{
    record_.stops[0].exit_status = -9;
    EXPECT_EQ(broken(), promises{promise::graceful_stop});
}

// Guards against a check that overlooks work for an upstream whose node has long been stopping.
TEST_F(soak_checks, find_work_after_the_drain)
{
    auto late = call("late", true, 200);
    late.time = {13'490, 13'510};
    record_.calls.push_back(late);
    record_.arrivals.push_back({"late", 2, true, 13'500});
    EXPECT_EQ(broken(), promises{promise::drain});
}

// Guards against a check that overlooks a node which returns to an older document, and one that
// takes a new start for a return.
TEST_F(soak_checks, find_a_document_that_reverts)
{
    record_.versions.push_back({0, 2, 6'000, 1});
    record_.publications.clear();
    EXPECT_EQ(broken(), promises{});
    record_.versions.push_back({0, 1, 6'000, 1});
    EXPECT_EQ(broken(), promises{promise::config_order});
}

// Guards against a check that overlooks a late document, and one that blames a node which was
// disturbed.
TEST_F(soak_checks, find_a_document_that_is_late)
{
    record_.versions[1].version = 1;
    EXPECT_EQ(broken(), promises{promise::config_in_time});
    record_.disturbances.push_back({0, {1'000, 3'000}, {}});
    EXPECT_EQ(broken(), promises{});
    record_.disturbances.clear();
    limits_.timing = false;
    EXPECT_EQ(broken(), promises{});
}

// Guards against a check that overlooks repeats beyond the limits.
TEST_F(soak_checks, find_too_many_repeats)
{
    for (int i = 0; i < 90; ++i) {
        record_.arrivals.push_back({"other", 1, false, 1'010});
    }
    EXPECT_EQ(broken(), promises{promise::repeat_budget});
}

// Guards against a check that overlooks a caller who waits too long.
TEST_F(soak_checks, find_an_answer_past_the_time_limit)
{
    record_.calls[0].time.to = record_.calls[0].time.from + 2'300;
    EXPECT_EQ(broken(), promises{promise::answer_in_time});
    record_.disturbances.push_back({0, {1'000, 2'000}, {}});
    EXPECT_EQ(broken(), promises{});
}

// Guards against a run that ends while the service is down.
TEST_F(soak_checks, find_a_service_that_does_not_come_back)
{
    record_.recovered = false;
    EXPECT_EQ(broken(), promises{promise::recovery});
}

} // namespace
} // namespace chestnutstand::soak
