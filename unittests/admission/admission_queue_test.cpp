#include "chestnutstand/admission/admission_queue.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::uint32_t slots = 4;
constexpr upstream_sample uninformative_sample{};

service_config three_classes()
{
    service_config service;
    service.priorities = {{"normal", milliseconds{250}, 3.0, false},
                          {"urgent", milliseconds{50}, 8.0, true},
                          {"batch", milliseconds{2000}, 1.0, true}};
    return service;
}
constexpr std::size_t normal = 0;
constexpr std::size_t urgent = 1;
constexpr std::size_t batch = 2;

class admission_queue_test : public testing::Test {
protected:
    void elapse(double ms) { now_ += milliseconds{ms}; }

    offer_state offer(std::size_t priority, double timeout_ms = 60'000)
    {
        last_offer_ = queue_.offer(++last_id_, priority, now_ + milliseconds{timeout_ms}, now_);
        return last_offer_.result;
    }

    /// Offers a request whose caller came back after it was refused.
    offer_state offer_again(std::size_t priority, double target_left_ms, double timeout_ms = 60'000)
    {
        last_offer_ = queue_.offer(++last_id_, priority, now_ + milliseconds{timeout_ms}, now_,
                                   now_ + milliseconds{target_left_ms});
        return last_offer_.result;
    }

    /// Ends a running request and returns the id of the one that starts in its place.
    std::uint64_t next_after(std::uint64_t finished)
    {
        queue_.finish(finished, uninformative_sample, now_);
        return queue_.next(now_).value().id;
    }

    /// Fills all slots; in a new queue, the requests have the ids 1 to slots.
    void fill_slots(std::size_t priority)
    {
        for (std::uint32_t i = 0; i < slots; ++i) {
            ASSERT_EQ(offer(priority), offer_state::admitted);
        }
    }

    /// Runs requests of a class one at a time, so that the queue measures their service time.
    void measure(std::size_t priority, double service_ms, int count)
    {
        for (int i = 0; i < count; ++i) {
            ASSERT_EQ(offer(priority), offer_state::admitted);
            elapse(service_ms);
            queue_.finish(last_id_, {sample_kind::completed, milliseconds{service_ms}}, now_);
        }
    }

    time_point now_{milliseconds{1000}};
    admission_queue queue_{three_classes(), slots};
    std::uint64_t last_id_ = 0;
    offer_result last_offer_;
};

// Guards against serving classes in order of arrival or of the configuration document instead of by
// latency target.
TEST_F(admission_queue_test, serves_the_lowest_target_first)
{
    fill_slots(urgent);
    offer(batch);
    offer(normal);
    offer(urgent);
    std::vector<std::uint64_t> order;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        queue_.finish(id, uninformative_sample, now_);
        order.push_back(queue_.next(now_).value().id);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{slots + 3, slots + 2, slots + 1}));
}

// Guards against starting a request that would end after its deadline, and against queueing a
// request that is bound to be refused later.
TEST_F(admission_queue_test, refuses_on_arrival_what_cannot_meet_its_deadline)
{
    measure(normal, 40, 20);
    EXPECT_EQ(offer(normal, 30), offer_state::refused);
    EXPECT_EQ(last_offer_.reason, reason_code::deadline_unmeetable);
    fill_slots(normal);
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(offer(normal), offer_state::queued);
    }
    // Two rounds of four requests of 40 ms are ahead.
    EXPECT_EQ(offer(normal, 100), offer_state::refused);
    EXPECT_EQ(last_offer_.reason, reason_code::deadline_unmeetable);
    EXPECT_EQ(offer(normal, 200), offer_state::queued);
}

// Guards against an upstream that gets no requests after a slow phase: if all requests are refused,
// the service time is never measured again.
TEST_F(admission_queue_test, recovers_after_a_slow_phase)
{
    measure(normal, 3000, 20);
    int refused = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
        elapse(100);
        if (offer(normal, 500) == offer_state::refused) {
            ++refused;
            continue;
        }
        elapse(5);
        queue_.finish(last_id_, {sample_kind::completed, milliseconds{5}}, now_);
    }
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, 50);
    EXPECT_EQ(offer(normal, 500), offer_state::admitted);
}

