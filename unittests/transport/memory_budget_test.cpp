#include "chestnutstand/transport/memory_budget.h"

#include "chestnutstand/transport/shared_body.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::size_t mib = std::size_t{1} << 20U;
constexpr std::size_t kib = std::size_t{1} << 10U;
constexpr milliseconds long_stall{5'000};

/// Connection whose end is recorded, and frees its memory only when the test says so.
struct test_connection {
    explicit test_connection(const std::shared_ptr<memory_budget>& budget)
        : holder{budget, [this] { ended = true; }}
    {
    }

    bool receive(std::size_t bytes, time_point now)
    {
        holder.note_progress(bytes, now);
        if (!holder.resize(held + bytes, now)) {
            return false;
        }
        held += bytes;
        return true;
    }

    std::size_t held = 0;
    bool ended = false;
    memory_holder holder;
};

class memory_budget_test : public ::testing::Test {
protected:
    test_connection& open()
    {
        return *connections_.emplace_back(std::make_unique<test_connection>(budget_));
    }

    time_point now_{milliseconds{1'000'000}};
    std::shared_ptr<memory_budget> budget_ =
        std::make_shared<memory_budget>(memory_budget_limits{32 * mib, 2 * mib});
    std::vector<std::unique_ptr<test_connection>> connections_;
};

// Guards against callers that hold the memory with bodies that they never complete.
TEST_F(memory_budget_test, ends_the_request_without_progress)
{
    auto& stopped = open();
    auto& active = open();
    ASSERT_TRUE(stopped.receive(20 * mib, now_));
    now_ += long_stall;
    ASSERT_TRUE(active.receive(8 * mib, now_));
    EXPECT_FALSE(stopped.ended);
    EXPECT_TRUE(active.receive(4 * mib, now_));
    EXPECT_TRUE(stopped.ended);
    EXPECT_FALSE(active.ended);
    EXPECT_FALSE(stopped.receive(1, now_));
}

// Guards against a request that ends others which have come further, although all make progress.
TEST_F(memory_budget_test, refuses_the_newest_request_while_all_make_progress)
{
    auto& first = open();
    auto& second = open();
    ASSERT_TRUE(first.receive(20 * mib, now_));
    ASSERT_TRUE(second.receive(8 * mib, now_));
    EXPECT_FALSE(second.receive(4 * mib, now_));
    EXPECT_FALSE(first.ended);
}

// Guards against the same by a request that was small until now.
TEST_F(memory_budget_test, refuses_a_request_that_becomes_large_while_all_make_progress)
{
    auto& first = open();
    auto& second = open();
    ASSERT_TRUE(first.receive(30 * mib, now_));
    ASSERT_TRUE(second.receive(60 * kib, now_));
    EXPECT_FALSE(second.receive(10 * kib, now_));
    EXPECT_FALSE(first.ended);
}

// Guards against large requests that leave no memory for small ones.
TEST_F(memory_budget_test, keeps_a_reserve_for_small_requests)
{
    ASSERT_TRUE(open().receive(30 * mib, now_));
    EXPECT_FALSE(open().receive(128 * kib, now_));
    EXPECT_TRUE(open().receive(32 * kib, now_));
}

// Guards against large bodies that are read although there is no memory for them.
TEST_F(memory_budget_test, does_not_admit_a_body_without_memory)
{
    auto& active = open();
    ASSERT_TRUE(active.receive(20 * mib, now_));
    EXPECT_FALSE(budget_->admits(11 * mib, now_));
    EXPECT_TRUE(budget_->admits(10 * mib, now_));
    EXPECT_FALSE(budget_->admits(31 * mib, now_ + long_stall));
    EXPECT_TRUE(budget_->admits(30 * mib, now_ + long_stall));
}

// Guards against memory that stays counted after the last reference to a body is gone, and against
// memory that is given back while a copy of the body exists.
TEST_F(memory_budget_test, body_holds_its_memory_until_the_last_copy_is_gone)
{
    auto& connection = open();
    ASSERT_TRUE(connection.receive(mib, now_));
    shared_body body{std::string(mib, 'x'), connection.holder.take(mib)};
    shared_body copy = body;
    connections_.clear();
    EXPECT_EQ(budget_->read().held_bytes, mib);
    body.remove_prefix(10);
    EXPECT_EQ(body.size(), mib - 10);
    EXPECT_EQ(copy.size(), mib);
    EXPECT_EQ(budget_->read().held_bytes, mib);
    copy = {};
    EXPECT_EQ(budget_->read().held_bytes, 0U);
}

// Guards against responses that wait for callers who do not read them.
TEST_F(memory_budget_test, ends_the_response_that_is_not_read)
{
    memory_lease response{budget_, 0};
    ASSERT_TRUE(response.resize(20 * mib, now_));
    auto& reader = open();
    reader.holder.set_output(response.bytes(), now_);
    auto& request = open();
    ASSERT_TRUE(request.receive(8 * mib, now_));
    EXPECT_FALSE(request.receive(4 * mib, now_));
    now_ += long_stall;
    auto& later = open();
    ASSERT_TRUE(later.receive(4 * mib, now_));
    EXPECT_TRUE(reader.ended);
}

// Guards against ending a client that waits for its response, which cannot make progress, and
// against a client that counts as stalled as soon as its wait is over.
TEST_F(memory_budget_test, client_that_waits_for_its_response_is_not_stalled)
{
    auto& waiting = open();
    auto& first = open();
    ASSERT_TRUE(waiting.receive(8 * kib, now_));
    waiting.holder.set_waiting(true, now_);
    ASSERT_TRUE(first.receive(20 * mib, now_));
    now_ += long_stall;
    first.holder.note_progress(mib, now_);
    auto& second = open();
    ASSERT_TRUE(second.receive(9 * mib, now_));
    EXPECT_FALSE(second.receive(4 * mib, now_));
    EXPECT_FALSE(waiting.ended);
    EXPECT_FALSE(first.ended);
    EXPECT_FALSE(budget_->admits(11 * mib, now_));
    waiting.holder.set_waiting(false, now_);
    EXPECT_FALSE(second.receive(4 * mib, now_));
    EXPECT_FALSE(waiting.ended);
}

// Guards against large input behind a request in progress that keeps small requests out.
TEST_F(memory_budget_test, large_input_of_a_waiting_client_gives_way)
{
    auto& waiting = open();
    ASSERT_TRUE(waiting.receive(29 * mib, now_));
    waiting.holder.set_waiting(true, now_);
    std::vector<test_connection*> small;
    for (int i = 0; i < 100; ++i) {
        small.push_back(&open());
        ASSERT_TRUE(small.back()->receive(60 * kib, now_)) << i;
    }
    EXPECT_TRUE(waiting.ended);
    EXPECT_EQ(waiting.holder.told_to_end(), memory_use::waiting);
    for (const auto* connection : small) {
        EXPECT_FALSE(connection->ended);
    }
    // The response that the client waited for is not what has to go.
    waiting.holder.set_output(20 * mib, now_);
    ASSERT_TRUE(waiting.holder.resize(0, now_));
    EXPECT_EQ(waiting.holder.told_to_end(), std::nullopt);
}

struct random_holders {
    std::vector<holder_progress> holders;
    request_size needed_for = request_size::small;
    time_point now{milliseconds{1'000'000}};
};

random_holders arbitrary_holders()
{
    random_holders made;
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    for (std::size_t i = 0; i < count; ++i) {
        const auto bytes = *rc::gen::inRange<std::size_t>(4 * kib, 300 * kib);
        const auto use =
            *rc::gen::element(memory_use::receiving, memory_use::waiting, memory_use::sending);
        const double idle_ms = *rc::gen::inRange(0, 3'000);
        made.holders.push_back({bytes, use, made.now - milliseconds{idle_ms},
                                *rc::gen::inRange<std::size_t>(0, bytes)});
    }
    made.needed_for = *rc::gen::element(request_size::small, request_size::large);
    return made;
}

// Guards against giving up a response or a client that waits while another holder could give way,
// against small requests that go for a large one, and against none that gives way.
TEST(memory_budget_properties, holders_give_way_in_the_stated_order)
{
    EXPECT_TRUE(rc::check([] {
        const random_holders drawn = arbitrary_holders();
        const auto& holders = drawn.holders;
        const auto exists = [&](auto predicate) {
            return std::any_of(holders.begin(), holders.end(), predicate);
        };
        const auto is_stalled = [&](const holder_progress& each) {
            return each.use != memory_use::waiting &&
                   drawn.now - each.last_step >= milliseconds{1'000};
        };
        const auto is_large = [](const holder_progress& each) { return each.bytes > 64 * kib; };
        const auto can_give_way = [&](const holder_progress& each) {
            return is_stalled(each) ||
                   (each.use != memory_use::sending &&
                    (drawn.needed_for == request_size::small || is_large(each)));
        };
        const auto chosen = choose_holder(holders, drawn.needed_for, drawn.now);
        RC_ASSERT(chosen.has_value() == exists(can_give_way));
        if (!chosen) {
            return;
        }
        const holder_progress& gives_way = holders.at(*chosen);
        RC_ASSERT(can_give_way(gives_way));
        RC_ASSERT(is_stalled(gives_way) || !exists(is_stalled));
        RC_ASSERT(is_stalled(gives_way) || is_large(gives_way) ||
                  !exists([&](const holder_progress& each) {
                      return each.use != memory_use::sending && is_large(each);
                  }));
        const bool is_small_waiting = gives_way.use == memory_use::waiting && !is_large(gives_way);
        RC_ASSERT(!is_small_waiting || !exists([](const holder_progress& each) {
            return each.use == memory_use::receiving;
        }));
    }));
}

// Guards against a sum that differs from what the connections hold, and against more held memory
// than the limit and the overshoot allow, for any order of requests, ends and pauses.
TEST(memory_budget_properties, held_bytes_stay_within_the_limit)
{
    EXPECT_TRUE(rc::check([] {
        const auto budget = std::make_shared<memory_budget>(memory_budget_limits{4 * mib, mib / 4});
        std::vector<std::unique_ptr<test_connection>> connections;
        time_point now{milliseconds{1'000'000}};
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
        for (const std::uint32_t step : steps) {
            now += milliseconds{static_cast<double>(step % 700)};
            const std::size_t chosen = (step >> 10U) % 8;
            if (chosen >= connections.size()) {
                connections.push_back(std::make_unique<test_connection>(budget));
            }
            auto& connection = connections.at(std::min(chosen, connections.size() - 1));
            if (connection->ended || step % 11 == 0) {
                connection = std::make_unique<test_connection>(budget);
            }
            connection->receive((step >> 14U) % mib, now);
            std::size_t held = 0;
            for (const auto& open : connections) {
                held += open->held;
            }
            RC_ASSERT(budget->read().held_bytes == held);
            RC_ASSERT(held <= 4 * mib + mib / 2);
        }
        connections.clear();
        RC_ASSERT(budget->read().held_bytes == 0U);
    }));
}

// Guards against a machine of the smallest size that refuses the largest body, and against a budget
// that leaves no memory for the process itself.
TEST(memory_budget_limits_test, fits_the_smallest_machine)
{
    const memory_budget small{memory_budget_limits_for(160)};
    EXPECT_GT(small.largest_body(), 65 * mib);
    EXPECT_LT(small.largest_body(), 80 * mib);
    EXPECT_GE(memory_budget{memory_budget_limits_for(0)}.largest_body(), 256 * mib);
}

} // namespace
} // namespace chestnutstand
