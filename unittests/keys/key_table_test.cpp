#include "chestnutstand/keys/key_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace chestnutstand {
namespace {

constexpr key_id first_key{7, 1};
constexpr fingerprint request{1};

time_point at(double ms)
{
    return time_point{milliseconds{ms}};
}

call_result completed(const std::string& body)
{
    return {call_outcome::completed, reason_code::none, {200, {}, body}, {}};
}

key_table_limits small_limits(std::size_t bytes, std::size_t closing)
{
    key_table_limits limits;
    limits.bytes = bytes;
    limits.closing_bytes = closing;
    limits.response_reserve = 1000;
    return limits;
}

call_done ignore()
{
    return [](const call_result&) {};
}

// Guards against a second run of a key whose record was removed after its lifetime, no matter how
// late the duplicate arrives and which time its thread has read.
TEST(key_table, never_admits_a_removed_key)
{
    key_table table{{}};
    const key_id later{7, 5};
    ASSERT_EQ(table.admit(later, request, ignore(), at(0)).status, key_admission::kind::admitted);
    table.finish(later, completed("x"), at(10));
    table.expire(at(600'011));
    ASSERT_EQ(table.size(), 0U);
    for (const auto& id : {later, first_key}) {
        const auto second = table.admit(id, request, ignore(), at(1));
        EXPECT_EQ(second.status, key_admission::kind::answered);
        EXPECT_EQ(second.result.outcome, call_outcome::unknown);
        EXPECT_EQ(second.result.reason, reason_code::key_expired);
    }
    EXPECT_EQ(table.admit({7, 6}, request, ignore(), at(600'012)).status,
              key_admission::kind::admitted);
    EXPECT_EQ(table.admit({8, 1}, request, ignore(), at(600'012)).status,
              key_admission::kind::admitted);
}

// Guards against a full table that evicts a result to make space, or that refuses a key without
// closing it.
TEST(key_table, refusal_when_full_is_final)
{
    key_table table{small_limits(5'000, 2'000)};
    std::uint64_t sequence = 0;
    key_admission last;
    do {
        last = table.admit({7, ++sequence}, request, ignore(), at(0));
    } while (last.status == key_admission::kind::admitted);
    EXPECT_EQ(last.result.outcome, call_outcome::not_run);
    EXPECT_EQ(last.result.reason, reason_code::key_table_full);
    ASSERT_GT(sequence, 2U);
    for (std::uint64_t i = 1; i < sequence; ++i) {
        table.finish({7, i}, completed("x"), at(1));
    }
    EXPECT_EQ(table.result(first_key).response.body, "x");
    // The table has space again, but the refused key stays closed.
    EXPECT_EQ(table.admit({7, sequence}, request, ignore(), at(2)).result.outcome,
              call_outcome::not_run);
    EXPECT_EQ(table.admit({7, sequence + 1}, request, ignore(), at(2)).status,
              key_admission::kind::admitted);
}

// Guards against a key that is reported as closed although there was no space for its record.
TEST(key_table, reports_a_key_as_absent_when_it_cannot_record_the_close)
{
    key_table table{small_limits(100, 100)};
    released_waiters released;
    EXPECT_EQ(table.close(first_key, key_state::fenced, reason_code::key_fenced, at(0), released),
              key_state::absent);
    EXPECT_EQ(table.admit(first_key, request, ignore(), at(0)).result.outcome,
              call_outcome::unknown);
}

// Guards against a table that exceeds its bytes, or that gives later callers part of a response,
// when the response is larger than the space left. Waiters still get the whole response.
TEST(key_table, reports_unknown_when_a_response_does_not_fit)
{
    key_table table{small_limits(4'000, 1'000)};
    std::string received;
    table.admit(
        first_key, request, [&](const call_result& result) { received = result.response.body; },
        at(0));
    table.start(first_key);
    table.finish(first_key, completed(std::string(5'000, 'a')), at(1)).notify();
    EXPECT_EQ(received.size(), 5'000U);
    EXPECT_EQ(table.result(first_key).outcome, call_outcome::unknown);
    EXPECT_LE(table.bytes_used(), 4'000U);
}

// Guards against a key that runs or returns the response of another request than its first one.
TEST(key_table, refuses_another_request)
{
    key_table table{{}};
    table.admit(first_key, request, ignore(), at(0));
    EXPECT_EQ(table.admit(first_key, fingerprint{2}, ignore(), at(0)).result.reason,
              reason_code::key_reused);
    table.finish(first_key, completed("x"), at(1));
    EXPECT_EQ(table.admit(first_key, fingerprint{2}, ignore(), at(2)).result.reason,
              reason_code::key_reused);
}

// Guards against a caller that gets two results or none, a start after a close, a final state that
// changes, and a table that exceeds its bytes, in arbitrary sequences of operations.
TEST(key_table, property_every_caller_gets_one_result_and_final_states_stay)
{
    EXPECT_TRUE(rc::check([] {
        key_table table{small_limits(8'000, 3'000)};
        std::map<std::uint64_t, int> results_by_caller;
        std::map<std::uint64_t, key_state> final_states;
        std::set<std::uint64_t> started;
        int callers = 0;
        const auto operations = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 8)));
        double now = 0;
        const auto check = [&] {
            for (std::uint64_t sequence = 1; sequence < 8; ++sequence) {
                const auto state = table.state({7, sequence});
                const auto final_state = final_states.find(sequence);
                RC_ASSERT(final_state == final_states.end() || final_state->second == state);
                if (is_final(state)) {
                    final_states[sequence] = state;
                }
            }
            RC_ASSERT(table.bytes_used() <= 8'000U);
        };
        for (const auto& [operation, sequence] : operations) {
            const key_id id{7, static_cast<std::uint64_t>(sequence)};
            now += 1;
            released_waiters released;
            if (operation == 0) {
                const int caller = callers++;
                const auto admitted = table.admit(
                    id, request,
                    [&results_by_caller, caller](const call_result&) {
                        ++results_by_caller[caller];
                    },
                    at(now));
                results_by_caller[caller] +=
                    admitted.status == key_admission::kind::answered ? 1 : 0;
            }
            else if (operation == 1 && table.start(id)) {
                RC_ASSERT(started.insert(id.sequence).second);
                RC_ASSERT(final_states.count(id.sequence) == 0U);
            }
            else if (operation == 2) {
                released = table.finish(
                    id, completed(std::string(static_cast<std::size_t>(sequence) * 300U, 'a')),
                    at(now));
            }
            else if (operation == 3) {
                table.close(id, key_state::fenced, reason_code::key_fenced, at(now), released);
            }
            released.notify();
            check();
        }
        for (std::uint64_t sequence = 1; sequence < 8; ++sequence) {
            table.finish({7, sequence}, completed("x"), at(now)).notify();
        }
        for (int caller = 0; caller < callers; ++caller) {
            RC_ASSERT(results_by_caller[caller] == 1);
        }
    }));
}

} // namespace
} // namespace chestnutstand
