#include "executor_fixture.h"

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

} // namespace
} // namespace chestnutstand
