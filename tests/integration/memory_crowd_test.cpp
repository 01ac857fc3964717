#include "../support/memory_fixture.h"

namespace chestnutstand::testing {
namespace {

using memory_crowd = crowd_path;

// Guards against callers that end the entry node with request bodies of a permitted size, most of
// which stay incomplete while their connections are open.
TEST_F(memory_crowd, entry_survives_large_bodies)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port, body_with_length("/body"));
    expect_unharmed();
}

// Guards against callers that end both nodes on the path with bodies that are all complete.
TEST_F(memory_crowd, entry_survives_complete_large_bodies)
{
    crowd sent;
    for (int i = 0; i < crowd_size; ++i) {
        ASSERT_TRUE(sent.add(entry_->caller_port, body_with_length("/body")));
    }
    sent.send_all();
    expect_unharmed();
}

// Guards against bodies without an announced length, which a check of the announced length misses.
TEST_F(memory_crowd, entry_survives_large_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port, body_in_large_chunks("/body"));
    expect_unharmed();
}

// Guards against chunks of a byte, each of which costs more than a byte to keep or to decode.
TEST_F(memory_crowd, entry_survives_very_small_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port, body_in_small_chunks("/body"));
    expect_unharmed();
}

// Guards against a node that reads a body whose announced length exceeds the limit.
TEST_F(memory_crowd, entry_survives_announced_oversized_bodies)
{
    crowd sent;
    send_mostly_incomplete(sent, entry_->caller_port,
                           {head("POST", "/body", 10 * limits_.max_body_mb * mib), filler(),
                            10 * limits_.max_body_mb * mib - 1, "x"});
    expect_unharmed();
}

// Guards against a node that keeps a chunked body beyond the limit.
TEST_F(memory_crowd, entry_survives_unannounced_oversized_bodies)
{
    const std::string chunk = large_chunk();
    crowd sent;
    send_mostly_incomplete(
        sent, entry_->caller_port,
        {chunked_head("/body"), chunk, chunk.size() * 160 * limits_.max_body_mb, "0\r\n\r\n"});
    expect_unharmed();
}

// Guards against large messages between nodes that end the executing node, although each of them is
// within the limit of the hop.
TEST_F(memory_crowd, hop_survives_large_bodies)
{
    crowd sent;
    send_mostly_incomplete(sent, executor_->node_port, body_with_length("/execute"));
    expect_unharmed();
}

// Guards against messages between nodes without an announced length.
TEST_F(memory_crowd, hop_survives_large_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, executor_->node_port, body_in_large_chunks("/execute"));
    expect_unharmed();
}

// Guards against messages between nodes in chunks of a byte.
TEST_F(memory_crowd, hop_survives_very_small_chunks)
{
    crowd sent;
    send_mostly_incomplete(sent, executor_->node_port, body_in_small_chunks("/execute"));
    expect_unharmed();
}

// Guards against messages between nodes that exceed the limit of the hop.
TEST_F(memory_crowd, hop_survives_oversized_bodies)
{
    constexpr std::size_t oversized = 100 * mib;
    const std::string chunk = large_chunk();
    crowd announced;
    send_mostly_incomplete(announced, executor_->node_port,
                           {head("POST", "/execute", oversized), filler(), oversized - 1, "x"});
    crowd unannounced;
    send_mostly_incomplete(unannounced, executor_->node_port,
                           {chunked_head("/execute"), chunk, oversized, "0\r\n\r\n"});
    expect_unharmed();
}

} // namespace
} // namespace chestnutstand::testing
