#include "executor_fixture.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

// Guards against running more calls than the upstream has slots, and against a queued call that
// does not start when a slot becomes free.
TEST_F(executor_test, queues_calls_beyond_the_slots)
{
    execute();
    execute();
    const int queued = execute();
    EXPECT_EQ(upstream_.pending.size(), 2U);
    EXPECT_EQ(executor_.report().queues.at(0).length, 1U);
    upstream_.respond(1, 200);
    EXPECT_EQ(upstream_.pending.size(), 2U);
    upstream_.respond(3, 200);
    ASSERT_TRUE(results_.contains(queued));
    EXPECT_EQ(results_[queued].outcome, call_outcome::completed);
    ASSERT_TRUE(results_[queued].load);
    EXPECT_EQ(results_[queued].load->in_flight, 1U);
}

// Guards against running a call whose caller has disconnected, and against leaking its slot.
TEST_F(executor_test, removes_a_queued_call_that_is_cancelled)
{
    execute();
    execute();
    service_call call;
    call.cancel = std::make_shared<cancellation>();
    const auto cancel = call.cancel;
    const int queued = execute(call);
    cancel->cancel();
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::not_run);
    EXPECT_EQ(reason_of(queued), reason_code::caller_gone);
    upstream_.respond(1, 200);
    upstream_.respond(2, 200);
    EXPECT_EQ(upstream_.requests.size(), 2U);
    EXPECT_TRUE(executor_.idle());
}

// Guards against continuing a call without a key after its caller has disconnected, and against
// cancelling a keyed call, whose outcome would become unknown.
TEST_F(executor_test, cancels_a_running_call_only_without_a_key)
{
    service_call plain;
    plain.cancel = std::make_shared<cancellation>();
    service_call keyed = plain;
    keyed.idempotency_key = make_key(1);
    const int first = execute(plain);
    const int second = execute(keyed);
    plain.cancel->cancel();
    EXPECT_EQ(results_.at(first).outcome, call_outcome::unknown);
    EXPECT_FALSE(results_.contains(second));
    upstream_.respond(2, 200);
    EXPECT_EQ(results_.at(second).outcome, call_outcome::completed);
}

// Guards against running a queued call after its key was fenced: the node that fenced the key has
// reported not-run to the caller.
TEST_F(executor_test, never_sends_a_queued_call_whose_key_was_fenced)
{
    execute();
    execute();
    service_call keyed;
    keyed.idempotency_key = make_key(1);
    const int queued = execute(keyed);
    const auto settled = keys_.settle(keyed.idempotency_key, ms_clock::now());
    ASSERT_TRUE(settled.ok());
    EXPECT_EQ(settled->state, settle_state::fenced);
    upstream_.respond(1, 200);
    upstream_.respond(2, 200);
    EXPECT_EQ(upstream_.requests.size(), 2U);
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::not_run);
    EXPECT_TRUE(executor_.idle());
}

// Guards against running a key twice when it is sent again while the first call is queued, running
// or completed.
TEST_F(executor_test, runs_a_repeated_key_once)
{
    service_call keyed;
    keyed.idempotency_key = make_key(1);
    const int first = execute(keyed);
    const int second = execute(keyed);
    EXPECT_EQ(upstream_.requests.size(), 1U);
    upstream_.respond(1, 200);
    EXPECT_EQ(results_.at(first).outcome, call_outcome::completed);
    EXPECT_EQ(results_.at(second).outcome, call_outcome::completed);
    const int late = execute(keyed);
    EXPECT_EQ(results_.at(late).outcome, call_outcome::completed);
    EXPECT_EQ(upstream_.requests.size(), 1U);
}

// Guards against sending a call that was cancelled before it arrived at the executor.
TEST_F(executor_test, refuses_a_call_that_was_cancelled_before_it_arrived)
{
    execute();
    execute();
    service_call call;
    call.cancel = std::make_shared<cancellation>();
    call.cancel->cancel();
    const int late = execute(call);
    EXPECT_EQ(reason_of(late), reason_code::caller_gone);
    EXPECT_EQ(upstream_.requests.size(), 2U);
}

