#include "../../lib/transport/response_budget.h"

#include <gtest/gtest.h>

#include <list>
#include <string>

namespace chestnutstand {
namespace {

constexpr std::size_t budget_bytes = 1'000;

class response_budget_test : public ::testing::Test {
protected:
    response_reader& begin()
    {
        response_reader& reader = readers_.emplace_back(false, budget_bytes * 10);
        EXPECT_TRUE(reader.add_header_line("HTTP/1.1 200 OK\r\n"));
        EXPECT_TRUE(reader.add_header_line("\r\n"));
        return reader;
    }

    void receive(response_reader& reader, std::size_t bytes)
    {
        if (reader.add_body(std::string(bytes, 'x'))) {
            budget_.update(reader);
        }
    }

    std::list<response_reader> readers_;
    response_budget budget_{budget_bytes};
};

// Guards against a response that ends because another one has used up the memory for both.
TEST_F(response_budget_test, abandons_the_largest_response)
{
    response_reader& large = begin();
    response_reader& small = begin();
    receive(large, 900);
    receive(small, 100);
    EXPECT_FALSE(budget_.take_abandoned());
    receive(small, 1);
    EXPECT_TRUE(budget_.take_abandoned());
    EXPECT_EQ(large.error(), http_error::too_large);
    EXPECT_EQ(large.held_bytes(), 0U);
    EXPECT_FALSE(large.add_body("x"));
    EXPECT_EQ(small.error(), http_error::none);
    EXPECT_EQ(budget_.held_bytes(), 101U);
    receive(small, 900);
    EXPECT_EQ(small.error(), http_error::too_large);
    EXPECT_EQ(budget_.held_bytes(), 0U);
}

// Guards against a budget that is used up by responses that have ended.
TEST_F(response_budget_test, gives_back_what_an_ended_response_held)
{
    for (int i = 0; i < 10; ++i) {
        response_reader& reader = begin();
        receive(reader, 600);
        EXPECT_EQ(reader.error(), http_error::none);
        budget_.remove(reader);
        budget_.remove(reader);
        EXPECT_EQ(budget_.held_bytes(), 0U);
    }
}

// Guards against headers of a few bytes that take many times their size in memory.
TEST_F(response_budget_test, counts_the_entries_of_headers)
{
    response_reader reader{false, budget_bytes};
    ASSERT_TRUE(reader.add_header_line("HTTP/1.1 200 OK\r\n"));
    for (int i = 0; i < 100 && reader.error() == http_error::none; ++i) {
        ASSERT_TRUE(reader.add_header_line("a:\r\n"));
        budget_.update(reader);
    }
    EXPECT_EQ(reader.error(), http_error::too_large);
}

} // namespace
} // namespace chestnutstand
