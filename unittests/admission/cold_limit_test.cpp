#include "chestnutstand/admission/cold_limit.h"

#include "chestnutstand/admission/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

namespace chestnutstand {
namespace {

constexpr milliseconds second{1'000};

milliseconds random_ms(int limit)
{
    return milliseconds{*rc::gen::inRange(0, limit) * 1.0};
}

/// A statement on its way to the node, which may overtake another one.
struct statement {
    time_point arrives;
    time_point asked;
    milliseconds left{0};
};

/// Upstream with random cold phases, the requests that reach it, and its statements about itself.
/// Offers and information come in random order; all delays are random.
class random_upstream {
public:
    random_upstream() : per_second{static_cast<double>(*rc::gen::inRange(1, 60))}
    {
        limit.configure(per_second, now);
        phase_end_ = now + random_ms(3'000);
    }

    void step()
    {
        now += random_ms(20);
        if (now >= phase_end_) {
            cold_ = !cold_;
            phase_end_ = now + second + random_ms(4'000);
            arrivals_.emplace_back();
        }
        deliver();
        if (*rc::gen::inRange(0, 100) == 0) {
            // A heartbeat, possibly much delayed.
            state(now, random_ms(2'000));
        }
        // Not every request for a statement gets a response.
        if (limit.needs_statement(now) && *rc::gen::inRange(0, 3) > 0) {
            state(now + random_ms(20), random_ms(100));
        }
        for (int offers = *rc::gen::inRange(0, 12); offers > 0; --offers) {
            if (limit.try_take(now)) {
                pending_.push_back(now + random_ms(30));
            }
        }
    }

    /// Most requests that reached the upstream in one second of a cold phase.
    std::size_t most_in_a_second()
    {
        std::size_t most = 0;
        for (auto& phase : arrivals_) {
            std::sort(phase.begin(), phase.end());
            for (auto first = phase.begin(); first != phase.end(); ++first) {
                const auto last = std::lower_bound(first, phase.end(), *first + second);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    const double per_second;
    cold_limit limit;
    time_point now{milliseconds{1'000'000}};

private:
    /// The upstream makes a statement at this time, which arrives after the delay.
    void state(time_point made, milliseconds delay)
    {
        // Made by the present phase at the latest at its end, else by the next one, which is not
        // known yet. Such a statement is lost.
        if (made < phase_end_) {
            statements_.push_back({made + delay, now, cold_ ? phase_end_ - made : milliseconds{0}});
        }
    }

    void deliver()
    {
        std::erase_if(statements_, [this](const statement& each) {
            if (each.arrives > now) {
                return false;
            }
            if (each.left > milliseconds{0}) {
                limit.observe_cold(each.left, now);
            }
            else {
                limit.observe_warm(each.asked, now);
            }
            return true;
        });
        std::erase_if(pending_, [this](time_point arrives) {
            if (arrives > now) {
                return false;
            }
            if (cold_) {
                arrivals_.back().push_back(arrives);
            }
            return true;
        });
    }

    bool cold_ = false;
    time_point phase_end_;
    std::vector<statement> statements_;
    std::vector<time_point> pending_;
    std::vector<std::vector<time_point>> arrivals_{1};
};

// Guards against more requests than a cold upstream survives, whatever the order and the delays of
// statements, requests and offers are.
RC_GTEST_PROP(cold_limit, keeps_every_second_of_a_cold_phase_under_the_bound, ())
{
    random_upstream upstream;
    for (int i = 0; i < 600; ++i) {
        upstream.step();
    }
    RC_ASSERT(static_cast<double>(upstream.most_in_a_second()) <= upstream.per_second * 1.5 + 8.0);
}

// Guards against health checks that cost more than the calls, and against calls that wait although
// the upstream is not cold.
TEST(cold_limit, asks_a_warm_upstream_rarely_and_delays_nothing)
{
    constexpr milliseconds response_time{3};
    constexpr milliseconds start_interval{18};
    constexpr int starts = 560;
    time_point now{milliseconds{1'000'000}};
    cold_limit limit;
    limit.configure(10.0, now);
    limit.observe_warm(now, now);
    int checks = 0;
    int refused = 0;
    for (int i = 0; i < starts; ++i) {
        now += start_interval;
        refused += limit.try_take(now) ? 0 : 1;
        if (limit.needs_statement(now)) {
            ++checks;
            limit.observe_warm(now, now + response_time);
        }
    }
    EXPECT_EQ(refused, 0);
    // 10 seconds, 20 per second.
    EXPECT_LE(checks, 200);
}

// Guards against health checks of an upstream that gets no calls.
TEST(cold_limit, does_not_ask_an_idle_warm_upstream)
{
    time_point now{milliseconds{1'000'000}};
    cold_limit limit;
    limit.configure(10.0, now);
    limit.observe_warm(now, now);
    EXPECT_FALSE(limit.needs_statement(now + second * 3'600.0));
}

// Guards against a late response that is taken for the newer one.
TEST(cold_limit, statement_requested_before_a_cold_phase_does_not_end_it)
{
    const time_point start{milliseconds{1'000'000}};
    cold_limit limit;
    limit.configure(10.0, start);
    limit.observe_cold(second, start + milliseconds{50});
    EXPECT_FALSE(limit.observe_warm(start + milliseconds{49}, start + milliseconds{60}));
    EXPECT_TRUE(limit.cold());
    EXPECT_TRUE(limit.observe_warm(start + milliseconds{51}, start + milliseconds{60}));
    EXPECT_FALSE(limit.per_second(start + milliseconds{60}));
}

// Guards against a new process that gets the requests that its warm predecessor could take.
TEST(cold_limit, treats_a_new_process_as_cold)
{
    const time_point now{milliseconds{1'000'000}};
    cold_limit limit;
    limit.configure(10.0, now);
    limit.observe_warm(now, now);
    EXPECT_TRUE(limit.allows(now));
    limit.forget();
    EXPECT_FALSE(limit.allows(now));
    EXPECT_TRUE(limit.needs_statement(now));
}

// Guards against a limit where the document has none.
TEST(cold_limit, limits_nothing_without_a_rate)
{
    const time_point now{milliseconds{1'000'000}};
    cold_limit limit;
    limit.observe_cold(second, now);
    EXPECT_TRUE(limit.try_take(now));
    EXPECT_FALSE(limit.needs_statement(now));
    EXPECT_FALSE(limit.per_second(now));
}

TEST(cold_limit, reads_decimal_numbers_only)
{
    EXPECT_EQ(parse_cold_time("1500"), milliseconds{1'500});
    EXPECT_FALSE(parse_cold_time("-1"));
    EXPECT_FALSE(parse_cold_time("soon"));
}

class cold_restart_test : public testing::Test {
protected:
    static constexpr double per_second = 10.0;
    static constexpr milliseconds service_time{100};
    static constexpr milliseconds tick{10};

    static service_config two_ranks()
    {
        service_config service;
        service.name = "ledger";
        service.reserve = 0.0;
        service.priorities = {{"urgent", milliseconds{500}, 3.0, true},
                              {"batch", milliseconds{3'000}, 1.0, true}};
        service.priorities[1].rank = 1;
        return service;
    }

    cold_restart_test() { queue_.cold().configure(per_second, now_); }

    void offer(std::size_t priority)
    {
        const milliseconds time_left = two_ranks().priorities[priority].latency_target * 3.0;
        const auto result = queue_.offer(++last_id_, priority, now_ + time_left, now_);
        refused_on_arrival_[priority] += result.result == offer_state::refused ? 1 : 0;
        if (result.result == offer_state::admitted) {
            record_start(last_id_, priority);
        }
        else if (result.result == offer_state::queued) {
            class_of_[last_id_] = priority;
        }
    }

    void record_start(std::uint64_t id, std::size_t priority)
    {
        ++started_[priority];
        running_.push_back({id, now_});
    }

    void advance()
    {
        now_ += tick;
        while (!running_.empty() && now_ - running_.front().second >= service_time) {
            queue_.finish(running_.front().first, {sample_kind::completed, service_time}, now_);
            running_.pop_front();
        }
        while (const auto decision = queue_.next(now_)) {
            if (decision->starts()) {
                record_start(decision->id, class_of_[decision->id]);
            }
            else {
                ++refused_after_waiting_;
            }
        }
    }

    admission_queue queue_{two_ranks(), 12};
    time_point now_{milliseconds{1'000'000}};
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, std::size_t> class_of_;
    std::deque<std::pair<std::uint64_t, time_point>> running_;
    int started_[2] = {0, 0};
    int refused_on_arrival_[2] = {0, 0};
    int refused_after_waiting_ = 0;
};

// Guards against a restart of a service that spends the little that its cold upstreams take on less
// urgent requests, leaves a part of it unused, or lets requests wait that cannot be served.
TEST_F(cold_restart_test, serves_the_most_urgent_and_refuses_the_rest_at_once)
{
    constexpr int ticks = 2'000;
    for (int i = 0; i < ticks; ++i) {
        // 25 urgent and 25 other requests per second on an upstream that takes 10.
        if (i % 4 == 0) {
            offer(0);
            offer(1);
        }
        advance();
    }
    const double seconds = ticks * tick.count() / 1'000.0;
    EXPECT_GE(started_[0] + started_[1], per_second * seconds * 0.95);
    EXPECT_GE(started_[0], 0.9 * (started_[0] + started_[1]));
    const int refused = refused_on_arrival_[0] + refused_on_arrival_[1];
    EXPECT_GE(refused, 0.9 * (refused + refused_after_waiting_));
}

} // namespace
} // namespace chestnutstand
