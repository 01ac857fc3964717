#include "chestnutstand/admission/load_prober.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

/// Holds requests until the test responds to them.
class fake_client : public http_client {
public:
    request_id send(const std::string& /*base_url*/, http_request request, milliseconds timeout,
                    http_done done) override
    {
        last_request = std::move(request);
        last_timeout = timeout;
        pending.push_back(std::move(done));
        return pending.size();
    }
    void cancel(request_id /*id*/) override {}

    void respond(const http_result& result)
    {
        const auto done = std::move(pending.front());
        pending.erase(pending.begin());
        done(result);
    }

    http_request last_request;
    milliseconds last_timeout{0};
    std::vector<http_done> pending;
};

http_result ok_response(std::string body)
{
    return {http_error::none, {200, {}, std::move(body)}, milliseconds{1}};
}

void respond_randomly(fake_client& client)
{
    if (client.pending.empty() || *rc::gen::inRange(0, 3) == 0) {
        return;
    }
    const auto error = static_cast<http_error>(*rc::gen::inRange(0, 8));
    const int status = *rc::gen::element(200, 404, 500, 503);
    client.respond({error, {status, {}, R"({"in_flight":1,"slots":4})"}, milliseconds{1}});
}

// Guards against probes beyond the budget at any polling rate and after failures, late responses
// and restarts. Queue length and request rate are no inputs of the prober; the short intervals
// cover a node that polls after every call.
TEST(load_prober, never_exceeds_its_budget)
{
    EXPECT_TRUE(rc::check([] {
        const double rate = *rc::gen::inRange(1, 40) / 4.0;
        const auto gaps_ms = *rc::gen::container<std::vector<int>>(
            rc::gen::oneOf(rc::gen::inRange(0, 3), rc::gen::inRange(0, 2000)));
        fake_client client;
        time_point now{milliseconds{500}};
        auto prober = std::make_unique<load_prober>(client, rate, now);
        std::vector<time_point> sent;
        for (const int gap : gaps_ms) {
            now += milliseconds{static_cast<double>(gap)};
            const auto before = client.pending.size();
            prober->poll("http://127.0.0.1:1", now);
            RC_ASSERT(client.pending.size() <= before + 1);
            if (client.pending.size() > before) {
                sent.push_back(now);
            }
            respond_randomly(client);
            switch (*rc::gen::inRange(0, 10)) {
            case 0:
                // A restarted process keeps no state.
                client.pending.clear();
                prober = std::make_unique<load_prober>(client, rate, now);
                break;
            case 1:
                prober->set_rate(*rc::gen::inRange(0, 5) * rate / 4.0, now);
                break;
            default:
                break;
            }
        }
        for (std::size_t first = 0; first < sent.size(); ++first) {
            for (std::size_t last = first; last < sent.size(); ++last) {
                const double elapsed_s = (sent[last] - sent[first]).count() / 1000.0;
                RC_ASSERT(static_cast<double>(last - first + 1) <= elapsed_s * rate + 1.0 + 1e-6);
            }
        }
    }));
}

// Guards against a probe directly after the start; a node that restarts in a loop would then exceed
// the budget.
TEST(load_prober, starts_without_budget)
{
    fake_client client;
    const time_point start{milliseconds{500}};
    load_prober prober{client, 2.0, start};
    prober.poll("http://127.0.0.1:1", start + milliseconds{499});
    EXPECT_EQ(prober.sent(), 0U);
    prober.poll("http://127.0.0.1:1", start + milliseconds{501});
    EXPECT_EQ(prober.sent(), 1U);
}

// Guards against probes that accumulate on an upstream that does not respond.
TEST(load_prober, keeps_one_probe_in_flight)
{
    fake_client client;
    time_point now{milliseconds{500}};
    load_prober prober{client, 2.0, now};
    for (int i = 0; i < 10; ++i) {
        now += milliseconds{1000};
        prober.poll("http://127.0.0.1:1", now);
        EXPECT_EQ(client.pending.size(), 1U);
    }
    EXPECT_EQ(client.last_request.target, "/load");
    EXPECT_EQ(client.last_timeout, milliseconds{1000});
    client.respond({http_error::timed_out, {}, milliseconds{1000}});
    prober.poll("http://127.0.0.1:1", now);
    EXPECT_EQ(prober.sent(), 2U);
}

// Guards against a malformed or failed response that crashes the process or replaces the last valid
// load.
TEST(load_prober, ignores_malformed_and_failed_responses)
{
    fake_client client;
    time_point now{milliseconds{500}};
    load_prober prober{client, 1000.0, now};
    const auto exchange = [&](const http_result& result) {
        now += milliseconds{10};
        prober.poll("http://127.0.0.1:1", now);
        client.respond(result);
    };
    exchange(ok_response("{"));
    exchange(ok_response("[]"));
    exchange(ok_response(R"({"in_flight":-1,"slots":"x"})"));
    EXPECT_FALSE(prober.last());
    exchange(ok_response(R"({"in_flight":3,"slots":10})"));
    ASSERT_TRUE(prober.last());
    EXPECT_EQ(prober.last()->in_flight, 3U);
    exchange({http_error::timed_out, {}, milliseconds{1000}});
    EXPECT_EQ(prober.last()->slots, 10U);
}

} // namespace
} // namespace chestnutstand
