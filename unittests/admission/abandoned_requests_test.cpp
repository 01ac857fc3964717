#include "chestnutstand/admission/abandoned_requests.h"
#include "chestnutstand/admission/admission_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace chestnutstand {
namespace {

time_point at(double ms)
{
    return time_point{} + milliseconds{1'000'000 + ms};
}

// Guards against slots that stay in use after the upstream has ended an abandoned request.
TEST(abandoned_requests_test, count_until_their_time_has_passed_or_the_upstream_reports_the_end)
{
    abandoned_requests abandoned;
    abandoned.add(at(0), milliseconds{200});
    abandoned.add(at(0), milliseconds{50});
    abandoned.add(at(0), milliseconds{60'000});
    EXPECT_EQ(abandoned.count(at(50)), 3U);
    EXPECT_EQ(abandoned.count(at(150)), 2U);
    EXPECT_EQ(abandoned.count(at(450)), 1U);
    EXPECT_EQ(abandoned.count(at(1'100)), 0U);
    abandoned.add(at(2'000), milliseconds{500});
    abandoned.add(at(2'000), milliseconds{500});
    abandoned.observe(9, 3, at(2'010));
    EXPECT_EQ(abandoned.count(at(2'010)), 2U);
    abandoned.observe(4, 3, at(2'020));
    EXPECT_EQ(abandoned.count(at(2'020)), 1U);
    abandoned.observe(2, 3, at(2'030));
    EXPECT_EQ(abandoned.count(at(2'030)), 0U);
}

/// Largest number of requests in an upstream that answers none of them and ends each one the given
/// time after its connection was closed. All requests time out.
std::size_t most_held(bool counts_abandoned, milliseconds ends_after)
{
    constexpr std::uint32_t slots = 12;
    constexpr milliseconds timeout{150};
    service_config service;
    service.queue_limit_per_priority = 1'000;
    service.priorities = {{"rank-0/500", milliseconds{500}, 1.0, true}};
    admission_queue queue{service, slots};
    abandoned_requests abandoned;
    std::map<std::uint64_t, time_point> running;
    std::vector<time_point> ends;
    std::uint64_t next_id = 0;
    std::size_t most = 0;
    for (int ms = 0; ms < 20'000; ms += 10) {
        const time_point now = at(ms);
        std::erase_if(ends, [now](time_point end) { return end <= now; });
        std::erase_if(running, [&](const auto& request) {
            if (request.second + timeout > now) {
                return false;
            }
            queue.finish(request.first, {}, now);
            abandoned.add(now, timeout);
            ends.push_back(now + ends_after);
            return true;
        });
        queue.set_abandoned(counts_abandoned ? abandoned.count(now) : 0);
        for (int i = 0; i < 3; ++i) {
            const auto id = ++next_id;
            if (queue.offer(id, 0, now + milliseconds{1'500}, now).result ==
                offer_state::admitted) {
                running[id] = now;
            }
        }
        while (const auto decision = queue.next(now)) {
            if (decision->starts()) {
                running[decision->id] = now;
            }
        }
        most = std::max(most, running.size() + ends.size());
    }
    return most;
}

// Guards against an upstream that is full of abandoned requests and gets more and more of them in
// place of those that have timed out.
TEST(abandoned_requests_test, timeouts_at_a_full_upstream_add_no_more_than_it_queues)
{
    constexpr std::size_t upstream_holds = 36;
    for (const double ends_after : {0.0, 100.0, 250.0, 300.0}) {
        EXPECT_LE(most_held(true, milliseconds{ends_after}), upstream_holds) << ends_after;
        EXPECT_GT(most_held(true, milliseconds{ends_after}), 0U);
    }
    EXPECT_GT(most_held(false, milliseconds{500}), upstream_holds);
    EXPECT_LE(most_held(true, milliseconds{300}), 2U * 12U);
}

// Guards against an upstream that gets no requests for good after many were abandoned, and against
// an effect while only a few are.
TEST(abandoned_requests_test, few_abandoned_requests_take_no_slots)
{
    service_config service;
    service.priorities = {{"rank-0/500", milliseconds{500}, 1.0, true}};
    admission_queue queue{service, 4};
    queue.set_abandoned(4);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_EQ(queue.offer(id, 0, at(5'000), at(0)).result, offer_state::admitted);
    }
    queue.finish(1, {}, at(1));
    queue.set_abandoned(5);
    EXPECT_EQ(queue.offer(5, 0, at(5'000), at(1)).result, offer_state::queued);
    EXPECT_FALSE(queue.next(at(1)));
    queue.set_abandoned(0);
    EXPECT_TRUE(queue.next(at(2)));
}

} // namespace
} // namespace chestnutstand