// Guards against queueing without a limit before the first measurement.
TEST_F(admission_queue_test, bounds_the_wait_before_anything_is_measured)
{
    fill_slots(urgent);
    int queued = 0;
    while (queued < 1000 && offer(urgent, 500) == offer_state::queued) {
        ++queued;
    }
    EXPECT_GT(queued, 0);
    EXPECT_LT(queued, 50);
    EXPECT_EQ(last_offer_.reason, reason_code::queue_full);
}

// Guards against a queue that grows without a limit when deadlines are too late to limit it.
TEST_F(admission_queue_test, bounds_each_class)
{
    fill_slots(batch);
    const auto bound = three_classes().queue_limit_per_priority;
    for (std::uint32_t i = 0; i < bound; ++i) {
        // Only requests that came back are queued although they will be late.
        ASSERT_EQ(offer_again(batch, 0, 600'000), offer_state::queued);
    }
    EXPECT_EQ(offer_again(batch, 0, 600'000), offer_state::refused);
    EXPECT_EQ(last_offer_.reason, reason_code::queue_full);
    EXPECT_EQ(offer(urgent), offer_state::queued);
}

// Guards against a late request, whose response is worth little, that takes the slot of one that
// can still be in time.
TEST_F(admission_queue_test, serves_late_requests_of_all_classes_last)
{
    fill_slots(urgent);
    ASSERT_EQ(offer_again(urgent, -1), offer_state::queued);
    const std::uint64_t late = last_id_;
    ASSERT_EQ(offer(batch), offer_state::queued);
    const std::uint64_t in_time = last_id_;
    EXPECT_EQ(next_after(1), in_time);
    EXPECT_EQ(next_after(2), late);
}

// Guards against callers that come back in a burst and are refused, or served late, a second time,
// while new ones are served.
TEST_F(admission_queue_test, serves_callers_that_came_back_before_new_ones)
{
    fill_slots(normal);
    ASSERT_EQ(offer(normal), offer_state::queued);
    const std::uint64_t first_try = last_id_;
    ASSERT_EQ(offer_again(normal, 150), offer_state::queued);
    const std::uint64_t came_back = last_id_;
    EXPECT_EQ(next_after(1), came_back);
    EXPECT_EQ(next_after(2), first_try);
}

// Guards against a burst of requests with long deadlines that fills the queue until all of them are
// served late.
TEST_F(admission_queue_test, refuses_first_tries_that_would_be_late)
{
    measure(normal, 100, 20);
    fill_slots(normal);
    int queued = 0;
    while (queued < 1000 && offer(normal) == offer_state::queued) {
        ++queued;
    }
    // Four slots of 100 ms and a slack of 150 ms: no more than six requests start in time.
    EXPECT_GT(queued, 2);
    EXPECT_LE(queued, 6);
    EXPECT_EQ(last_offer_.reason, reason_code::queue_full);
    EXPECT_EQ(offer_again(normal, 100), offer_state::queued);
}

// Guards against queued requests that wait forever while the upstream hangs.
TEST_F(admission_queue_test, refuses_queued_requests_at_their_deadline)
{
    fill_slots(urgent);
    ASSERT_EQ(offer(urgent, 400), offer_state::queued);
    EXPECT_FALSE(queue_.next(now_));
    elapse(401);
    const auto decision = queue_.next(now_);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->id, last_id_);
    EXPECT_EQ(decision->refusal, reason_code::deadline_unmeetable);
    EXPECT_FALSE(queue_.next(now_));
}

// Guards against a queue that never empties and therefore serves every request late.
TEST_F(admission_queue_test, drops_late_requests_of_a_standing_queue)
{
    fill_slots(urgent);
    ASSERT_EQ(offer(urgent), offer_state::queued);
    const auto late = last_id_;
    elapse(101);
    ASSERT_EQ(offer(urgent), offer_state::queued);
    const auto in_time = last_id_;
    queue_.finish(1, uninformative_sample, now_);
    const auto first = queue_.next(now_).value();
    EXPECT_EQ(first.id, late);
    EXPECT_EQ(first.refusal, reason_code::queue_timeout);
    const auto second = queue_.next(now_).value();
    EXPECT_EQ(second.id, in_time);
    EXPECT_TRUE(second.starts());
}

// Guards against refusing a late request while there is spare capacity, and against a late request
// that delays one that is still in time.
TEST_F(admission_queue_test, serves_late_requests_of_a_burst_after_those_in_time)
{
    fill_slots(urgent);
    ASSERT_EQ(offer(urgent), offer_state::queued);
    const auto late = last_id_;
    elapse(60);
    ASSERT_EQ(offer(urgent), offer_state::queued);
    const auto in_time = last_id_;
    queue_.finish(1, uninformative_sample, now_);
    EXPECT_EQ(queue_.next(now_).value().id, in_time);
    queue_.finish(2, uninformative_sample, now_);
    const auto decision = queue_.next(now_).value();
    EXPECT_EQ(decision.id, late);
    EXPECT_TRUE(decision.starts());
}

// Guards against an urgent request that waits because slow, less urgent ones hold all slots, and
// against slots that are kept idle for urgent traffic that stopped long ago.
TEST_F(admission_queue_test, keeps_headroom_for_recent_urgent_traffic)
{
    measure(urgent, 5, 5);
    measure(batch, 500, 5);
    for (std::uint32_t i = 0; i + 1 < slots; ++i) {
        EXPECT_EQ(offer(batch), offer_state::admitted);
    }
    EXPECT_EQ(offer(batch), offer_state::queued);
    EXPECT_FALSE(queue_.next(now_));
    EXPECT_EQ(offer(urgent), offer_state::admitted);
    for (std::uint64_t id = 1; id <= last_id_; ++id) {
        queue_.finish(id, uninformative_sample, now_);
    }
    ASSERT_TRUE(queue_.next(now_).value().starts());
    elapse(11'000);
    for (std::uint32_t i = 1; i < slots; ++i) {
        EXPECT_EQ(offer(batch), offer_state::admitted);
    }
}

// Guards against keeping a slot idle for urgent requests although slots become free quickly.
TEST_F(admission_queue_test, keeps_no_headroom_when_slots_free_quickly)
{
    measure(urgent, 5, 5);
    measure(batch, 5, 20);
    for (std::uint32_t i = 0; i < slots; ++i) {
        EXPECT_EQ(offer(batch), offer_state::admitted);
    }
}

// Guards against starting a request whose caller has disconnected, and against reporting a running
// request as removed.
TEST_F(admission_queue_test, removes_only_queued_requests)
{
    fill_slots(urgent);
    ASSERT_EQ(offer(urgent), offer_state::queued);
    EXPECT_FALSE(queue_.remove(1));
    EXPECT_TRUE(queue_.remove(last_id_));
    EXPECT_FALSE(queue_.remove(last_id_));
    queue_.finish(1, uninformative_sample, now_);
    EXPECT_FALSE(queue_.next(now_));
}

// Guards against requests that are lost or assigned to another class when the classes change.
TEST_F(admission_queue_test, keeps_requests_when_classes_change)
{
    fill_slots(batch);
    offer(normal);
    const auto of_removed_class = last_id_;
    offer(urgent);
    const auto kept = last_id_;
    auto changed = three_classes();
    changed.priorities = {{"new", milliseconds{10}, 1.0, false}, changed.priorities[urgent]};
    queue_.set_classes(changed);
    EXPECT_EQ(queue_.find_priority("urgent"), 1U);
    EXPECT_EQ(queue_.find_priority("batch"), std::nullopt);
    const auto refused = queue_.next(now_).value();
    EXPECT_EQ(refused.id, of_removed_class);
    EXPECT_EQ(refused.refusal, reason_code::unknown_priority);
    EXPECT_FALSE(queue_.next(now_));
    EXPECT_TRUE(queue_.finish(1, {sample_kind::completed, milliseconds{9}}, now_));
    EXPECT_EQ(queue_.next(now_).value().id, kept);
}

// Guards against accepting requests after the drain began, and against dropping queued ones.
TEST_F(admission_queue_test, drains)
{
    fill_slots(urgent);
    ASSERT_EQ(offer(urgent), offer_state::queued);
    const auto queued = last_id_;
    queue_.drain();
    EXPECT_EQ(offer(urgent), offer_state::refused);
    EXPECT_EQ(last_offer_.reason, reason_code::draining);
    EXPECT_TRUE(queue_.report(now_).draining);
    queue_.finish(1, uninformative_sample, now_);
    EXPECT_EQ(queue_.next(now_).value().id, queued);
    for (const auto id : {std::uint64_t{2}, std::uint64_t{3}, std::uint64_t{4}, queued}) {
        EXPECT_FALSE(queue_.idle());
        EXPECT_TRUE(queue_.finish(id, uninformative_sample, now_));
    }
    EXPECT_TRUE(queue_.idle());
}

// Guards against reporting load for the wrong class; other nodes would route calls by it.
TEST_F(admission_queue_test, reports_load_by_class)
{
    measure(urgent, 8, 3);
    fill_slots(urgent);
    offer(batch);
    offer(batch);
    const auto load = queue_.report(now_);
    EXPECT_EQ(load.in_flight, slots);
    EXPECT_EQ(load.limit, slots);
    EXPECT_DOUBLE_EQ(load.latency.count(), 8.0);
    ASSERT_EQ(load.queues.size(), 3U);
    EXPECT_EQ(load.queues[batch].priority, "batch");
    EXPECT_EQ(load.queues[batch].length, 2U);
    EXPECT_EQ(load.queues[urgent].length, 0U);
}

// Guards against starting requests while other VMs slow this one down: they would take several
// times as long although the VM is soon back to its usual speed.
TEST_F(admission_queue_test, holds_requests_while_the_upstream_is_slow)
{
    measure(normal, 100, 20);
    queue_.set_slowdown(4.0);
    EXPECT_EQ(offer(normal), offer_state::queued);
    EXPECT_FALSE(queue_.next(now_));
    elapse(100);
    queue_.set_slowdown(1.0);
    const auto started = queue_.next(now_);
    ASSERT_TRUE(started);
    EXPECT_TRUE(started->starts());
}

// Guards against a held request that misses its deadline although it could have met it on the slow
// upstream.
TEST_F(admission_queue_test, starts_a_held_request_before_it_would_miss_its_deadline)
{
    measure(normal, 100, 20);
    queue_.set_slowdown(4.0);
    EXPECT_EQ(offer(normal, 700), offer_state::queued);
    std::optional<queue_decision> decision;
    for (int waited = 0; waited < 700 && !decision; waited += 10) {
        decision = queue_.next(now_);
        elapse(10);
    }
    ASSERT_TRUE(decision);
    EXPECT_TRUE(decision->starts());
    EXPECT_GT(decision->waited, milliseconds{100});
}

// Guards against starting a long request on a slow upstream, where it cannot meet its deadline, or
// would meet it late, although it meets its latency target if the slow phase ends soon.
TEST_F(admission_queue_test, waits_while_only_the_end_of_a_slow_phase_helps)
{
    measure(normal, 100, 20);
    for (const int deadline : {350, 450}) {
        queue_.set_slowdown(4.0);
        EXPECT_EQ(offer(normal, deadline), offer_state::queued);
        for (int waited = 0; waited < 80; waited += 10) {
            EXPECT_FALSE(queue_.next(now_)) << "deadline " << deadline;
            elapse(10);
        }
        queue_.set_slowdown(1.0);
        const auto started = queue_.next(now_);
        ASSERT_TRUE(started);
        EXPECT_TRUE(started->starts());
        queue_.finish(started->id, {sample_kind::completed, milliseconds{100}}, now_);
    }
}

// Guards against holding short requests that meet their latency target on a slow upstream.
TEST_F(admission_queue_test, starts_what_meets_its_target_on_a_slow_upstream)
{
    measure(batch, 20, 20);
    queue_.set_slowdown(4.0);
    EXPECT_EQ(offer(batch), offer_state::admitted);
}

} // namespace
} // namespace chestnutstand
