#include "gossip_network.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

constexpr milliseconds second{1'000};
const std::vector<std::string> one_data_centre{"howrah"};
const std::vector<std::string> two_data_centres{"howrah", "garia"};

bool all_see(const gossip_network& network, std::uint64_t instance, liveness state)
{
    return network.all_running([&](const swim& observer) {
        const member* known = observer.table().find(instance);
        return observer.self().node.instance == instance ||
               (known != nullptr && known->state == state);
    });
}

// Guards against a killed node that stays in the tables, and against live members that are removed
// along with it.
TEST(swim, killed_member_is_declared_dead_and_nobody_else)
{
    gossip_network network{{}};
    network.add_cluster(12, one_data_centre);
    ASSERT_TRUE(network.is_converged());
    const std::uint64_t victim = network.instance(3);
    network.kill(3);
    network.run_until([&] { return all_see(network, victim, liveness::dead); }, 30 * second);
    EXPECT_TRUE(all_see(network, victim, liveness::dead));
    network.run_for(30 * second);
    EXPECT_TRUE(network.is_converged());
}

// Guards against a paused node that stays dead after it runs again, does not notice that it was
// paused, or takes the others for dead.
TEST(swim, paused_member_refutes_its_death_on_resume)
{
    gossip_network network{{}};
    network.add_cluster(8, one_data_centre);
    network.pause(2);
    network.run_for(20 * second);
    EXPECT_TRUE(all_see(network, network.instance(2), liveness::dead));
    const std::uint64_t deaths = network.deaths_declared();
    network.resume(2);
    network.run_until([&] { return network.is_converged(); }, 30 * second);
    EXPECT_TRUE(network.is_converged());
    EXPECT_TRUE(network.has_resumed(2));
    network.run_for(10 * second);
    EXPECT_TRUE(network.is_converged());
    EXPECT_EQ(network.deaths_declared(), deaths);
}

// Guards against a pause shorter than the suspicion time that ends in a death: the member has to
// refute the suspicion.
TEST(swim, short_pause_ends_in_a_refutation)
{
    gossip_network network{{}};
    network.add_cluster(12, one_data_centre);
    for (int attempt = 0; attempt < 10 && network.suspicions_raised() == 0; ++attempt) {
        network.run_for(second);
        network.pause(2);
        network.run_until([&] { return network.suspicions_raised() > 0; }, 2.7 * second);
        network.resume(2);
    }
    ASSERT_GT(network.suspicions_raised(), 0U);
    network.run_for(10 * second);
    ASSERT_FALSE(network.has_resumed(2));
    EXPECT_TRUE(network.is_converged());
    EXPECT_EQ(network.deaths_declared(), 0U);
    EXPECT_GT(network.node(2).counters().refutations, 0U);
}

// Guards against a node that was held up for a moment and blames its peers for answers that it has
// not read yet.
TEST(swim, short_pauses_raise_no_suspicion_of_others)
{
    gossip_network_options options;
    options.latency = milliseconds{100}; // A probe is in flight during a fifth of the time.
    gossip_network network{options};
    network.add_cluster(8, one_data_centre);
    for (int i = 0; i < 40; ++i) {
        network.pause(2);
        network.run_for(1.2 * second);
        network.resume(2);
        network.run_for(1.1 * second);
    }
    EXPECT_EQ(network.node(2).counters().suspicions_raised, 0U);
}

// Guards against one bad link that removes a member which all others reach.
TEST(swim, one_way_cut_between_two_members_kills_nobody)
{
    gossip_network network{{}};
    network.add_cluster(6, one_data_centre);
    network.set_cut([](std::size_t from, std::size_t to) { return from == 1 && to == 4; });
    network.run_for(120 * second);
    EXPECT_EQ(network.suspicions_raised(), 0U);
    EXPECT_EQ(network.deaths_declared(), 0U);
    EXPECT_TRUE(network.is_converged());
}

// Guards against false deaths where packets are lost at random.
TEST(swim, packet_loss_kills_nobody)
{
    gossip_network_options options;
    options.loss = 0.05;
    gossip_network network{options};
    network.add_cluster(20, one_data_centre);
    network.run_for(120 * second);
    EXPECT_EQ(network.deaths_declared(), 0U);
    EXPECT_LE(network.largest_datagram(), swim_options{}.packet_limit);
}

// Guards against news of members that crosses data centres again and again, as each node passes all
// of it on at random.
TEST(swim, news_spreads_within_the_data_centre)
{
    gossip_network network{{}};
    network.add_cluster(80, {"howrah", "garia", "dum-dum", "salt-lake"});
    ASSERT_TRUE(network.is_converged());
    network.run_for(30 * second);
    EXPECT_TRUE(network.is_converged());
    EXPECT_EQ(network.deaths_declared(), 0U);
    // With three of four members elsewhere, messages without news alone would be three quarters.
    EXPECT_LT(network.remote_datagram_bytes() * 2, network.datagram_bytes());
}

// Guards against documents that cross data centres although a member nearby has them.
TEST(swim, hints_stay_in_the_data_centre_but_for_one)
{
    const time_point start{};
    swim_options options;
    member self;
    self.node = {1, "10.0.0.1", 1};
    self.data_centre = "howrah";
    swim node{self, options, 1, start};
    for (std::uint64_t i = 2; i <= 21; ++i) {
        gossip_message hello;
        hello.kind = gossip_kind::push;
        hello.sender.node = {i, "10.0.0.1", static_cast<std::uint16_t>(i)};
        hello.sender.gossip_port = static_cast<std::uint16_t>(i);
        hello.sender.data_centre = i % 2 == 0 ? "howrah" : "garia";
        node.on_message(encode(hello), start);
    }
    node.take_output();
    node.set_config_next_offset(5);
    const auto hints = node.take_output().datagrams;
    ASSERT_GE(hints.size(), options.push_fan_out);
    ASSERT_LE(hints.size(), options.push_fan_out + 1);
    const auto far = std::count_if(hints.begin(), hints.end(),
                                   [](const datagram& each) { return each.port % 2 == 1; });
    EXPECT_LE(far, 1);
}

// Guards against two clusters that become one when a node of the second gets the address of a dead
// member of the first.
TEST(swim, stays_apart_from_another_cluster_at_the_address_of_a_dead_member)
{
    gossip_network_options options;
    options.protocol.cluster = 1;
    gossip_network network{options};
    network.add_cluster(4, one_data_centre);
    const std::uint64_t dead = network.instance(3);
    network.kill(3);
    network.run_until([&] { return all_see(network, dead, liveness::dead); }, 30 * second);
    network.restart_in_cluster(3, 2);
    network.run_for(60 * second);
    EXPECT_EQ(network.node(3).members().size(), 1U);
    for (std::size_t slot = 0; slot < 3; ++slot) {
        EXPECT_EQ(network.node(slot).table().find(network.instance(3)), nullptr);
        EXPECT_EQ(network.node(slot).table().live().size(), 2U);
    }
}

// Guards against a node that takes itself for connected while it hears nothing.
TEST(swim, tells_when_it_last_heard_of_a_member)
{
    const time_point start{};
    member self;
    self.node = {1, "10.0.0.1", 1};
    swim node{self, {}, 1, start};
    EXPECT_EQ(node.last_heard(), start);
    gossip_message hello;
    hello.sender.node = {2, "10.0.0.2", 1};
    node.on_message(encode(hello), start + second);
    EXPECT_EQ(node.last_heard(), start + second);
}

class partition_test : public testing::Test {
protected:
    partition_test() { network_.add_cluster(16, two_data_centres); }

    /// Slots alternate between the data centres.
    void partition()
    {
        network_.set_cut([](std::size_t from, std::size_t to) { return (from + to) % 2 != 0; });
    }

    bool sees_other_side_dead(const swim& observer) const
    {
        return observer.table().live().size() == network_.size() / 2 - 1;
    }

    bool sees_own_side_whole(const swim& observer) const
    {
        std::size_t others = 0;
        for (const std::uint64_t instance : observer.table().live()) {
            const bool same =
                observer.table().find(instance)->data_centre == observer.self().data_centre;
            others += same ? 1U : 0U;
        }
        return others == network_.size() / 2 - 1;
    }

    gossip_network network_{{}};
};

// Guards against data centres that stay apart after a partition, and against members that are
// declared dead in their own data centre because the other side believed so.
TEST_F(partition_test, both_sides_rejoin_without_new_deaths)
{
    partition();
    network_.run_for(120 * second);
    ASSERT_TRUE(network_.all_running([&](const swim& each) { return sees_other_side_dead(each); }));
    const std::uint64_t deaths = network_.deaths_declared();
    network_.set_cut(nullptr);
    bool own_side_whole = true;
    network_.run_until(
        [&] {
            own_side_whole = own_side_whole && network_.all_running([&](const swim& each) {
                return sees_own_side_whole(each);
            });
            return network_.is_converged();
        },
        300 * second);
    EXPECT_TRUE(own_side_whole);
    EXPECT_TRUE(network_.is_converged());
    network_.run_for(30 * second);
    EXPECT_TRUE(network_.is_converged());
    EXPECT_EQ(network_.deaths_declared(), deaths);
    EXPECT_LE(network_.largest_datagram(), swim_options{}.packet_limit);
}

// Guards against members that joined or were replaced during a partition and stay unknown to the
// other side.
TEST_F(partition_test, replacements_during_a_partition_are_found_afterwards)
{
    partition();
    network_.run_for(60 * second);
    network_.restart(3);
    network_.restart(4);
    network_.run_for(60 * second);
    network_.set_cut(nullptr);
    network_.run_until([&] { return network_.is_converged(); }, 300 * second);
    EXPECT_TRUE(network_.is_converged());
}

// Guards against old instances that keep receiving calls after all processes of a data centre were
// restarted at the same addresses.
TEST_F(partition_test, restart_of_a_data_centre_replaces_all_its_instances)
{
    for (std::size_t slot = 0; slot < network_.size(); slot += 2) {
        network_.restart(slot);
    }
    network_.run_until([&] { return network_.is_converged(); }, 120 * second);
    EXPECT_TRUE(network_.is_converged());
    EXPECT_EQ(network_.deaths_declared(), 0U); // Replaced on sight, not by a suspicion.
}

// Guards against a drain that spreads by one hop per probe period: at 7,400 members that would take
// longer than the 3 s after which an upstream must get no new work. The time is virtual.
TEST(swim, drain_reaches_all_members_within_its_limit)
{
    gossip_network_options options;
    options.loss = 0.02;
    gossip_network network{options};
    network.add_cluster(200, two_data_centres);
    network.node(7).set_draining();
    const std::uint64_t drained = network.instance(7);
    network.run_for(1.5 * second);
    EXPECT_TRUE(network.all_running([&](const swim& observer) {
        return observer.self().node.instance == drained ||
               !observer.is_routable(*observer.table().find(drained));
    }));
}

// Guards against a member that is told to stop and is then reported as failed.
TEST(swim, member_that_leaves_is_known_as_left)
{
    gossip_network network{{}};
    network.add_cluster(8, one_data_centre);
    network.node(5).leave();
    network.run_for(0.1 * second);
    network.kill(5);
    network.run_for(30 * second);
    EXPECT_TRUE(all_see(network, network.instance(5), liveness::left));
    EXPECT_EQ(network.deaths_declared(), 0U);
}

// Guards against tables that stay different after an update was lost everywhere else.
TEST(swim, anti_entropy_repairs_a_missed_update)
{
    gossip_network_options options;
    options.protocol.retransmit_factor = 0.0;
    options.protocol.push_bytes_per_s = 0.0;
    options.protocol.push_burst_bytes = 0.0;
    gossip_network network{options};
    network.add_cluster(10, one_data_centre);
    EXPECT_TRUE(network.is_converged());
    network.run_for(30 * second);
    network.node(1).set_upstream("crate-yard", 4);
    network.run_for(120 * second);
    EXPECT_TRUE(network.all_running([&](const swim& observer) {
        return observer.self().node.instance == network.instance(1) ||
               observer.table().find(network.instance(1))->service == "crate-yard";
    }));
}

} // namespace
} // namespace chestnutstand
