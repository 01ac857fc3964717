#include "chestnutstand/admission/rate_limit.h"

#include "chestnutstand/admission/admission_queue.h"
#include "chestnutstand/admission/upstream_statement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds step{10};
constexpr milliseconds window{4'000};

class rate_limited_queue : public testing::Test {
protected:
    static constexpr std::uint32_t slots = 9;
    static constexpr std::size_t urgent = 0;
    static constexpr std::size_t batch = 1;

    static service_config two_classes()
    {
        service_config service;
        service.name = "ledger";
        service.priorities = {{"urgent", milliseconds{200}, 3.0, true},
                              {"batch", milliseconds{1'000}, 1.0, true}};
        return service;
    }

    /// Starts all requests that may start; each runs for the service time.
    void start_requests()
    {
        while (const auto decision = queue_.next(now_)) {
            refused_ += decision->starts() ? 0 : 1;
            if (decision->starts()) {
                record_start(decision->id);
            }
        }
    }

    void record_start(std::uint64_t id)
    {
        starts_.push_back(now_);
        running_.push_back({id, now_});
    }

    void offer(std::size_t priority, milliseconds time_left)
    {
        const auto result = queue_.offer(++last_id_, priority, now_ + time_left, now_);
        refused_ += result.result == offer_state::refused ? 1 : 0;
        if (result.result == offer_state::admitted) {
            record_start(last_id_);
        }
        start_requests();
    }

    void advance(milliseconds time)
    {
        now_ += time;
        while (!running_.empty() && now_ - running_.front().second >= service_time) {
            queue_.finish(running_.front().first, {sample_kind::completed, service_time}, now_);
            running_.pop_front();
        }
        start_requests();
    }

    static constexpr milliseconds service_time{60};
    admission_queue queue_{two_classes(), slots};
    time_point now_{milliseconds{1'000'000}};
    std::uint64_t last_id_ = 0;
    std::size_t refused_ = 0;
    std::deque<time_point> starts_;
    std::deque<std::pair<std::uint64_t, time_point>> running_;
};

// Guards against more requests in any span than an upstream takes, also when they come in bursts.
TEST_F(rate_limited_queue, starts_no_more_than_the_limit_in_any_span)
{
    constexpr double per_second = 17.2;
    queue_.set_rate_limit(per_second, now_);
    for (int i = 0; i < 2'000; ++i) {
        for (int burst = i % 100 == 0 ? 20 : 1; burst > 0; --burst) {
            offer(burst % 2 == 0 ? urgent : batch, milliseconds{2'000});
        }
        advance(step);
    }
    std::size_t most = 0;
    for (auto first = starts_.begin(); first != starts_.end(); ++first) {
        const auto last = std::lower_bound(first, starts_.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    EXPECT_LE(most, static_cast<std::size_t>(per_second * 4.0 * 1.25));
    EXPECT_GE(starts_.size(), static_cast<std::size_t>(per_second * 20.0 * 0.95));
}

// Guards against requests that wait for their whole deadline although the limit leaves no room.
TEST_F(rate_limited_queue, refuses_at_once_what_it_cannot_start_in_time)
{
    queue_.set_rate_limit(2.0, now_);
    offer(urgent, milliseconds{800});
    EXPECT_EQ(refused_, 0U);
    offer(urgent, milliseconds{800});
    EXPECT_EQ(refused_, 1U);
    EXPECT_TRUE(queue_.is_delayed_by_rate_limit(urgent, now_));
}

// Guards against nodes that send calls to a member whose upstream takes no more for now.
TEST_F(rate_limited_queue, reports_no_room_while_the_limit_is_used_up)
{
    EXPECT_LT(queue_.report(now_).in_flight, queue_.report(now_).limit);
    queue_.set_rate_limit(20.0, now_);
    EXPECT_GE(queue_.report(now_).in_flight, queue_.report(now_).limit);
    EXPECT_LT(queue_.report(now_).limit, slots);
    advance(milliseconds{100});
    EXPECT_LT(queue_.report(now_).in_flight, queue_.report(now_).limit);
    queue_.set_rate_limit(std::numeric_limits<double>::max(), now_);
    EXPECT_LE(queue_.report(now_).limit, slots);
    queue_.set_rate_limit(std::nullopt, now_);
    EXPECT_EQ(queue_.report(now_).limit, slots);
}

// Guards against a limit that blocks all requests because the upstream names a new one in each
// response.
TEST(rate_limit, keeps_its_tokens_when_the_limit_changes)
{
    time_point now{milliseconds{1'000'000}};
    rate_limit limit;
    limit.set(10.0, now);
    for (int i = 0; i < 40; ++i) {
        now += milliseconds{10};
        limit.set(10.0 + i % 2, now);
    }
    EXPECT_TRUE(limit.try_take(now));
}

// Guards against an upstream that can never lift a limit of 0, because it gets no requests.
TEST(rate_limit, asks_an_upstream_that_takes_nothing_from_time_to_time)
{
    time_point now{milliseconds{1'000'000}};
    rate_limit limit;
    limit.set(0.0, now);
    EXPECT_FALSE(limit.try_take(now));
    now += milliseconds{2'000};
    EXPECT_TRUE(limit.try_take(now));
}

// Guards against a malformed limit that is taken for one.
TEST(rate_limit, reads_decimal_numbers_only)
{
    EXPECT_EQ(parse_rate_limit("17.25"), 17.25);
    EXPECT_EQ(parse_rate_limit("0"), 0.0);
    for (const char* malformed : {"", "-1", "1e3", "nan", "inf", "12 ", " 12", "12,5", "0x10"}) {
        EXPECT_FALSE(parse_rate_limit(malformed)) << malformed;
    }
    EXPECT_FALSE(parse_rate_limit(std::string(400, '9')));
}

} // namespace
} // namespace chestnutstand
