#include "executor_fixture.h"

#include "chestnutstand/node/upstream_registry.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

/// Executor whose upstream has many slots and sends the headers Rate and Leaving.
class executor_statement_test : public executor_test {
protected:
    static constexpr std::uint32_t slots = 20;

    static header_names names()
    {
        header_names names;
        names.upstream_id = "Id";
        names.upstream_rate_limit = "Rate";
        names.upstream_leaving = "Leaving";
        return names;
    }

    executor_statement_test() { stated_.set_upstream(upstream(1)); }

    static local_upstream upstream(std::uint64_t born_ms)
    {
        return {"ledger", "http://127.0.0.1:1", slots, "i-1", born_ms};
    }

    /// Offers a call and returns the reason of its end, or internal while it waits or runs.
    reason_code offer(bool movable = false)
    {
        service_call call;
        call.service = "ledger";
        call.priority = "write";
        call.movable = movable;
        call.repeat = repeatability::repeatable;
        call.deadline = ms_clock::now() + milliseconds{60'000};
        call.request_id = std::to_string(++last_call_);
        const auto reason = std::make_shared<reason_code>(reason_code::internal);
        stated_.execute(own_instance, call,
                        [reason](const call_result& result) { *reason = result.reason; });
        return *reason;
    }

    /// Completes a call with these headers.
    void respond_to_a_call(std::vector<http_header> headers)
    {
        offer();
        upstream_.respond(upstream_.last_id, 200, std::move(headers));
    }

    std::size_t running_after_offers(int count)
    {
        for (int i = 0; i < count; ++i) {
            offer();
        }
        return upstream_.pending.size();
    }

    executor stated_{own_instance, upstream_, stats_, keys_, [this] { return document_; }, names()};
};

// Guards against sending an upstream in need as many requests as it has slots.
TEST_F(executor_statement_test, keeps_to_the_rate_limit_that_the_upstream_names)
{
    respond_to_a_call({{"Rate", "2"}});
    EXPECT_LE(running_after_offers(10), 1U);
}

// Guards against a limit that stays after the upstream has stopped naming it.
TEST_F(executor_statement_test, lifts_a_limit_that_is_no_longer_named)
{
    offer();
    offer();
    upstream_.respond(1, 200, {{"Rate", "1"}});
    EXPECT_EQ(running_after_offers(5), 1U);
    upstream_.respond(2, 200);
    EXPECT_EQ(upstream_.pending.size(), 5U);
}

// Guards against a limit that a later process of the upstream inherits, also under the same id.
TEST_F(executor_statement_test, forgets_the_limit_of_an_earlier_process)
{
    respond_to_a_call({{"Rate", "1"}});
    EXPECT_EQ(running_after_offers(5), 0U);
    stated_.set_upstream(upstream(2));
    EXPECT_EQ(upstream_.pending.size(), 5U);
}

// Guards against a limit that is taken from a response to another request or of another process.
TEST_F(executor_statement_test, ignores_statements_of_other_responses)
{
    offer();
    upstream_.complete(1, {http_error::none,
                           {200, {{"Rate", "1"}, {std::string{header::request_id}, "x"}}, ""},
                           milliseconds{1}});
    offer();
    upstream_.respond(2, 421, {{"Rate", "1"}});
    offer();
    stated_.set_upstream(upstream(2));
    upstream_.respond(3, 200, {{"Rate", "1"}});
    EXPECT_EQ(running_after_offers(5), 5U);
}

// Guards against calls that wait for the rate limit although another node could start them.
TEST_F(executor_statement_test, refuses_movable_calls_while_the_limit_delays_them)
{
    respond_to_a_call({{"Rate", "1"}});
    EXPECT_EQ(offer(/*movable=*/true), reason_code::upstream_rate_limited);
    EXPECT_EQ(offer(/*movable=*/false), reason_code::internal);
}

class leaving_upstream_test : public executor_statement_test {
protected:
    leaving_upstream_test()
    {
        stated_.on_departure([this](const std::string& id, std::uint64_t born_ms) {
            ++departures_;
            registry_.leave(id, born_ms, born_ms);
        });
        announce(1);
    }

    void announce(std::uint64_t born_ms)
    {
        upstream_heartbeat heartbeat;
        heartbeat.upstream = upstream(born_ms);
        heartbeat.born_ms = born_ms;
        heartbeat.sequence = ++sequence_;
        registry_.announce(heartbeat, ms_clock::now());
    }

    upstream_registry registry_{
        [this](const std::optional<local_upstream>& current) { stated_.set_upstream(current); }};
    std::uint64_t sequence_ = 0;
    int departures_ = 0;
};

// Guards against new calls on an upstream that has said in a response that it leaves, and whose
// heartbeats do not say so.
TEST_F(leaving_upstream_test, gets_no_calls_after_it_said_that_it_leaves)
{
    offer();
    respond_to_a_call({{"Leaving", "1"}});
    EXPECT_EQ(offer(), reason_code::no_upstream);
    announce(1);
    EXPECT_EQ(offer(), reason_code::no_upstream);
    upstream_.respond(1, 200, {{"Leaving", "1"}});
    EXPECT_EQ(departures_, 1);
}

// Guards against a process that gets no calls because an earlier one under its id has left.
TEST_F(leaving_upstream_test, later_process_gets_calls)
{
    offer();
    respond_to_a_call({{"Leaving", "1"}});
    announce(2);
    EXPECT_EQ(offer(), reason_code::internal);
    upstream_.respond(1, 200, {{"Leaving", "1"}});
    EXPECT_EQ(offer(), reason_code::internal);
}

// Guards against a node that is started again and admits an upstream that has already said that it
// leaves.
TEST_F(leaving_upstream_test, is_not_admitted_if_its_verification_says_that_it_leaves)
{
    registry_.withdraw();
    stated_.observe_verification(upstream(1), {503, {{"Leaving", "1"}, {"Rate", "1"}}, ""});
    announce(1);
    EXPECT_EQ(offer(), reason_code::no_upstream);
}

// Guards against a false statement in the header of a sound upstream.
TEST_F(leaving_upstream_test, stays_while_the_header_denies_it)
{
    respond_to_a_call({{"Leaving", "0"}});
    EXPECT_EQ(offer(), reason_code::internal);
}

} // namespace
} // namespace chestnutstand
