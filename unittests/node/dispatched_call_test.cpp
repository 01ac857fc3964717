#include "../../lib/node/dispatched_call.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

// Guards against a log line that omits the node of an attempt whose response was lost.
TEST(dispatched_call, names_the_node_of_each_attempt)
{
    dispatched_call running{{}, {}, true};
    running.note_attempt(unknown_outcome(reason_code::peer_connection_lost), 0x2a);
    call_result second;
    second.outcome = call_outcome::completed;
    second.response.status = 200;
    running.note_attempt(second, 0x2b);
    EXPECT_EQ(running.history, "peer_connection_lost@2a 200@2b");
}

} // namespace
} // namespace chestnutstand
