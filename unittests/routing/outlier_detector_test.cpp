#include "chestnutstand/routing/outlier_detector.h"

#include "chestnutstand/routing/slow_start.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace chestnutstand {
namespace {

class outlier_detector_test : public testing::Test {
protected:
    void SetUp() override { detector_.set_members({1, 2, 3, 4}); }

    void record(std::uint64_t instance, bool succeeded, int times)
    {
        for (int i = 0; i < times; ++i) {
            detector_.record(instance, succeeded, now_, random_);
        }
    }

    /// Advances the time until the member gets traffic again and returns how long that took.
    milliseconds ejected_for(std::uint64_t instance)
    {
        const time_point from = now_;
        while (detector_.share(instance, now_) == 0.0) {
            now_ += milliseconds{10};
        }
        return now_ - from;
    }

    time_point now_{milliseconds{1'000'000}};
    random_generator random_{11};
    outlier_detector detector_;
};

// Guards against ejections and readmissions that are not logged, or are logged for each call.
TEST_F(outlier_detector_test, reports_each_change_once)
{
    record(2, true, 10);
    std::vector<ejection_change> changes;
    const auto record_change = [&](bool succeeded) {
        const auto change = detector_.record(1, succeeded, now_, random_);
        if (change != ejection_change::none) {
            changes.push_back(change);
        }
    };
    for (int i = 0; i < 30; ++i) {
        record_change(false);
    }
    ejected_for(1);
    for (int i = 0; i < 30; ++i) {
        record_change(true);
    }
    EXPECT_EQ(changes, (std::vector{ejection_change::ejected, ejection_change::readmitted}));
}

// Guards against an upstream that fails within microseconds but gets traffic until the end of a
// time window.
TEST_F(outlier_detector_test, fast_failures_eject_without_time_passing)
{
    record(1, true, 100);
    record(2, true, 100);
    record(1, false, 8);
    EXPECT_EQ(detector_.share(1, now_), 0.0);
    EXPECT_EQ(detector_.share(2, now_), 1.0);
}

// Guards against ejections that overload the remaining members when all fail for a common reason.
TEST_F(outlier_detector_test, does_not_eject_when_all_fail_alike)
{
    for (int i = 0; i < 100; ++i) {
        for (const std::uint64_t instance : {1, 2, 3, 4}) {
            record(instance, i % 2 == 0, 1);
        }
    }
    EXPECT_EQ(detector_.ejected_count(now_), 0U);
}

// Guards against a failing member that is ejected and readmitted at a constant rate.
TEST_F(outlier_detector_test, ejection_period_grows_while_member_keeps_failing)
{
    record(2, true, 16);
    record(1, false, 5);
    const milliseconds first = ejected_for(1);
    record(1, false, 2);
    const milliseconds second = ejected_for(1);
    record(1, false, 2);
    const milliseconds third = ejected_for(1);
    EXPECT_GE(first.count(), 750.0);
    EXPECT_GT(second, first);
    EXPECT_GT(third, second);
}

// Guards against a readmitted member that gets its full share of traffic immediately.
TEST_F(outlier_detector_test, readmission_is_gradual)
{
    record(2, true, 16);
    record(1, false, 5);
    ejected_for(1);
    const double share_at_start = detector_.share(1, now_);
    now_ += readmission_slow_start.ramp / 2;
    const double share_halfway = detector_.share(1, now_);
    now_ += readmission_slow_start.ramp;
    EXPECT_LT(share_at_start, 0.1);
    EXPECT_GT(share_halfway, share_at_start);
    EXPECT_LT(share_halfway, 0.9);
    EXPECT_EQ(detector_.share(1, now_), 1.0);
}

// Guards against ejecting more than half of the members for any sequence of failures.
TEST(outlier_detector, never_ejects_more_than_half)
{
    EXPECT_TRUE(rc::check([] {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, 9);
        std::vector<std::uint64_t> members(size);
        for (std::size_t i = 0; i < size; ++i) {
            members[i] = i;
        }
        outlier_detector detector;
        detector.set_members(members);
        random_generator random{*rc::gen::arbitrary<std::uint64_t>()};
        time_point now{milliseconds{1'000'000}};
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (const int event : events) {
            const auto instance = static_cast<std::uint64_t>(event) % size;
            detector.record(instance, event % 7 == 0, now, random);
            now += milliseconds{static_cast<double>(event % 50)};
            RC_ASSERT(detector.ejected_count(now) * 2 <= size);
        }
    }));
}

} // namespace
} // namespace chestnutstand
