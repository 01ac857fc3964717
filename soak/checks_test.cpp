#include "checks.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace chestnutstand::soak {
namespace {

constexpr double run_ms = 30'000;

/// A run without violations; each test adds one.
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
        call_record record;
        record.id = id;
        record.repeatable = repeatable;
        record.time = {1'000, 1'020};
        record.status = status;
        return record;
    }

    void lose_call_to_stopped_node(const interval& time)
    {
        auto lost = call("lost", true, 0);
        lost.node = record_.stops[0].node;
        lost.time = time;
        lost.error = http_error::connection_lost;
        record_.calls.push_back(lost);
    }

    std::vector<guarantee> violated() const
    {
        std::vector<guarantee> result;
        for (const violation& found : check(record_, limits_)) {
            result.push_back(found.violated);
        }
        return result;
    }

    run_record record_;
    guarantee_limits limits_;
};

using guarantees = std::vector<guarantee>;

TEST_F(soak_checks, find_nothing_in_a_run_without_violations)
{
    EXPECT_EQ(violated(), guarantees{});
}

// Guards against a check that misses a second execution.
TEST_F(soak_checks, find_a_request_that_ran_twice)
{
    record_.arrivals.push_back({"paid", 3, true, 1'015});
    EXPECT_EQ(violated(), guarantees{guarantee::at_most_once});
}

// Guards against a check that counts a request refused by an upstream as an execution.
TEST_F(soak_checks, allow_a_new_attempt_after_a_refusal)
{
    record_.arrivals.insert(record_.arrivals.begin(), {"paid", 3, false, 1'005});
    EXPECT_EQ(violated(), guarantees{});
}

// Guards against a check that misses an execution after the refusal.
TEST_F(soak_checks, find_a_refused_request_that_ran_later)
{
    record_.arrivals.push_back({"refused", 3, true, 20'000});
    EXPECT_EQ(violated(), guarantees{guarantee::true_refusal});
}

// Guards against a check that misses bodies of other requests and responses that no upstream sent.
TEST_F(soak_checks, find_responses_of_other_requests)
{
    record_.calls[0].body_matches = false;
    record_.calls.push_back(call("invented", true, 200));
    EXPECT_EQ(violated(), (guarantees{guarantee::own_answer, guarantee::own_answer}));
}

// Guards against a check that misses calls that a planned stop interrupts.
TEST_F(soak_checks, find_a_call_lost_by_a_planned_stop)
{
    lose_call_to_stopped_node({10'500, 10'900});
    EXPECT_EQ(violated(), guarantees{guarantee::graceful_stop});
    record_.stops[0].disturbed = true;
    EXPECT_EQ(violated(), guarantees{});
}

// Guards against a check that misses lost calls if the process exits at once.
TEST_F(soak_checks, find_a_call_lost_by_an_immediate_stop)
{
    lose_call_to_stopped_node({9'990, 10'002});
    record_.stops[0].time.to = 10'005;
    EXPECT_EQ(violated(), guarantees{guarantee::graceful_stop});
}

// Guards against a check that misses a non-zero exit status.
TEST_F(soak_checks, find_a_stop_with_a_non_zero_status)
{
    record_.stops[0].exit_status = -9;
    EXPECT_EQ(violated(), guarantees{guarantee::graceful_stop});
}

// Guards against a check that misses requests to an upstream after the drain limit of its
// node.
TEST_F(soak_checks, find_a_request_after_the_drain)
{
    auto late = call("late", true, 200);
    late.time = {13'490, 13'510};
    record_.calls.push_back(late);
    record_.arrivals.push_back({"late", 2, true, 13'500});
    EXPECT_EQ(violated(), guarantees{guarantee::drain});
}

// Guards against a check that misses a node reverting to an older document, and one that reports a
// restarted node, which begins with an older document.
TEST_F(soak_checks, find_a_document_that_reverts)
{
    record_.versions.push_back({0, 2, 6'000, 1});
    record_.publications.clear();
    EXPECT_EQ(violated(), guarantees{});
    record_.versions.push_back({0, 1, 6'000, 1});
    EXPECT_EQ(violated(), guarantees{guarantee::config_order});
}

// Guards against a check that misses a late document, and one that reports a node with a fault.
TEST_F(soak_checks, find_a_document_that_is_late)
{
    record_.versions[1].version = 1;
    EXPECT_EQ(violated(), guarantees{guarantee::config_in_time});
    record_.disturbances.push_back({0, {1'000, 3'000}, {}});
    EXPECT_EQ(violated(), guarantees{});
    record_.disturbances.clear();
    limits_.timing = false;
    EXPECT_EQ(violated(), guarantees{});
}

// Guards against a check that misses retries beyond the limits.
TEST_F(soak_checks, find_too_many_repeats)
{
    for (int i = 0; i < 90; ++i) {
        record_.arrivals.push_back({"other", 1, false, 1'010});
    }
    EXPECT_EQ(violated(), guarantees{guarantee::repeat_budget});
}

// Guards against a check that misses a call past its time limit.
TEST_F(soak_checks, find_a_response_past_the_time_limit)
{
    record_.calls[0].time.to = record_.calls[0].time.from + 2'300;
    EXPECT_EQ(violated(), guarantees{guarantee::answer_in_time});
    record_.disturbances.push_back({0, {1'000, 2'000}, {}});
    EXPECT_EQ(violated(), guarantees{});
}

// Guards against a run that passes although a route is down at its end.
TEST_F(soak_checks, find_a_service_that_does_not_recover)
{
    record_.recovered = false;
    EXPECT_EQ(violated(), guarantees{guarantee::recovery});
}

} // namespace
} // namespace chestnutstand::soak
