#include "chestnutstand/tenancy/quota_stock.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

const time_point start{milliseconds{1'000'000}};
const quota_limit limit{100.0, 100.0};

quota_reply granted(std::uint32_t tokens, milliseconds retry_after = milliseconds{0})
{
    return {tokens, retry_after, true, 0};
}

// Guards against tokens that are used after they have expired, counted from the question.
TEST(quota_stock, tokens_expire)
{
    quota_stock stock{0.0};
    EXPECT_EQ(stock.ask(3, start), 3U);
    stock.on_reply(granted(3), start + milliseconds{100});
    EXPECT_TRUE(stock.take(start + milliseconds{249}));
    EXPECT_FALSE(stock.take(start + milliseconds{250}));
}

// Guards against a second question while one is open.
TEST(quota_stock, asks_one_question_at_a_time)
{
    quota_stock stock{0.0};
    EXPECT_EQ(stock.ask(1, start), 1U);
    EXPECT_FALSE(stock.ask(5, start));
    stock.on_reply(granted(1), start);
    EXPECT_EQ(stock.ask(5, start), 5U);
}

// Guards against requests that wait although there is a steady demand, and against tokens that are
// asked for without demand.
TEST(quota_stock, asks_ahead_of_need)
{
    quota_stock stock{0.0};
    for (int i = 0; i < 10; ++i) {
        stock.record_demand(start + milliseconds{i * 20.0});
    }
    const time_point now = start + milliseconds{200};
    EXPECT_EQ(stock.ask(0, now), 10U);
    stock.on_reply(granted(10), now);
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(stock.take(now));
        EXPECT_FALSE(stock.ask(0, now));
    }
    EXPECT_TRUE(stock.take(now));
    EXPECT_EQ(stock.ask(0, now), 5U);
    EXPECT_FALSE(quota_stock{0.0}.ask(0, now));
}

// Guards against a credit that outlives its token, and against one that is lost.
TEST(quota_stock, takes_a_credit_back_until_it_expires)
{
    quota_stock stock{0.0};
    stock.ask(1, start);
    stock.on_reply(granted(1), start);
    const auto credit = stock.take(start);
    ASSERT_TRUE(credit);
    EXPECT_FALSE(stock.take(start));
    stock.give_back(*credit, start + milliseconds{100});
    EXPECT_TRUE(stock.take(start + milliseconds{100}));
    stock.give_back(*credit, start + milliseconds{300});
    EXPECT_FALSE(stock.take(start + milliseconds{300}));
}

// Guards against a question for each request of an overloaded tenant.
TEST(quota_stock, remembers_a_refusal_for_a_moment)
{
    quota_stock stock{0.0};
    stock.ask(2, start);
    stock.on_reply(granted(0, milliseconds{80}), start);
    EXPECT_EQ(stock.refused_for(start + milliseconds{20}), milliseconds{60});
    EXPECT_FALSE(stock.ask(1, start + milliseconds{20}));
    EXPECT_FALSE(stock.refused_for(start + milliseconds{30}));
    EXPECT_EQ(stock.ask(1, start + milliseconds{30}), 1U);
}

// Guards against fallbacks of all nodes that exceed the tolerance together, and against a node that
// stays in the fallback because no request waits for a question.
TEST(quota_stock, falls_back_to_a_small_share_until_the_owner_replies)
{
    constexpr std::uint32_t members = 4;
    quota_stock stock{0.0};
    stock.ask(1, start);
    stock.on_reply(std::nullopt, start);
    EXPECT_TRUE(stock.in_fallback());
    int admitted = 0;
    for (int ms = 1; ms <= 10'000; ++ms) {
        admitted += stock.take_fallback(limit, members, start + milliseconds{ms * 1.0}) ? 1 : 0;
    }
    EXPECT_GE(admitted, 5);
    EXPECT_LE(admitted, 10);
    const time_point later = start + milliseconds{10'000};
    EXPECT_EQ(stock.ask(0, later), 1U);
    stock.on_reply(granted(1), later);
    EXPECT_FALSE(stock.in_fallback());
    EXPECT_FALSE(stock.take_fallback(limit, members, later));
}

} // namespace
} // namespace chestnutstand