// Guards against lowering the limit of an upstream that rejects requests for a reason other than
// its load.
TEST_F(executor_test, keeps_the_slots_of_an_upstream_that_rejects_while_it_has_free_ones)
{
    header_names names;
    names.upstream_load = "Load";
    executor executor_with_header{
        own_instance, upstream_, stats_, keys_, [this] { return document_; }, names};
    executor_with_header.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 8, ""});
    const auto reject = [&](const char* load) {
        service_call call;
        call.service = "ledger";
        call.priority = "read";
        call.deadline = ms_clock::now() + milliseconds{60'000};
        executor_with_header.execute(own_instance, call, [](const auto&) {});
        upstream_.respond(upstream_.last_id, 503, {{"Load", load}});
    };
    for (int i = 0; i < 20; ++i) {
        reject("3,0,8,100");
    }
    EXPECT_EQ(executor_with_header.report().limit, 8U);
    reject("8,2,8,100");
    EXPECT_LT(executor_with_header.report().limit, 8U);
}

// Guards against calls that stay queued for an upstream that does not return.
TEST_F(executor_test, refuses_queued_calls_when_the_upstream_is_removed)
{
    const int running = execute();
    execute();
    const int queued = execute();
    executor_.set_upstream(std::nullopt);
    EXPECT_EQ(reason_of(queued), reason_code::no_upstream);
    EXPECT_FALSE(results_.contains(running));
    EXPECT_EQ(reason_of(execute()), reason_code::no_upstream);
    upstream_.respond(1, 200);
    EXPECT_EQ(results_.at(running).outcome, call_outcome::completed);
}

// Guards against a drain that drops queued calls or accepts new ones.
TEST_F(executor_test, runs_queued_calls_while_draining)
{
    execute();
    execute();
    const int queued = execute();
    executor_.begin_drain();
    EXPECT_EQ(reason_of(execute()), reason_code::draining);
    upstream_.respond(1, 200);
    upstream_.respond(2, 200);
    EXPECT_FALSE(executor_.idle());
    upstream_.respond(3, 200);
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::completed);
    EXPECT_TRUE(executor_.idle());
}

// Guards against refusals without a load report, and against calls that are not refused for another
// instance, an unknown class or a missing document.
TEST_F(executor_test, refuses_with_reason_and_load)
{
    service_call other_class;
    other_class.priority = "none";
    const int unknown = execute(other_class);
    EXPECT_EQ(reason_of(unknown), reason_code::unknown_priority);
    EXPECT_EQ(results_.at(unknown).load.value().limit, 2U);
    EXPECT_EQ(reason_of(execute({}, own_instance + 1)), reason_code::wrong_instance);
    executor unconfigured{own_instance, upstream_, stats_, keys_, [] { return nullptr; }};
    unconfigured.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, ""});
    service_call call;
    call.service = "ledger";
    call.deadline = ms_clock::now() + milliseconds{60'000};
    reason_code refusal = reason_code::none;
    unconfigured.execute(own_instance, call,
                         [&](const call_result& result) { refusal = result.reason; });
    EXPECT_EQ(refusal, reason_code::no_configuration);
}

// Guards against filling all slots of an upstream that sheds load.
TEST_F(executor_test, lowers_the_limit_when_the_upstream_sheds_load)
{
    const int shed = execute();
    upstream_.respond(1, 503, {{std::string{header::not_run}, "true"}});
    EXPECT_EQ(reason_of(shed), reason_code::upstream_refused);
    EXPECT_EQ(results_.at(shed).load.value().limit, 1U);
    execute();
    execute();
    EXPECT_EQ(upstream_.pending.size(), 1U);
}

// Guards against an undetected call cycle between services: an upstream copies the received depth
// into its own calls, so the node must increment it.
TEST_F(executor_test, counts_the_depth_for_the_upstream)
{
    service_call call;
    call.depth = 3;
    execute(call);
    ASSERT_EQ(upstream_.requests.size(), 1U);
    EXPECT_EQ(find_header(upstream_.requests.begin()->second.headers, header::depth), "4");
}

