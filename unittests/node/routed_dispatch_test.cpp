#include "dispatcher_fixture.h"

#include "chestnutstand/keys/attempt_ledger.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

using testing::_;

class routed_dispatch : public dispatcher_test {
protected:
    call_result run_routed(repeatability repeat)
    {
        service_call call;
        call.service = "ledger";
        call.priority = "lookup";
        call.deadline = now_ + milliseconds{1000};
        call.retry_budget = 1;
        call.repeat = repeat;
        call.request_id = "attempt-1";
        std::optional<call_result> result;
        dispatcher_->dispatch(call,
                              [&result](call_result reported) { result = std::move(reported); });
        EXPECT_TRUE(result.has_value());
        return result.value_or(unknown_outcome(reason_code::internal));
    }

    /// Makes all members refuse movable calls as a slow upstream does, and complete all others.
    void refuse_movable_calls()
    {
        ON_CALL(peers_, execute(_, _, _))
            .WillByDefault([this](const node_reference& target, const service_call& call,
                                  const call_done& done) {
                attempts_.push_back({target.instance, call.retry_budget, call.request_id});
                call_result refused = not_run(reason_code::upstream_slow);
                refused.load.emplace();
                refused.load->instance = target.instance;
                refused.load->upstream_registered = true;
                done(call.movable ? refused : answer(200));
            });
    }
};

// Guards against refusing a call because all upstreams are temporarily slow.
TEST_F(routed_dispatch, waits_for_a_slow_upstream_when_all_are_slow)
{
    refuse_movable_calls();
    EXPECT_EQ(run_routed(repeatability::at_most_once).outcome, call_outcome::completed);
    EXPECT_EQ(attempts_.size(), 4U);
}

// Guards against refusing a call for lack of retry budget although no upstream has received it.
TEST_F(routed_dispatch, moving_a_refused_call_needs_no_retry_budget)
{
    for (int i = 0; i < 100; ++i) {
        const std::size_t before = attempts_.size();
        answer_with([&, before](int attempt) {
            return attempt == static_cast<int>(before) ? not_run(reason_code::queue_full)
                                                       : answer(200);
        });
        EXPECT_EQ(run_routed(repeatability::at_most_once).outcome, call_outcome::completed);
    }
}

// Guards against changing the request id between attempts, so that the upstream cannot detect a
// repeated request.
TEST_F(routed_dispatch, keeps_the_request_id_of_the_caller)
{
    answer_with([](int attempt) {
        return attempt == 0 ? not_run(reason_code::upstream_refused) : answer(200);
    });
    run_routed(repeatability::repeatable);
    ASSERT_EQ(attempts_.size(), 2U);
    EXPECT_EQ(attempts_[0].request_id, "attempt-1");
    EXPECT_EQ(attempts_[1].request_id, "attempt-1");
}

// Guards against a caller that waits beyond its time limit for an upstream that does not respond.
TEST_F(routed_dispatch, answers_at_the_time_limit)
{
    ON_CALL(peers_, execute(_, _, _)).WillByDefault([](const auto&, const auto&, const auto&) {});
    service_call call;
    call.service = "ledger";
    call.priority = "lookup";
    call.deadline = now_ + milliseconds{1000};
    call.repeat = repeatability::at_most_once;
    std::optional<call_result> result;
    call_done pending;
    ON_CALL(peers_, execute(_, _, _))
        .WillByDefault([&pending](const node_reference&, const service_call&,
                                  const call_done& done) { pending = done; });
    dispatcher_->dispatch(call, [&result](call_result reported) { result = std::move(reported); });
    ASSERT_FALSE(timers_.empty());
    timers_.front()();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, call_outcome::unknown);
    EXPECT_EQ(result->reason, reason_code::time_limit);
    pending(answer(200));
}

class settled_dispatch : public routed_dispatch {
protected:
    /// Loses the response of the first attempt; the executor then reports `settled` as its state.
    call_result run_with_lost_response(const absl::StatusOr<settle_result>& settled)
    {
        ON_CALL(peers_, settle(_, _, _, _))
            .WillByDefault([settled](const node_reference&, const std::string& key, milliseconds,
                                     const peer_client::settle_done& done) {
                const auto query = parse_attempt_key(key);
                ASSERT_TRUE(query);
                EXPECT_EQ(query->request_id, "attempt-1");
                EXPECT_EQ(query->queued, queued_attempt::fence);
                done(settled);
            });
        answer_with([](int attempt) {
            return attempt == 0 ? unknown_outcome(reason_code::peer_connection_lost) : answer(200);
        });
        return run_routed(repeatability::at_most_once);
    }
};

// Guards against failing a call that is known not to have run.
TEST_F(settled_dispatch, retries_a_fenced_call_on_another_member)
{
    const auto result = run_with_lost_response(
        settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}});
    EXPECT_EQ(result.outcome, call_outcome::completed);
    EXPECT_EQ(attempts_.size(), 2U);
}

// Guards against losing a response that the executor still has.
TEST_F(settled_dispatch, delivers_the_response_that_the_executor_kept)
{
    const auto result = run_with_lost_response(
        settle_result{settle_state::completed, {201, {}, "kept"}, reason_code::none, {}});
    EXPECT_EQ(result.outcome, call_outcome::completed);
    EXPECT_EQ(result.response.body, "kept");
    EXPECT_EQ(attempts_.size(), 1U);
}

