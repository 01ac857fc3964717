#include "chestnutstand/admission/concurrency_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <random>

namespace chestnutstand {
namespace {

constexpr std::uint32_t slots = 10;
using latency_model = std::function<double(std::uint32_t in_flight)>;

/// Runs rounds in which the limit is fully used and every request has the latency of the model.
void run_rounds(concurrency_limit& limit, time_point& now, int rounds, const latency_model& model)
{
    for (int round = 0; round < rounds; ++round) {
        const auto running = limit.value();
        const milliseconds latency{model(running)};
        const auto started = now;
        now += latency;
        for (std::uint32_t i = 0; i < running; ++i) {
            limit.observe({{sample_kind::completed, latency}, 0, started, running - i}, now);
        }
    }
}

double constant_20ms(std::uint32_t /*in_flight*/)
{
    return 20.0;
}

// Guards against a limit of zero, with which the upstream would never get a request again, and
// against one above the registered slots.
TEST(concurrency_limit, stays_between_one_and_the_slots)
{
    EXPECT_TRUE(rc::check([] {
        const auto registered = *rc::gen::inRange<std::uint32_t>(0, 30);
        const auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        concurrency_limit limit{registered};
        time_point now{};
        for (const int kind : kinds) {
            now += milliseconds{static_cast<double>(*rc::gen::inRange(0, 200))};
            const auto latency = milliseconds{static_cast<double>(*rc::gen::inRange(0, 500))};
            const auto sample = upstream_sample{static_cast<sample_kind>(kind % 4), latency};
            limit.observe({sample, static_cast<std::size_t>(kind % 3), now, limit.value()}, now);
            RC_ASSERT(limit.value() >= 1U);
            RC_ASSERT(limit.value() <= std::max(1U, registered));
        }
    }));
}

// Guards against a limit that does not fall while the upstream sheds load, and against one that
// never recovers or recovers at once.
TEST(concurrency_limit, falls_on_shedding_and_recovers_gradually)
{
    concurrency_limit limit{slots};
    time_point now{};
    for (int i = 0; i < 20; ++i) {
        now += milliseconds{1};
        limit.observe({{sample_kind::shed, milliseconds{1}}, 0, now, limit.value()}, now);
    }
    EXPECT_EQ(limit.value(), 1U);
    auto previous = limit.value();
    for (int round = 0; round < 400; ++round) {
        run_rounds(limit, now, 1, constant_20ms);
        EXPECT_LE(limit.value(), previous + 1);
        previous = limit.value();
    }
    EXPECT_EQ(limit.value(), slots);
}

// Guards against a limit that stays low after the upstream has stopped shedding load, so that the
// queue refuses nearly all requests for many seconds.
TEST(concurrency_limit, is_back_within_seconds_after_shedding_has_ended)
{
    concurrency_limit limit{slots};
    time_point now{};
    run_rounds(limit, now, 10, constant_20ms);
    for (int i = 0; i < 20; ++i) {
        now += milliseconds{1};
        limit.observe({{sample_kind::shed, milliseconds{1}}, 0, now, limit.value()}, now);
    }
    ASSERT_EQ(limit.value(), 1U);
    const auto ended = now;
    while (limit.value() < slots && now - ended < milliseconds{60'000}) {
        run_rounds(limit, now, 1, constant_20ms);
    }
    EXPECT_LE((now - ended).count(), 2'000.0) << "a pause of 1 s, then four rounds for each slot";
}

// Guards against decreasing the limit several times for one burst of shed requests.
TEST(concurrency_limit, falls_once_per_burst)
{
    concurrency_limit limit{slots};
    const time_point started{};
    const time_point now = started + milliseconds{5};
    for (std::uint32_t i = 0; i < slots; ++i) {
        limit.observe({{sample_kind::shed, milliseconds{5}}, 0, started, slots - i}, now);
    }
    EXPECT_EQ(limit.value(), 7U);
}

// Guards against saturating an upstream with fewer cores than slots: its latency grows with the
// concurrency, so a lower limit costs no throughput.
TEST(concurrency_limit, falls_when_latency_follows_concurrency)
{
    concurrency_limit limit{slots};
    time_point now{};
    run_rounds(limit, now, 20, constant_20ms);
    EXPECT_EQ(limit.value(), slots);
    run_rounds(limit, now, 40, [](std::uint32_t n) { return 20.0 * std::max(1.0, n / 2.0); });
    EXPECT_LE(limit.value(), 5U);
    EXPECT_GE(limit.value(), 2U);
}

// Guards against a limit above the slots of a changed registration, and against a registration that
// raises a limit lowered by shedding or latency.
TEST(concurrency_limit, follows_the_registration)
{
    concurrency_limit limit{slots};
    limit.set_slots(12);
    EXPECT_EQ(limit.value(), 12U);
    limit.set_slots(4);
    EXPECT_EQ(limit.value(), 4U);
    limit.observe({{sample_kind::shed, milliseconds{1}}, 0, time_point{}, 4}, time_point{});
    limit.set_slots(12);
    EXPECT_EQ(limit.value(), 2U);
}

// Guards against losing throughput to a lower limit when the upstream is slow at any concurrency.
TEST(concurrency_limit, returns_when_lower_concurrency_does_not_help)
{
    concurrency_limit limit{slots};
    time_point now{};
    run_rounds(limit, now, 20, constant_20ms);
    std::uint32_t lowest = slots;
    for (int round = 0; round < 100; ++round) {
        run_rounds(limit, now, 1, [](std::uint32_t) { return 100.0; });
        lowest = std::min(lowest, limit.value());
    }
    EXPECT_GE(lowest, slots / 2 - 1);
    EXPECT_EQ(limit.value(), slots);
}

// Guards against mistaking a larger fraction of requests of slow classes for congestion.
TEST(concurrency_limit, does_not_confuse_classes_with_congestion)
{
    concurrency_limit limit{slots};
    time_point now{};
    for (int i = 0; i < 2000; ++i) {
        const std::size_t priority = (i < 1000 ? i % 10 == 0 : i % 10 != 0) ? 1 : 0;
        const milliseconds latency{priority == 0 ? 5.0 : 200.0};
        now += milliseconds{20};
        limit.observe({{sample_kind::completed, latency}, priority, now - latency, slots}, now);
        EXPECT_EQ(limit.value(), slots);
    }
}

// Guards against mistaking the random variation of service times for congestion: a limit that is
// lowered without cause loses throughput.
TEST(concurrency_limit, tolerates_random_variation)
{
    concurrency_limit limit{slots};
    std::mt19937_64 random{20261204};
    std::exponential_distribution latency_ms{1.0 / 20.0};
    time_point now{};
    int lowered = 0;
    constexpr int samples = 50'000;
    for (int i = 0; i < samples; ++i) {
        const milliseconds latency{latency_ms(random)};
        now += milliseconds{2};
        limit.observe({{sample_kind::completed, latency}, 0, now - latency, limit.value()}, now);
        lowered += limit.value() < slots ? 1 : 0;
    }
    EXPECT_LT(lowered, samples / 100);
}

} // namespace
} // namespace chestnutstand
