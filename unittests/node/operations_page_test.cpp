#include "chestnutstand/node/problem.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace chestnutstand {
namespace {

// Guards against a reason that appears in a counter but not on the operations page, and against a
// status on that page that callers do not receive.
TEST(operations_page, explains_every_reason_with_its_status)
{
    std::ifstream file{OPERATIONS_PAGE};
    const std::string page{std::istreambuf_iterator<char>{file}, {}};
    ASSERT_FALSE(page.empty());
    for (std::size_t i = 1; i < reason_count; ++i) {
        const auto reason = static_cast<reason_code>(i);
        const auto row = page.find("\n| `" + std::string{to_string(reason)} + "` | ");
        ASSERT_NE(row, std::string::npos) << to_string(reason);
        const std::string line = page.substr(row + 1, page.find('\n', row + 1) - row - 1);
        const auto has_status = [&](call_outcome outcome) {
            return line.find(std::to_string(status_of(outcome, reason))) != std::string::npos;
        };
        EXPECT_TRUE(reason == reason_code::caller_gone || has_status(call_outcome::not_run) ||
                    has_status(call_outcome::unknown))
            << line;
    }
}

} // namespace
} // namespace chestnutstand