// Guards against running a call twice that may have run, and against reporting it as not run.
TEST_F(settled_dispatch, call_that_cannot_be_settled_stays_unknown)
{
    for (const auto state :
         {settle_state::running, settle_state::unknown, settle_state::wrong_instance}) {
        attempts_.clear();
        const auto result = run_with_lost_response(settle_result{state, {}, reason_code::none, {}});
        EXPECT_EQ(result.outcome, call_outcome::unknown);
        EXPECT_EQ(attempts_.size(), 1U);
    }
    attempts_.clear();
    EXPECT_EQ(run_with_lost_response(absl::UnavailableError("gone")).outcome,
              call_outcome::unknown);
}

/// The first attempt gets no response: its connection is silent.
class overdue_dispatch : public routed_dispatch {
protected:
    void SetUp() override
    {
        routed_dispatch::SetUp();
        ON_CALL(peers_, execute(_, _, _))
            .WillByDefault([this](const node_reference& target, const service_call& call,
                                  const call_done& done) {
                attempts_.push_back({target.instance, call.retry_budget, call.request_id});
                fresh_.push_back(call.request.fresh_connection);
                if (attempts_.size() > 1) {
                    done(answer(200));
                    return;
                }
                silent_ = done;
                call.cancel->on_cancel(
                    [this] { silent_(unknown_outcome(reason_code::caller_gone)); });
            });
        ON_CALL(peers_, settle(_, _, _, _))
            .WillByDefault([this](const node_reference&, const std::string& key, milliseconds,
                                  const peer_client::settle_done& done) {
                ++queries_;
                const auto query = parse_attempt_key(key);
                ASSERT_TRUE(query);
                EXPECT_EQ(query->queued, queued_attempt::keep);
                done(settled_);
            });
        dispatch(repeatability::at_most_once);
    }

    void dispatch(repeatability repeat)
    {
        service_call call;
        call.service = "ledger";
        call.priority = "lookup";
        call.deadline = now_ + milliseconds{1000};
        call.repeat = repeat;
        call.retry_budget = repeat == repeatability::repeatable ? 1 : 0;
        call.request_id = "attempt-1";
        dispatcher_->dispatch(call,
                              [this](call_result reported) { result_ = std::move(reported); });
    }

    /// Runs the timer that was set last, at its due time.
    void run_last_timer()
    {
        now_ += timer_delays_.back();
        const auto task = timers_.back();
        task();
    }

    settle_result settled_;
    std::optional<call_result> result_;
    call_done silent_;
    std::vector<bool> fresh_;
    int queries_ = 0;
};

// Guards against an at-most-once call that ends as unknown because it waits on a silent connection,
// although no executor has received it.
TEST_F(overdue_dispatch, sends_a_call_that_has_not_arrived_to_another_member)
{
    settled_ = {settle_state::fenced, {}, reason_code::key_fenced, {}};
    EXPECT_EQ(timer_delays_.back(), milliseconds{250});
    run_last_timer();
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->outcome, call_outcome::completed);
    ASSERT_EQ(attempts_.size(), 2U);
    EXPECT_NE(attempts_[0].instance, attempts_[1].instance);
    EXPECT_EQ(fresh_, (std::vector<bool>{false, true}));
}

// Guards against a call that ends as unknown because it arrives after the query that has fenced it,
// while the response to the query is lost.
TEST_F(overdue_dispatch, settles_a_call_that_arrives_after_the_query)
{
    ON_CALL(peers_, settle(_, _, _, _))
        .WillByDefault([](const node_reference&, const std::string& key, milliseconds,
                          const peer_client::settle_done& done) {
            const bool is_overdue = parse_attempt_key(key)->queued == queued_attempt::keep;
            is_overdue ? done(absl::UnavailableError("lost"))
                       : done(settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}});
        });
    run_last_timer();
    EXPECT_FALSE(result_);
    silent_(unknown_outcome(reason_code::key_running));
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->outcome, call_outcome::completed);
    EXPECT_EQ(attempts_.size(), 2U);
}

// Guards against a repeatable call that waits on a silent connection until its time has passed, or
// whose second attempt needs a retry although the first has reached no upstream.
TEST_F(overdue_dispatch, sends_a_repeatable_call_that_has_not_arrived_without_a_retry)
{
    for (int i = 0; i < 30; ++i) {
        attempts_.clear();
        result_.reset();
        settled_ = {settle_state::fenced, {}, reason_code::key_fenced, {}};
        dispatch(repeatability::repeatable);
        run_last_timer();
        ASSERT_TRUE(result_);
        EXPECT_EQ(result_->outcome, call_outcome::completed);
        now_ += milliseconds{50};
    }
}

// Guards against a repeatable call that waits for a response that was lost.
TEST_F(overdue_dispatch, repeats_a_repeatable_call_whose_response_was_lost)
{
    attempts_.clear();
    settled_ = {settle_state::unknown, {}, reason_code::none, {}};
    dispatch(repeatability::repeatable);
    run_last_timer();
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->outcome, call_outcome::completed);
    EXPECT_EQ(attempts_.size(), 2U);
}

// Guards against a response that is ready and not delivered.
TEST_F(overdue_dispatch, delivers_the_response_that_the_connection_lost)
{
    settled_ = {settle_state::completed, {201, {}, "kept"}, reason_code::none, {}};
    run_last_timer();
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->response.body, "kept");
    EXPECT_EQ(attempts_.size(), 1U);
}

// Guards against a call that is ended or run twice because it takes long, and against queries after
// there is no time to use their responses.
TEST_F(overdue_dispatch, waits_for_a_call_that_runs)
{
    settled_ = {settle_state::running, {}, reason_code::key_running, {}};
    run_last_timer();
    run_last_timer();
    run_last_timer();
    EXPECT_EQ(queries_, 2);
    EXPECT_FALSE(result_);
    silent_(answer(201));
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->response.status, 201);
    EXPECT_EQ(attempts_.size(), 1U);
}

} // namespace
} // namespace chestnutstand
