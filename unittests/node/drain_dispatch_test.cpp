#include "dispatcher_fixture.h"

#include "chestnutstand/keys/attempt_ledger.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

using testing::_;

/// A call waits in the queue of another node when this one begins to stop.
class drain_dispatch : public dispatcher_test {
protected:
    static constexpr milliseconds drain_time{4'000};

    void SetUp() override
    {
        dispatcher_test::SetUp();
        ON_CALL(peers_, execute(_, _, _))
            .WillByDefault([this](const node_reference& target, const service_call& call,
                                  const call_done& done) {
                attempts_.push_back({target.instance, call.retry_budget, call.request_id});
                attempt_cancel_ = call.cancel;
                pending_ = done;
            });
        ON_CALL(peers_, settle(_, _, _, _))
            .WillByDefault([this](const node_reference&, const std::string& key, milliseconds,
                                  const peer_client::settle_done& done) {
                const auto query = parse_attempt_key(key);
                ASSERT_TRUE(query);
                EXPECT_EQ(query->request_id, "request-1");
                EXPECT_EQ(query->queued, queued_attempt::fence);
                ++queries_;
                done(settled_);
            });
        dispatch();
    }

    void dispatch()
    {
        service_call call;
        call.service = "ledger";
        call.priority = "payment";
        call.deadline = now_ + drain_time * 5.0;
        call.repeat = repeatability::at_most_once;
        call.request_id = "request-1";
        dispatcher_->dispatch(call,
                              [this](call_result reported) { result_ = std::move(reported); });
    }

    /// Begins the drain and runs the timers that it sets, until the given share of its time.
    void drain(double share)
    {
        const std::size_t first = timers_.size();
        const time_point start = now_;
        dispatcher_->begin_drain(start + drain_time);
        for (std::size_t i = first; i < timers_.size(); ++i) {
            if (timer_delays_[i] <= drain_time * share) {
                now_ = start + timer_delays_[i];
                const auto task = timers_[i];
                task();
            }
        }
    }

    absl::StatusOr<settle_result> settled_ =
        settle_result{settle_state::fenced, {}, reason_code::key_fenced, {}};
    std::optional<call_result> result_;
    call_done pending_;
    std::shared_ptr<cancellation> attempt_cancel_;
    int queries_ = 0;
};

// Guards against a call that waits at another node and ends without an answer when this node ends,
// or that is sent to a further node, which this one cannot wait for either.
TEST_F(drain_dispatch, reports_a_queued_call_as_not_run_before_the_node_ends)
{
    drain(0.4);
    EXPECT_FALSE(result_);
    drain(1.0);
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->outcome, call_outcome::not_run);
    EXPECT_EQ(result_->reason, reason_code::draining);
    EXPECT_EQ(attempts_.size(), 1U);
    EXPECT_TRUE(attempt_cancel_->cancelled());
}

// Guards against a call whose upstream is at work and that is reported as not run, or ended early.
TEST_F(drain_dispatch, waits_for_a_call_that_runs)
{
    settled_ = settle_result{settle_state::running, {}, reason_code::key_running, {}};
    drain(1.0);
    EXPECT_GT(queries_, 0);
    EXPECT_FALSE(result_);
    EXPECT_FALSE(attempt_cancel_->cancelled());
    pending_(answer(201));
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->response.status, 201);
}

// Guards against a call that ends without an answer because its withdrawal was lost once.
TEST_F(drain_dispatch, repeats_a_lost_withdrawal)
{
    ON_CALL(peers_, settle(_, _, _, _))
        .WillByDefault([this](const node_reference&, const std::string&, milliseconds,
                              const peer_client::settle_done& done) {
            ++queries_ == 1 ? done(absl::DeadlineExceededError("lost")) : done(settled_);
        });
    drain(1.0);
    EXPECT_EQ(queries_, 2);
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->outcome, call_outcome::not_run);
}

// Guards against a response that is ready and lost with its connection at the end of the node.
TEST_F(drain_dispatch, delivers_a_response_that_the_withdrawal_finds)
{
    settled_ = settle_result{settle_state::completed, {201, {}, "kept"}, reason_code::none, {}};
    drain(1.0);
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->response.body, "kept");
}

// Guards against a call that another node refuses after the withdrawal and that is then sent on.
TEST_F(drain_dispatch, sends_no_call_again_that_cannot_end_in_time)
{
    settled_ = absl::UnavailableError("lost");
    drain(1.0);
    pending_(not_run(reason_code::queue_full));
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->outcome, call_outcome::not_run);
    EXPECT_EQ(attempts_.size(), 1U);
}

// Guards against a call that is not withdrawn because it was taken while the drain began.
TEST_F(drain_dispatch, withdraws_a_call_that_was_taken_during_the_drain)
{
    drain(0.0);
    result_.reset();
    const std::size_t first = timers_.size();
    const time_point cutoff = now_ + drain_time;
    dispatch();
    for (std::size_t i = first; i < timers_.size(); ++i) {
        if (now_ + timer_delays_[i] < cutoff) {
            const auto task = timers_[i];
            task();
        }
    }
    ASSERT_TRUE(result_);
    EXPECT_EQ(result_->reason, reason_code::draining);
}

} // namespace
} // namespace chestnutstand
