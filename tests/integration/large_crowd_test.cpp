#include "../support/memory_fixture.h"

namespace chestnutstand::testing {
namespace {

/// Many clients against nodes with little memory. The bounds are the limits in the nodes' settings.
class large_crowd : public crowd_path {
protected:
    static constexpr int clients = 300;

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
    const std::size_t oversized = 10 * max_body_mb * mib;
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
        {chunked_head("/body"), chunk, chunk.size() * 160 * max_body_mb, "0\r\n\r\n"}, clients);
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

} // namespace
} // namespace chestnutstand::testing
