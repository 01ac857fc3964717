#include "../../lib/transport/response_pipeline.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

http_response answer(const std::string& body, bool closes = false)
{
    http_response response{200, {}, body};
    if (closes) {
        response.headers.push_back({"Connection", "close"});
    }
    return response;
}

response_pipeline::request request_of(std::size_t bytes = 10, bool keep_alive = true)
{
    return {bytes, false, keep_alive, std::make_shared<cancellation>()};
}

/// Writes all responses that are ready; a bar marks the one that ends the connection.
std::string write_ready(response_pipeline& pipeline)
{
    std::string written;
    while (auto ready = pipeline.take_ready()) {
        written += ready->response.body + (ready->closes ? "|" : "");
        pipeline.written();
    }
    return written;
}

// Guards against a response that reaches the client in the place of another.
TEST(response_pipeline_test, responses_keep_the_order_of_the_requests)
{
    response_pipeline pipeline;
    const auto a = pipeline.begin(request_of());
    const auto b = pipeline.begin(request_of());
    const auto c = pipeline.begin(request_of());
    EXPECT_TRUE(pipeline.complete(c, answer("c")));
    EXPECT_EQ(write_ready(pipeline), "");
    EXPECT_TRUE(pipeline.complete(a, answer("a")));
    EXPECT_FALSE(pipeline.complete(a, answer("again")));
    EXPECT_EQ(write_ready(pipeline), "a");
    EXPECT_FALSE(pipeline.complete(a, answer("late")));
    EXPECT_TRUE(pipeline.complete(b, answer("b")));
    EXPECT_EQ(write_ready(pipeline), "bc");
    EXPECT_TRUE(pipeline.empty());
}

// Guards against a request that must not run twice and is handled behind a response that may still
// close the connection: its client would send it again.
TEST(response_pipeline_test, request_that_may_not_overtake_waits_until_all_is_written)
{
    response_pipeline pipeline;
    EXPECT_TRUE(pipeline.may_begin(false));
    const auto a = pipeline.begin(request_of());
    EXPECT_FALSE(pipeline.may_begin(false));
    EXPECT_TRUE(pipeline.may_begin(true));
    pipeline.complete(a, answer("a"));
    EXPECT_FALSE(pipeline.may_begin(false));
    ASSERT_TRUE(pipeline.take_ready());
    EXPECT_FALSE(pipeline.may_begin(false));
    pipeline.written();
    EXPECT_TRUE(pipeline.may_begin(false));
}

