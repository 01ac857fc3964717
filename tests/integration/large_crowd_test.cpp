#include "../support/memory_fixture.h"

#include <atomic>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

/// Many clients against nodes with little memory. The bounds are the limits in the nodes' settings.
class large_crowd : public crowd_path {
protected:
    static constexpr int clients = 300;
    static constexpr int senders_at_once = 4;
    static constexpr int ordinary_requests = 5;

    large_crowd() : crowd_path{{64, 4, 1'000}} {}
};

// Guards against what a node keeps for each connection beside the body that it counts.
TEST_F(large_crowd, entry_survives_large_bodies)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port, body_with_length("/body"), clients);
    expect_unharmed();
}

// Guards against bodies that are all passed on, so that both nodes hold them.
TEST_F(large_crowd, entry_survives_complete_large_bodies)
{
    crowd sent;
    for (int i = 0; i < clients; ++i) {
        ASSERT_TRUE(sent.add(entry_->caller_port, body_with_length("/body")));
    }
    sent.send_all();
    expect_unharmed();
}

// Guards against bodies without an announced length.
TEST_F(large_crowd, entry_survives_large_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port, body_in_large_chunks("/body"), clients);
    expect_unharmed();
}

// Guards against chunks of a byte, whose framing is six times as large as their data.
TEST_F(large_crowd, entry_survives_very_small_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port, body_in_small_chunks("/body"), clients);
    expect_unharmed();
}

// Guards against bodies over the limit whose length is announced.
TEST_F(large_crowd, entry_survives_announced_oversized_bodies)
{
    const std::size_t oversized = 10 * limits_.max_body_mb * mib;
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port,
                           {head("POST", "/body", oversized), filler(), oversized - 1, "x"},
                           clients);
    expect_unharmed();
}

// Guards against bodies over the limit that are just sent.
TEST_F(large_crowd, entry_survives_unannounced_oversized_bodies)
{
    const std::string chunk = large_chunk();
    crowd sent;
    send_mostly_incomplete(
        sent, entry_->caller_port,
        {chunked_head("/body"), chunk, chunk.size() * 160 * limits_.max_body_mb, "0\r\n\r\n"},
        clients);
    expect_unharmed();
}

// Guards against messages between nodes that are large.
TEST_F(large_crowd, hop_survives_large_bodies)
{
    crowd sent;
    send_mostly_incomplete(sent, executor_->node_port, body_with_length("/execute"), clients);
    expect_unharmed();
}

// Guards against messages between nodes without an announced length.
TEST_F(large_crowd, hop_survives_large_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, executor_->node_port, body_in_large_chunks("/execute"), clients);
    expect_unharmed();
}

// Guards against messages between nodes in chunks of a byte.
TEST_F(large_crowd, hop_survives_very_small_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, executor_->node_port, body_in_small_chunks("/execute"), clients);
    expect_unharmed();
}

// Guards against clients that keep the thread of all callers, as they send faster than it reads.
TEST_F(large_crowd, entry_answers_an_ordinary_caller_beside_very_small_chunks)
{
    std::atomic<bool> stop = false;
    std::vector<std::thread> senders;
    senders.reserve(senders_at_once);
    for (int i = 0; i < senders_at_once; ++i) {
        senders.emplace_back([&] {
            while (!stop) {
                crowd sent;
                for (int each = 0; each < clients / senders_at_once; ++each) {
                    sent.add(entry_->caller_port, body_in_small_chunks("/body"));
                }
                sent.send_while([&] { return !stop; });
            }
        });
    }
    ASSERT_TRUE(eventually([&] { return open_descriptors(*entry_->node) > clients; }));
    for (int i = 0; i < ordinary_requests; ++i) {
        EXPECT_TRUE(eventually([&] { return is_served(); }));
    }
    stop = true;
    for (auto& sender : senders) {
        sender.join();
    }
    expect_unharmed();
}

} // namespace
} // namespace chestnutstand::testing
