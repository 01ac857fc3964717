#include "chestnutstand/membership/gossip_codec.h"
#include "chestnutstand/membership/keyed_directory.h"
#include "chestnutstand/membership/membership.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace chestnutstand {
namespace {

/// In-memory log service that can be made unavailable.
class memory_log : public log_client {
public:
    void append(const std::string& /*stream*/, std::string payload, append_done done) override
    {
        const std::lock_guard lock{mutex_};
        if (down_) {
            done(absl::UnavailableError("log is down"));
            return;
        }
        records_.push_back(std::move(payload));
        done(records_.size() - 1);
    }

    void read(const std::string& /*stream*/, std::uint64_t from, std::uint32_t limit,
              read_done done) override
    {
        const std::lock_guard lock{mutex_};
        if (down_) {
            done(absl::UnavailableError("log is down"));
            return;
        }
        log_page page;
        page.next = records_.size();
        for (std::uint64_t i = from; i < page.next && page.records.size() < limit; ++i) {
            page.records.push_back({i, milliseconds{0}, records_[i]});
        }
        done(std::move(page));
    }

    void set_down(bool down)
    {
        const std::lock_guard lock{mutex_};
        down_ = down;
    }

private:
    std::mutex mutex_;
    std::vector<std::string> records_;
    bool down_ = false;
};

/// In-memory keyed store that counts the calls to it.
class memory_store final : public keyed_store {
public:
    void put(store_topic /*topic*/, const std::string& key, std::string value,
             write_done done) override
    {
        {
            const std::lock_guard lock{mutex_};
            ++calls_;
            records_[key] = std::move(value);
        }
        done(absl::OkStatus());
    }

    void newest(store_topic /*topic*/, read_done done) override
    {
        keyed_page page;
        {
            const std::lock_guard lock{mutex_};
            ++calls_;
            for (const auto& [key, value] : records_) {
                page.records.push_back({key, value, page.next++});
            }
        }
        done(std::move(page));
    }

    void follow(store_topic /*topic*/, std::uint64_t /*from*/, milliseconds /*wait*/,
                read_done done) override
    {
        done(absl::UnimplementedError(""));
    }

    /// Loses all records, as when the store comes back from an older copy of itself.
    void lose_records()
    {
        const std::lock_guard lock{mutex_};
        records_.clear();
    }

    bool holds(const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        return records_.count(key) != 0U;
    }

    std::size_t calls()
    {
        const std::lock_guard lock{mutex_};
        return calls_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> records_;
    std::size_t calls_ = 0;
};

/// Peer client that delivers push-pull exchanges to membership objects in the same process.
class local_peers : public peer_client {
public:
    struct target {
        control_loop* loop = nullptr;
        membership* node = nullptr;
    };

    void add(std::uint64_t instance, target to)
    {
        const std::lock_guard lock{mutex_};
        targets_[instance] = to;
    }

    void remove(std::uint64_t instance)
    {
        const std::lock_guard lock{mutex_};
        targets_.erase(instance);
    }

    void sync_members(const node_reference& to, std::vector<std::string> members,
                      milliseconds /*timeout*/, members_done done) override
    {
        const std::lock_guard lock{mutex_};
        const auto found = targets_.find(to.instance);
        if (found == targets_.end()) {
            done(absl::UnavailableError("no such node"));
            return;
        }
        found->second.loop->post([node = found->second.node, members = std::move(members), done] {
            node->handle_sync(members, done);
        });
    }

    void execute(const node_reference& /*target*/, const service_call& /*call*/,
                 call_done done) override
    {
        done(not_run(reason_code::peer_unreachable));
    }
    void forward(const node_reference& /*owner*/, const service_call& /*call*/, bool /*query_only*/,
                 call_done done) override
    {
        done(not_run(reason_code::peer_unreachable));
    }
    void settle(const node_reference& /*executor*/, const std::string& /*key*/,
                milliseconds /*timeout*/, settle_done done) override
    {
        done(absl::UnimplementedError(""));
    }
    void probe(const node_reference& /*target*/, milliseconds /*timeout*/, probe_done done) override
    {
        done(absl::UnimplementedError(""));
    }
    void fetch_changes(const node_reference& /*target*/, const fetch_request& /*request*/,
                       milliseconds /*timeout*/, changes_done done) override
    {
        done(absl::UnimplementedError(""));
    }

private:
    std::mutex mutex_;
    std::map<std::uint64_t, target> targets_;
};

/// Node with its own control loop.
struct test_node {
    test_node(std::uint64_t instance, log_client& log, local_peers& peers,
              std::vector<seed_address> seeds = {})
        : node{options(instance, std::move(seeds)), loop, log, peers}, peers_{peers}, instance_{
                                                                                          instance}
    {
        peers.add(instance, {&loop, &node});
    }
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;
    ~test_node()
    {
        peers_.remove(instance_);
        loop.stop();
    }

    static membership_options options(std::uint64_t instance, std::vector<seed_address> seeds)
    {
        member self;
        self.node = {instance, "127.0.0.1", 1};
        self.data_centre = "howrah";
        membership_options result;
        result.self = self;
        result.seeds = std::move(seeds);
        result.random_seed = instance;
        return result;
    }