// Guards against an upstream that continues to work on a call after its deadline.
TEST_F(executor_test, passes_the_remaining_time_on)
{
    execute();
    const auto sent = find_header(upstream_.requests.at(1).headers, header::timeout_ms);
    ASSERT_TRUE(sent);
    EXPECT_LE(std::stoi(std::string{*sent}), 60'000);
    EXPECT_LE(upstream_.timeouts.at(1), milliseconds{60'000});
}

class executor_with_load_header : public executor_test {
protected:
    static header_names names()
    {
        header_names names;
        names.upstream_load = "Load";
        return names;
    }

    executor_with_load_header()
    {
        executor_with_load_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, "i-1"});
    }

    reason_code execute_movable(bool movable)
    {
        service_call call;
        call.service = "ledger";
        call.priority = "read";
        call.movable = movable;
        call.repeat = repeatability::repeatable;
        call.deadline = ms_clock::now() + milliseconds{60'000};
        call.request_id = "r";
        reason_code reason = reason_code::internal;
        executor_with_load_.execute(own_instance, call,
                                    [&](const call_result& result) { reason = result.reason; });
        return reason;
    }

    executor executor_with_load_{
        own_instance, upstream_, stats_, keys_, [this] { return document_; }, names()};
};

// Guards against starting a call on a VM that its neighbours slow down, although another node could
// run it.
TEST_F(executor_with_load_header, refuses_movable_calls_while_its_upstream_is_slow)
{
    execute_movable(true);
    upstream_.respond(1, 200, {{"Load", "0,0,2,100"}});
    EXPECT_NE(execute_movable(true), reason_code::upstream_slow);
    upstream_.respond(2, 200, {{"Load", "0,0,2,400"}});
    EXPECT_EQ(execute_movable(true), reason_code::upstream_slow);
    EXPECT_EQ(executor_with_load_.report().pace, 4.0);
    EXPECT_NE(execute_movable(false), reason_code::upstream_slow);
}

// Guards against interpreting a malformed load header as a slow or fast upstream.
TEST_F(executor_with_load_header, ignores_a_malformed_load_header)
{
    for (const char* malformed : {"", "400", "1,2,3", "0,0,2,x", "0,0,2,-4", "0,0,2,400,1"}) {
        execute_movable(true);
        upstream_.respond(upstream_.last_id, 200, {{"Load", malformed}});
    }
    EXPECT_EQ(executor_with_load_.report().pace, 1.0);
}

class executor_with_health_path : public executor_with_load_header {
protected:
    executor_with_health_path()
    {
        auto config = std::make_shared<document>(*document_);
        config->services.front().health_path = "/healthz";
        document_ = std::move(config);
        executor_with_load_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:2", 2, "i-1"});
    }

    bool is_last_request_a_probe() const
    {
        return upstream_.requests.at(upstream_.last_id).target == "/healthz";
    }
};

// Guards against starting a call on a slow VM because its last slowdown report is old.
TEST_F(executor_with_health_path, probes_the_slowdown_before_it_starts_a_call)
{
    execute_movable(true);
    ASSERT_TRUE(is_last_request_a_probe());
    upstream_.respond(1, 200, {{"Load", "0,0,2,100"}});
    EXPECT_EQ(upstream_.last_id, 2U);
    EXPECT_FALSE(is_last_request_a_probe());
    execute_movable(true);
    EXPECT_FALSE(is_last_request_a_probe());
    EXPECT_EQ(upstream_.last_id, 3U);
}

// Guards against calls that wait for an upstream that does not respond on its health path.
TEST_F(executor_with_health_path, does_not_wait_again_after_a_failed_slowdown_probe)
{
    execute_movable(true);
    ASSERT_TRUE(is_last_request_a_probe());
    upstream_.complete(1, {http_error::timed_out, {}, milliseconds{50}});
    EXPECT_EQ(upstream_.last_id, 2U);
    execute_movable(true);
    EXPECT_EQ(upstream_.last_id, 3U);
    EXPECT_FALSE(is_last_request_a_probe());
}

// Guards against a node that was paused and then sends calls to an upstream whose lease has expired
// meanwhile, before a timer withdraws it.
TEST_F(executor_test, starts_no_call_after_the_lease_of_the_upstream)
{
    executor_.renew_lease(ms_clock::now() + milliseconds{60'000});
    execute();
    execute();
    const int queued = execute();
    ASSERT_EQ(upstream_.pending.size(), 2U);
    executor_.renew_lease(ms_clock::now());
    upstream_.respond(1, 200);
    EXPECT_EQ(upstream_.last_id, 2U);
    EXPECT_EQ(reason_of(queued), reason_code::no_upstream);
    EXPECT_EQ(reason_of(execute()), reason_code::no_upstream);
    executor_.renew_lease(ms_clock::now() + milliseconds{60'000});
    execute();
    EXPECT_EQ(upstream_.last_id, 3U);
}

// Guards against a call that starts although its response would come after the node has ended, and
// against one that waits until then although another node may run it.
TEST_F(executor_test, refuses_queued_calls_that_would_end_after_the_node)
{
    const int first = execute();
    execute();
    const int queued = execute();
    executor_.refuse_calls_beyond(ms_clock::now() + milliseconds{30'000});
    executor_.poll(ms_clock::now());
    EXPECT_FALSE(results_.contains(queued));
    executor_.refuse_calls_beyond(ms_clock::now() + milliseconds{30});
    executor_.poll(ms_clock::now());
    ASSERT_TRUE(results_.contains(queued));
    EXPECT_EQ(results_[queued].outcome, call_outcome::not_run);
    EXPECT_EQ(reason_of(queued), reason_code::draining);
    EXPECT_FALSE(results_.contains(first));
    upstream_.respond(1, 200);
    EXPECT_EQ(results_[first].outcome, call_outcome::completed);
    EXPECT_EQ(upstream_.requests.size(), 2U);
}

// Guards against a repeatable call that runs although it was reported as not run, because it
// arrived after the query about it.
TEST_F(executor_test, does_not_run_a_routed_call_that_was_fenced_before_it_arrived)
{
    EXPECT_EQ(executor_.settle_attempt({"1", queued_attempt::keep}).state, settle_state::fenced);
    service_call call;
    call.repeat = repeatability::repeatable;
    EXPECT_EQ(reason_of(execute(call)), reason_code::key_running);
    execute(call);
    EXPECT_EQ(executor_.settle_attempt({"2", queued_attempt::keep}).state, settle_state::running);
    upstream_.respond(1, 200);
    EXPECT_EQ(executor_.settle_attempt({"2", queued_attempt::keep}).state, settle_state::unknown);
}

// Guards against an upstream that does not end abandoned calls and gets further ones in their place
// until it can queue no more.
TEST_F(executor_test, starts_no_calls_while_the_upstream_may_be_full_of_abandoned_ones)
{
    constexpr milliseconds usual_time{1'000};
    constexpr milliseconds within_hold{500};
    service_call routed;
    routed.repeat = repeatability::repeatable;
    bool in_time = false;
    for (int process = 1; process < 100 && !in_time; ++process) {
        // Another upstream process, which holds no abandoned calls.
        executor_.set_upstream(
            local_upstream{"ledger", "http://127.0.0.1:1", 2, std::to_string(process)});
        execute(routed);
        ASSERT_EQ(upstream_.pending.size(), 1U);
        upstream_.complete(
            upstream_.last_id,
            {http_error::none,
             {200, {{std::string{header::request_id}, std::to_string(last_call_)}}, ""},
             usual_time});
        const time_point start = ms_clock::now();
        for (int i = 0; i < 4; ++i) {
            routed.cancel = std::make_shared<cancellation>();
            execute(routed);
            ASSERT_EQ(upstream_.pending.size(), 1U) << i;
            routed.cancel->cancel();
        }
        routed.cancel = nullptr;
        execute(routed);
        const bool sent = !upstream_.pending.empty();
        in_time = ms_clock::now() - start < within_hold;
        EXPECT_FALSE(in_time && sent);
        executor_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, "next"});
        ASSERT_EQ(upstream_.pending.size(), 1U);
        upstream_.respond(upstream_.last_id, 200);
    }
    EXPECT_TRUE(in_time);
}

} // namespace
} // namespace chestnutstand
