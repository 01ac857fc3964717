#include "chestnutstand/config/deputy_search.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <vector>

namespace chestnutstand {
namespace {

std::vector<deputy_candidate> candidates(std::size_t near, std::size_t far)
{
    std::vector<deputy_candidate> made;
    for (std::size_t i = 1; i <= near + far; ++i) {
        made.push_back({{i, "127.0.0.1", 1}, i <= near});
    }
    return made;
}

// Guards against a node that the store serves and that no reader ever asks.
RC_GTEST_PROP(deputy_search, asks_every_node_before_it_asks_one_twice, ())
{
    const auto near = *rc::gen::inRange<std::size_t>(0, 40);
    const auto far = *rc::gen::inRange<std::size_t>(0, 40);
    deputy_search search{{}, *rc::gen::arbitrary<std::uint64_t>()};
    search.start();
    std::set<std::uint64_t> asked;
    while (asked.size() < near + far) {
        const auto round = search.next_round(candidates(near, far));
        RC_ASSERT(!round.empty());
        RC_ASSERT(round.size() <= deputy_search_options{}.asks_per_round);
        for (const auto& peer : round) {
            RC_ASSERT(asked.insert(peer.instance).second);
            search.on_reply(peer, false);
        }
    }
    RC_ASSERT(search.next_round(candidates(near, far)).empty() == (near + far == 0));
}

// Guards against a load on the store that grows with the fleet while the store serves nobody.
RC_GTEST_PROP(deputy_search, calls_of_a_store_that_is_down_do_not_grow_with_the_fleet, ())
{
    constexpr milliseconds outage{10'000};
    constexpr std::size_t max_questions = 64;
    const auto near = *rc::gen::inRange<std::size_t>(1, 800);
    deputy_search search{{}, *rc::gen::arbitrary<std::uint64_t>()};
    search.start();
    std::size_t questions = 0;
    for (milliseconds at{0}; at < outage; at += search.interval()) {
        questions += search.next_round(candidates(near, 0)).size();
    }
    RC_ASSERT(questions <= max_questions);
}

// Guards against a search that asks the only node that the store serves later than a change has to
// be in force: a data centre of 24 nodes is asked within 2 s.
RC_GTEST_PROP(deputy_search, asks_a_whole_data_centre_in_time, ())
{
    constexpr milliseconds limit{2'000};
    constexpr std::size_t near = 24;
    deputy_search search{{}, *rc::gen::arbitrary<std::uint64_t>()};
    search.start();
    std::set<std::uint64_t> asked;
    for (milliseconds at{0}; at < limit; at += search.interval()) {
        for (const auto& peer : search.next_round(candidates(near, 60))) {
            asked.insert(peer.instance);
        }
    }
    for (std::uint64_t instance = 1; instance <= near; ++instance) {
        RC_ASSERT(asked.contains(instance));
    }
}

// Guards against a search that goes on asking many nodes after it has found one.
TEST(deputy_search, asks_only_its_deputy_until_that_fails)
{
    deputy_search search{{}, 1};
    search.start();
    const auto first = search.next_round(candidates(20, 20)).front();
    search.on_reply(first, true);
    const std::vector<node_reference> deputy{first};
    EXPECT_EQ(search.next_round(candidates(20, 20)), deputy);
    search.stop();
    search.start();
    EXPECT_EQ(search.next_round(candidates(20, 20)), deputy);
    search.on_reply(first, false);
    for (const auto& peer : search.next_round(candidates(20, 20))) {
        EXPECT_NE(peer, first);
    }
}

// Guards against a deputy that is asked after it has left the fleet.
TEST(deputy_search, forgets_a_deputy_that_is_no_member)
{
    deputy_search search{{}, 1};
    search.start();
    search.on_reply({99, "127.0.0.1", 1}, true);
    EXPECT_EQ(search.next_round(candidates(20, 20)).size(), deputy_search_options{}.asks_per_round);
}

// Guards against a data centre that the store turns away as a whole, whose nodes only ask each
// other.
TEST(deputy_search, asks_a_node_of_another_data_centre_in_each_round)
{
    deputy_search search{{}, 1};
    search.start();
    for (int round = 0; round < 5; ++round) {
        std::size_t far = 0;
        for (const auto& peer : search.next_round(candidates(20, 20))) {
            far += peer.instance > 20 ? 1 : 0;
        }
        EXPECT_EQ(far, 1U);
    }
}

} // namespace
} // namespace chestnutstand