    void run(const std::function<void()>& task)
    {
        std::promise<void> done;
        loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::size_t routable(const std::string& service) const
    {
        const auto table = node.table().load();
        const auto* members = table->find(service);
        return members == nullptr ? 0 : members->size();
    }

    control_loop loop;
    membership node;

private:
    local_peers& peers_;
    std::uint64_t instance_;
};

template <typename Condition>
bool eventually(Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{60};
    while (std::chrono::steady_clock::now() < limit) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
}

// Guards against nodes that start at the same time and do not find each other through the log, and
// against draining members that stay in the routing table.
TEST(membership, nodes_find_each_other_through_the_log_and_draining_leaves_the_table)
{
    memory_log log;
    local_peers peers;
    test_node a{1, log, peers};
    test_node b{2, log, peers};
    test_node c{3, log, peers};
    for (test_node* started : {&a, &b, &c}) {
        ASSERT_TRUE(started->node.start().ok());
        started->run([&] { started->node.set_local_upstream("ledger-view", 10); });
    }
    for (test_node* started : {&a, &b, &c}) {
        EXPECT_TRUE(eventually([&] { return started->routable("ledger-view") == 3; }));
    }
    b.run([&] { b.node.set_draining(); });
    EXPECT_TRUE(eventually([&] { return a.routable("ledger-view") == 2; }));
    EXPECT_GT(a.node.traffic().packets_received, 0U);
}

// Guards against nodes that cannot join while the log is unavailable although a seed is reachable.
TEST(membership, node_joins_by_seed_while_the_log_is_down)
{
    memory_log log;
    log.set_down(true);
    local_peers peers;
    test_node a{1, log, peers};
    ASSERT_TRUE(a.node.start().ok());
    a.run([&] { a.node.set_local_upstream("ledger-view", 10); });
    test_node b{2, log, peers, {{"127.0.0.1", a.node.gossip_port()}}};
    ASSERT_TRUE(b.node.start().ok());
    EXPECT_TRUE(eventually([&] { return b.routable("ledger-view") == 1; }));
    EXPECT_TRUE(eventually([&] {
        std::size_t known = 0;
        a.run([&] { known = a.node.members().size(); });
        return known == 2;
    }));
}

// Guards against configuration records of which only the node that read them is aware.
TEST(membership, configuration_hints_reach_peers)
{
    memory_log log;
    local_peers peers;
    test_node a{1, log, peers};
    ASSERT_TRUE(a.node.start().ok());
    test_node b{2, log, peers, {{"127.0.0.1", a.node.gossip_port()}}};
    std::promise<std::uint64_t> hinted;
    std::once_flag once;
    b.run([&] {
        b.node.on_config_hint([&](const node_reference& peer, std::uint64_t next) {
            EXPECT_EQ(peer.instance, 1U);
            std::call_once(once, [&] { hinted.set_value(next); });
        });
    });
    ASSERT_TRUE(b.node.start().ok());
    a.run([&] { a.node.set_config_next_offset(17); });
    auto next = hinted.get_future();
    ASSERT_EQ(next.wait_for(std::chrono::seconds{60}), std::future_status::ready);
    EXPECT_EQ(next.get(), 17U);
}

// Guards against nodes that call the store repeatedly while they join.
TEST(membership, joins_through_a_keyed_store_with_two_calls)
{
    memory_store store;
    const std::string recorded_key = "127.0.0.1:9";
    member recorded;
    recorded.node = {77, "127.0.0.1", 9};
    recorded.gossip_port = 9;
    store.put(store_topic::members, recorded_key, encode_join_record(recorded), [](auto) {});
    local_peers peers;
    control_loop loop;
    membership node{test_node::options(1, {}), loop, std::make_shared<keyed_directory>(loop, store),
                    peers};
    ASSERT_TRUE(node.start().ok());
    EXPECT_TRUE(eventually([&] { return store.calls() >= 3; }));
    std::promise<void> loop_idle;
    loop.post([&] { loop_idle.set_value(); });
    loop_idle.get_future().wait();
    EXPECT_EQ(store.calls(), 3U)
        << "expected one put by the test, one append and one read by the node";
    EXPECT_TRUE(store.holds("127.0.0.1:" + std::to_string(node.gossip_port())));
    loop.stop();
}

// Guards against a node that no other one finds, because the store has lost its record.
TEST(membership, writes_a_lost_record_again)
{
    memory_store store;
    local_peers peers;
    control_loop loop;
    membership node{test_node::options(1, {}), loop, std::make_shared<keyed_directory>(loop, store),
                    peers};
    ASSERT_TRUE(node.start().ok());
    const std::string key = "127.0.0.1:" + std::to_string(node.gossip_port());
    EXPECT_TRUE(eventually([&] { return store.holds(key) && store.calls() >= 2; }));
    store.lose_records();
    EXPECT_TRUE(eventually([&] {
        loop.post([&] { node.restore_record(); });
        return store.holds(key);
    }));
    loop.stop();
}

// Guards against calls to members in an evacuated data centre, and against an evacuation of which
// only the node that read it is aware.
TEST(membership, evacuated_members_leave_the_table_and_peers_get_a_hint)
{
    memory_log log;
    local_peers peers;
    test_node a{1, log, peers};
    ASSERT_TRUE(a.node.start().ok());
    a.run([&] { a.node.set_local_upstream("ledger-view", 10); });
    test_node b{2, log, peers, {{"127.0.0.1", a.node.gossip_port()}}};
    std::atomic<std::uint64_t> hinted{0};
    b.run([&] {
        b.node.on_evacuation_hint(
            [&](const node_reference& /*peer*/, std::uint64_t digest) { hinted = digest; });
    });
    ASSERT_TRUE(b.node.start().ok());
    EXPECT_TRUE(eventually([&] { return b.routable("ledger-view") == 1; }));
    a.run([&] { a.node.set_evacuation_digest(17); });
    EXPECT_TRUE(eventually([&] { return hinted == 17U; }));
    b.run([&] { b.node.set_evacuated({"howrah"}); });
    EXPECT_TRUE(eventually([&] { return b.routable("ledger-view") == 0; }));
    b.run([&] { b.node.set_evacuated({}); });
    EXPECT_TRUE(eventually([&] { return b.routable("ledger-view") == 1; }));
}

} // namespace
} // namespace chestnutstand
