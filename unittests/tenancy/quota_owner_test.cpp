#include "chestnutstand/tenancy/quota_owner.h"

#include <gtest/gtest.h>

#include <string>

namespace chestnutstand {
namespace {

using action = quota_decision::action;

constexpr const char* tenant = "acme";
const time_point start{milliseconds{1'000'000}};
const quota_limit limit{100.0, 50.0};

quota_view make_view(std::uint64_t self, std::size_t members, time_point now)
{
    quota_view view;
    view.self = self;
    view.updated = now;
    view.changed = start - milliseconds{60'000};
    view.settled = true;
    for (std::uint64_t instance = 1; instance <= members; ++instance) {
        view.live.push_back({{instance, "10.0.0." + std::to_string(instance), 1}, false, false});
    }
    view.seen = static_cast<std::uint32_t>(members);
    view.known = view.seen;
    return view;
}

quota_request request_for(std::uint32_t tokens,
                          quota_request_kind kind = quota_request_kind::acquire,
                          std::uint64_t sender = 99)
{
    return {tenant, tokens, 1, kind, sender, 0};
}

quota_view owners_view(std::size_t members, time_point now)
{
    const quota_view any = make_view(1, members, now);
    return make_view(any.choose(tenant).owner->instance, members, now);
}

// Guards against a single node that grants more than its bucket, and against a Retry-After that
// does not follow from the refill.
TEST(quota_owner, grants_from_one_bucket)
{
    quota_owner owner;
    const quota_view view = make_view(1, 1, start);
    EXPECT_EQ(owner.decide(request_for(40), view, limit, start).reply.granted, 40U);
    const auto partial = owner.decide(request_for(40), view, limit, start).reply;
    EXPECT_EQ(partial.granted, 10U);
    EXPECT_NEAR(partial.retry_after.count(), 300.0, 1.0);
    const auto later = owner.decide(request_for(1), view, limit, start).reply;
    EXPECT_EQ(later.granted, 0U);
    EXPECT_NEAR(later.retry_after.count(), 310.0, 1.0);
}

// Guards against a new owner that starts with a full bucket although its predecessor has granted.
TEST(quota_owner, takes_the_tokens_of_its_predecessor_over)
{
    quota_owner owner;
    const quota_view view = owners_view(3, start);
    const auto decision = owner.decide(request_for(5), view, limit, start);
    ASSERT_EQ(decision.next, action::take_over);
    EXPECT_EQ(decision.peers.size(), 2U);
    owner.on_taken_over(tenant, quota_reply{7, {}, true, 3}, view, limit, start);
    EXPECT_EQ(owner.decide(request_for(50), view, limit, start).reply.granted, 7U);
}

// Guards against a predecessor that keeps granting after the take-over, as it may not know its
// successor yet.
TEST(quota_owner, cedes_its_bucket_once)
{
    quota_owner owner;
    const quota_view view = owners_view(3, start);
    owner.decide(request_for(1), view, limit, start);
    owner.on_taken_over(tenant, quota_reply{30, {}, true, 3}, view, limit, start);
    const auto ceded =
        owner.decide(request_for(1'000, quota_request_kind::take_over), view, limit, start).reply;
    EXPECT_TRUE(ceded.decided);
    EXPECT_EQ(ceded.granted, 30U);
    const auto after = owner.decide(request_for(1), view, limit, start);
    EXPECT_EQ(after.next, action::reply);
    EXPECT_FALSE(after.reply.decided);
}

// Guards against a node that grants what it does not own.
TEST(quota_owner, passes_requests_on_to_the_owner)
{
    quota_owner node;
    const quota_view any = make_view(1, 5, start);
    const auto chosen = any.choose(tenant);
    const std::uint64_t stranger = [&] {
        for (const auto& member : any.live) {
            if (member.node != *chosen.owner && member.node != *chosen.stand_in) {
                return member.node.instance;
            }
        }
        return std::uint64_t{0};
    }();
    const quota_view view = make_view(stranger, 5, start);
    const auto decision = node.decide(request_for(1), view, limit, start);
    ASSERT_EQ(decision.next, action::relay);
    EXPECT_EQ(decision.peers, std::vector{*chosen.owner});
    const auto relayed =
        node.decide(request_for(1, quota_request_kind::relayed), view, limit, start);
    EXPECT_EQ(relayed.next, action::reply);
    EXPECT_FALSE(relayed.reply.decided);
}

// Guards against a side of a partition that grants the rate of the whole cluster, also if this node
// knows less than another one.
TEST(quota_owner, grants_the_share_of_the_members_that_it_sees)
{
    quota_owner owner;
    quota_view view = make_view(1, 1, start);
    view.known = 2;
    EXPECT_EQ(owner.decide(request_for(1'000), view, limit, start).reply.granted, 25U);
    auto informed = request_for(1'000);
    informed.members_known = 4;
    const time_point later = start + milliseconds{1'000};
    view.updated = later;
    EXPECT_EQ(owner.decide(informed, view, limit, later).reply.granted, 12U);
}

// Guards against a lowered limit that the saved tokens of the old one exceed.
TEST(quota_owner, follows_a_lowered_limit_at_once)
{
    quota_owner owner;
    const quota_view view = make_view(1, 1, start);
    owner.decide(request_for(1), view, limit, start);
    EXPECT_EQ(owner.decide(request_for(1'000), view, {10.0, 5.0}, start).reply.granted, 5U);
}

// Guards against a paused process that grants from its old bucket although it has been replaced.
TEST(quota_owner, forgets_its_buckets_after_a_pause)
{
    quota_owner owner;
    quota_view view = make_view(1, 1, start);
    owner.decide(request_for(1), view, limit, start);
    const time_point resumed = start + milliseconds{10'000};
    EXPECT_FALSE(owner.decide(request_for(1), view, limit, resumed).reply.decided);
    view.updated = resumed;
    EXPECT_EQ(owner.decide(request_for(1), view, limit, resumed).reply.granted, 0U);
}

} // namespace
} // namespace chestnutstand