// Guards against a client that has any number of requests in progress, or any number of bytes of
// responses that wait behind a slow one.
TEST(response_pipeline_test, bounds_the_requests_and_their_bytes)
{
    response_pipeline pipeline{{3, 1'000}};
    pipeline.begin(request_of());
    const auto b = pipeline.begin(request_of());
    pipeline.begin(request_of());
    EXPECT_FALSE(pipeline.may_begin(true));

    response_pipeline bytes{{3, 1'000}};
    const auto first = bytes.begin(request_of());
    const auto large = bytes.begin(request_of());
    bytes.complete(large, answer(std::string(2'000, 'x')));
    EXPECT_FALSE(bytes.may_begin(true));
    bytes.complete(first, answer("a"));
    write_ready(bytes);
    EXPECT_TRUE(bytes.may_begin(true));
    EXPECT_TRUE(pipeline.complete(b, answer("b")));
}

// Guards against begun requests that lose their responses when one of them ends the connection.
TEST(response_pipeline_test, only_the_last_response_closes)
{
    response_pipeline pipeline;
    const auto a = pipeline.begin(request_of());
    const auto b = pipeline.begin(request_of());
    pipeline.complete(a, answer("a", true));
    EXPECT_FALSE(pipeline.may_begin(true));
    EXPECT_EQ(write_ready(pipeline), "a");
    EXPECT_FALSE(pipeline.may_begin(false));
    pipeline.complete(b, answer("b"));
    EXPECT_EQ(write_ready(pipeline), "b|");

    response_pipeline last_request;
    const auto c = last_request.begin(request_of());
    const auto d = last_request.begin(request_of(10, false));
    EXPECT_FALSE(last_request.may_begin(true));
    last_request.complete(d, answer("d"));
    last_request.complete(c, answer("c"));
    EXPECT_EQ(write_ready(last_request), "cd|");

    response_pipeline refused;
    const auto e = refused.begin(request_of());
    refused.refuse(answer("refusal"));
    EXPECT_EQ(write_ready(refused), "");
    refused.complete(e, answer("e"));
    EXPECT_EQ(write_ready(refused), "erefusal|");
}

// Guards against calls that keep running for a client that has gone.
TEST(response_pipeline_test, abandon_returns_the_requests_without_a_response)
{
    response_pipeline pipeline;
    const auto first = request_of();
    const auto second = request_of();
    const auto id = pipeline.begin(first);
    pipeline.begin(second);
    pipeline.complete(id, answer("a"));
    const auto unfinished = pipeline.abandon();
    ASSERT_EQ(unfinished.size(), 1U);
    EXPECT_EQ(unfinished[0], second.abandoned);
    EXPECT_TRUE(pipeline.empty());
    EXPECT_FALSE(pipeline.may_begin(true));
}

// Guards against any order of events that swaps or loses a response, begins a request behind one
// that closes, or keeps more in progress than the limit.
TEST(response_pipeline_test, every_order_of_events_keeps_the_rules)
{
    EXPECT_TRUE(rc::check([] {
        const auto limit = *rc::gen::inRange<std::size_t>(1, 6);
        response_pipeline pipeline{{limit, 500}};
        std::deque<response_pipeline::ticket> unwritten;
        std::vector<response_pipeline::ticket> running;
        bool writing = false;
        bool closed = false;
        const auto take = [&] {
            if (const auto ready = pipeline.take_ready()) {
                RC_ASSERT(!writing && !closed && !unwritten.empty());
                RC_ASSERT(ready->response.body == std::to_string(unwritten.front()));
                RC_ASSERT(ready->closes == (!pipeline.accepting() && unwritten.size() == 1));
                closed = ready->closes;
                writing = true;
            }
        };
        const auto finish_write = [&] {
            pipeline.written();
            if (std::exchange(writing, false)) {
                unwritten.pop_front();
            }
        };
        const auto complete = [&](std::size_t index, bool closes) {
            const auto id = running[index];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
            RC_ASSERT(pipeline.complete(id, answer(std::to_string(id), closes)));
        };
        for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
            case 2: {
                const bool overtakes = *rc::gen::arbitrary<bool>();
                if (pipeline.may_begin(overtakes)) {
                    RC_ASSERT(!closed && pipeline.accepting());
                    RC_ASSERT(overtakes || unwritten.empty());
                    const auto bytes = *rc::gen::inRange<std::size_t>(0, 300);
                    running.push_back(
                        pipeline.begin(request_of(bytes, *rc::gen::inRange(0, 10) > 0)));
                    unwritten.push_back(running.back());
                }
                break;
            }
            case 3:
            case 4:
                if (!running.empty()) {
                    complete(*rc::gen::inRange<std::size_t>(0, running.size()),
                             *rc::gen::inRange(0, 10) == 0);
                }
                break;
            case 5:
                take();
                break;
            case 6:
                finish_write();
                break;
            default:
                if (*rc::gen::inRange(0, 8) == 0) {
                    pipeline.stop_accepting();
                }
                break;
            }
            RC_ASSERT(pipeline.size() == unwritten.size());
            RC_ASSERT(pipeline.size() <= limit);
        }
        while (!running.empty()) {
            complete(0, false);
        }
        while (!unwritten.empty()) {
            take();
            RC_ASSERT(writing);
            finish_write();
        }
        RC_ASSERT(pipeline.empty());
    }));
}

} // namespace
} // namespace chestnutstand
