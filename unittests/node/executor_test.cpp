#include "chestnutstand/node/executor.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

constexpr std::uint64_t own_instance = 7;

/// Upstream that answers when the test says so.
class fake_upstream : public http_client {
public:
    request_id send(const std::string& /*base_url*/, http_request request, milliseconds timeout,
                    http_done done) override
    {
        const auto id = ++last_id;
        requests.emplace(id, std::move(request));
        timeouts.emplace(id, timeout);
        pending.emplace(id, std::move(done));
        return id;
    }

    void cancel(request_id id) override
    {
        if (pending.contains(id)) {
            end(id, {http_error::cancelled, {}, milliseconds{1}});
        }
    }

    void end(request_id id, const http_result& result)
    {
        const auto done = pending.extract(id).mapped();
        done(result);
    }

    void answer(request_id id, int status, std::vector<http_header> headers = {})
    {
        const auto request = find_header(requests.at(id).headers, header::request_id);
        headers.push_back({std::string{header::request_id}, std::string{request.value_or("")}});
        end(id, {http_error::none, {status, std::move(headers), "done"}, milliseconds{1}});
    }

    request_id last_id = 0;
    std::map<request_id, http_request> requests;
    std::map<request_id, milliseconds> timeouts;
    std::map<request_id, http_done> pending;
};

std::shared_ptr<const document> make_document()
{
    auto made = std::make_shared<document>();
    service_config service;
    service.name = "ledger";
    service.priorities = {{"read", milliseconds{200}, 3.0, true},
                          {"write", milliseconds{1000}, 8.0, false}};
    service.probe_budget_per_s = 0.0;
    made->services = {service};
    return made;
}

constexpr const char* secret = "secret of the test";

/// Key that names this executor as its only candidate.
std::string make_key(std::uint64_t sequence)
{
    idempotency_key key;
    key.owner = {own_instance, "127.0.0.1", 1};
    key.candidates = {key.owner};
    key.sequence = sequence;
    key.service = "ledger";
    return encode(key, secret);
}

class executor_test : public testing::Test {
protected:
    executor_test() { node_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, ""}); }

    /// Number of the call, whose result is kept under it.
    int execute(service_call call = {}, std::uint64_t target = own_instance)
    {
        const int number = ++last_call_;
        call.service = "ledger";
        call.priority = call.priority.empty() ? "read" : call.priority;
        call.deadline = ms_clock::now() + milliseconds{60'000};
        call.request_id = std::to_string(number);
        node_.execute(target, std::move(call), [this, number](call_result result) {
            EXPECT_TRUE(results_.emplace(number, std::move(result)).second);
        });
        return number;
    }

    reason_code why(int number) const
    {
        const auto found = results_.find(number);
        return found == results_.end() ? reason_code::internal : found->second.reason;
    }

    fake_upstream upstream_;
    metrics stats_;
    std::shared_ptr<const document> document_ = make_document();
    executor_keys keys_{own_instance, secret, key_table_limits{}};
    executor node_{own_instance, upstream_, stats_, keys_, [this] { return document_; }};
    std::map<int, call_result> results_;
    int last_call_ = 0;
};

// Guards against more calls on the upstream than it has slots, and against a queued call that is
// forgotten when a slot becomes free.
TEST_F(executor_test, queues_beyond_the_slots)
{
    execute();
    execute();
    const int queued = execute();
    EXPECT_EQ(upstream_.pending.size(), 2U);
    EXPECT_EQ(node_.report().queues.at(0).length, 1U);
    upstream_.answer(1, 200);
    EXPECT_EQ(upstream_.pending.size(), 2U);
    upstream_.answer(3, 200);
    ASSERT_TRUE(results_.contains(queued));
    EXPECT_EQ(results_[queued].outcome, call_outcome::completed);
    ASSERT_TRUE(results_[queued].load);
    EXPECT_EQ(results_[queued].load->in_flight, 1U);
}

// Guards against a call that runs although its caller has gone, and against a slot that leaks with
// it.
TEST_F(executor_test, removes_a_queued_call_that_is_cancelled)
{
    execute();
    execute();
    service_call call;
    call.cancel = std::make_shared<cancellation>();
    const auto cancel = call.cancel;
    const int queued = execute(call);
    cancel->cancel();
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::not_run);
    EXPECT_EQ(why(queued), reason_code::caller_gone);
    upstream_.answer(1, 200);
    upstream_.answer(2, 200);
    EXPECT_EQ(upstream_.requests.size(), 2U);
    EXPECT_TRUE(node_.idle());
}

// Guards against a running call without a key that goes on for nobody, and against a keyed call
// that is cancelled, whose outcome would become unknown.
TEST_F(executor_test, cancels_a_running_call_only_without_a_key)
{
    service_call plain;
    plain.cancel = std::make_shared<cancellation>();
    service_call keyed = plain;
    keyed.idempotency_key = make_key(1);
    const int first = execute(plain);
    const int second = execute(keyed);
    plain.cancel->cancel();
    EXPECT_EQ(results_.at(first).outcome, call_outcome::unknown);
    EXPECT_FALSE(results_.contains(second));
    upstream_.answer(2, 200);
    EXPECT_EQ(results_.at(second).outcome, call_outcome::completed);
}

// Guards against a keyed call that runs after its key was fenced while it waited in the queue: the
// node that fenced it has told the caller not-run.
TEST_F(executor_test, never_sends_a_queued_call_whose_key_was_fenced)
{
    execute();
    execute();
    service_call keyed;
    keyed.idempotency_key = make_key(1);
    const int queued = execute(keyed);
    const auto settled = keys_.settle(keyed.idempotency_key, ms_clock::now());
    ASSERT_TRUE(settled.ok());
    EXPECT_EQ(settled->state, settle_state::fenced);
    upstream_.answer(1, 200);
    upstream_.answer(2, 200);
    EXPECT_EQ(upstream_.requests.size(), 2U);
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::not_run);
    EXPECT_TRUE(node_.idle());
}

// Guards against a second run of a key that is sent again while it waits or runs.
TEST_F(executor_test, runs_a_repeated_key_once)
{
    service_call keyed;
    keyed.idempotency_key = make_key(1);
    const int first = execute(keyed);
    const int second = execute(keyed);
    EXPECT_EQ(upstream_.requests.size(), 1U);
    upstream_.answer(1, 200);
    EXPECT_EQ(results_.at(first).outcome, call_outcome::completed);
    EXPECT_EQ(results_.at(second).outcome, call_outcome::completed);
    const int late = execute(keyed);
    EXPECT_EQ(results_.at(late).outcome, call_outcome::completed);
    EXPECT_EQ(upstream_.requests.size(), 1U);
}

// Guards against a cancelled call that is sent, when the cancellation comes before the call.
TEST_F(executor_test, ends_a_call_that_was_cancelled_before)
{
    execute();
    execute();
    service_call call;
    call.cancel = std::make_shared<cancellation>();
    call.cancel->cancel();
    const int late = execute(call);
    EXPECT_EQ(why(late), reason_code::caller_gone);
    EXPECT_EQ(upstream_.requests.size(), 2U);
}

// Guards against a node that gives up nearly all slots of an upstream because it rejects requests
// for another reason than its load.
TEST_F(executor_test, keeps_the_slots_of_an_upstream_that_rejects_while_it_has_free_ones)
{
    header_names names;
    names.upstream_load = "Load";
    executor node{own_instance, upstream_, stats_, keys_, [this] { return document_; }, names};
    node.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 8, ""});
    const auto reject = [&](const char* load) {
        service_call call;
        call.service = "ledger";
        call.priority = "read";
        call.deadline = ms_clock::now() + milliseconds{60'000};
        node.execute(own_instance, call, [](const auto&) {});
        upstream_.answer(upstream_.last_id, 503, {{"Load", load}});
    };
    for (int i = 0; i < 20; ++i) {
        reject("3,0,8,100");
    }
    EXPECT_EQ(node.report().limit, 8U);
    reject("8,2,8,100");
    EXPECT_LT(node.report().limit, 8U);
}

// Guards against calls that wait for an upstream that does not come back.
TEST_F(executor_test, refuses_queued_calls_when_the_upstream_goes)
{
    const int running = execute();
    execute();
    const int queued = execute();
    node_.set_upstream(std::nullopt);
    EXPECT_EQ(why(queued), reason_code::no_upstream);
    EXPECT_FALSE(results_.contains(running));
    EXPECT_EQ(why(execute()), reason_code::no_upstream);
    upstream_.answer(1, 200);
    EXPECT_EQ(results_.at(running).outcome, call_outcome::completed);
}

// Guards against a drain that drops queued calls or takes new ones.
TEST_F(executor_test, runs_queued_calls_while_draining)
{
    execute();
    execute();
    const int queued = execute();
    node_.begin_drain();
    EXPECT_EQ(why(execute()), reason_code::draining);
    upstream_.answer(1, 200);
    upstream_.answer(2, 200);
    EXPECT_FALSE(node_.idle());
    upstream_.answer(3, 200);
    EXPECT_EQ(results_.at(queued).outcome, call_outcome::completed);
    EXPECT_TRUE(node_.idle());
}

// Guards against refusals that say nothing of the load, or that are missing for another instance,
// an unknown class or a missing document.
TEST_F(executor_test, refuses_with_reason_and_load)
{
    service_call other_class;
    other_class.priority = "none";
    const int unknown = execute(other_class);
    EXPECT_EQ(why(unknown), reason_code::unknown_priority);
    EXPECT_EQ(results_.at(unknown).load.value().limit, 2U);
    EXPECT_EQ(why(execute({}, own_instance + 1)), reason_code::wrong_instance);
    executor without{own_instance, upstream_, stats_, keys_, [] { return nullptr; }};
    without.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, ""});
    service_call call;
    call.service = "ledger";
    call.deadline = ms_clock::now() + milliseconds{60'000};
    reason_code refused_for = reason_code::none;
    without.execute(own_instance, call, [&](const call_result& got) { refused_for = got.reason; });
    EXPECT_EQ(refused_for, reason_code::no_configuration);
}

// Guards against an upstream that sheds load and is still filled to its slots.
TEST_F(executor_test, lowers_the_limit_when_the_upstream_sheds)
{
    const int shed = execute();
    upstream_.answer(1, 503, {{std::string{header::not_run}, "true"}});
    EXPECT_EQ(why(shed), reason_code::upstream_refused);
    EXPECT_EQ(results_.at(shed).load.value().limit, 1U);
    execute();
    execute();
    EXPECT_EQ(upstream_.pending.size(), 1U);
}

// Guards against a cycle of services that is never noticed: an upstream copies the depth that it
// got into its own calls, so the node has to count the step.
TEST_F(executor_test, counts_the_depth_for_the_upstream)
{
    service_call call;
    call.depth = 3;
    execute(call);
    ASSERT_EQ(upstream_.requests.size(), 1U);
    EXPECT_EQ(find_header(upstream_.requests.begin()->second.headers, header::depth), "4");
}

// Guards against an upstream that goes on working after the deadline of its call.
TEST_F(executor_test, passes_the_remaining_time_on)
{
    execute();
    const auto sent = find_header(upstream_.requests.at(1).headers, header::timeout_ms);
    ASSERT_TRUE(sent);
    EXPECT_LE(std::stoi(std::string{*sent}), 60'000);
    EXPECT_LE(upstream_.timeouts.at(1), milliseconds{60'000});
}

class executor_with_load_header : public executor_test {
protected:
    static header_names names()
    {
        header_names own;
        own.upstream_load = "Load";
        return own;
    }

    executor_with_load_header()
    {
        reporting_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:1", 2, "i-1"});
    }

    reason_code execute_movable(bool movable)
    {
        service_call call;
        call.service = "ledger";
        call.priority = "read";
        call.movable = movable;
        call.repeat = repeatability::repeatable;
        call.deadline = ms_clock::now() + milliseconds{60'000};
        call.request_id = "r";
        reason_code reason = reason_code::internal;
        reporting_.execute(own_instance, call,
                           [&](const call_result& got) { reason = got.reason; });
        return reason;
    }

    executor reporting_{own_instance, upstream_, stats_, keys_, [this] { return document_; },
                        names()};
};

// Guards against calls that start on a VM which its neighbours slow down, although another node
// could take them.
TEST_F(executor_with_load_header, refuses_movable_calls_while_its_upstream_is_slow)
{
    execute_movable(true);
    upstream_.answer(1, 200, {{"Load", "0,0,2,100"}});
    EXPECT_NE(execute_movable(true), reason_code::upstream_slow);
    upstream_.answer(2, 200, {{"Load", "0,0,2,400"}});
    EXPECT_EQ(execute_movable(true), reason_code::upstream_slow);
    EXPECT_EQ(reporting_.report().pace, 4.0);
    EXPECT_NE(execute_movable(false), reason_code::upstream_slow);
}

// Guards against a load header that cannot be read and is taken for a slow or a fast upstream.
TEST_F(executor_with_load_header, ignores_a_damaged_load_header)
{
    for (const char* damaged : {"", "400", "1,2,3", "0,0,2,x", "0,0,2,-4", "0,0,2,400,1"}) {
        execute_movable(true);
        upstream_.answer(upstream_.last_id, 200, {{"Load", damaged}});
    }
    EXPECT_EQ(reporting_.report().pace, 1.0);
}

class executor_with_health_path : public executor_with_load_header {
protected:
    executor_with_health_path()
    {
        auto made = std::make_shared<document>(*document_);
        made->services.front().health_path = "/healthz";
        document_ = std::move(made);
        reporting_.set_upstream(local_upstream{"ledger", "http://127.0.0.1:2", 2, "i-1"});
    }

    bool last_is_probe() const
    {
        return upstream_.requests.at(upstream_.last_id).target == "/healthz";
    }
};

// Guards against a call that starts on a slow VM because nothing has been heard of it lately.
TEST_F(executor_with_health_path, asks_for_the_pace_before_it_starts_a_call)
{
    execute_movable(true);
    ASSERT_TRUE(last_is_probe());
    upstream_.answer(1, 200, {{"Load", "0,0,2,100"}});
    EXPECT_EQ(upstream_.last_id, 2U);
    EXPECT_FALSE(last_is_probe());
    execute_movable(true);
    EXPECT_FALSE(last_is_probe());
    EXPECT_EQ(upstream_.last_id, 3U);
}

// Guards against calls that wait for an upstream which does not answer its health path.
TEST_F(executor_with_health_path, does_not_wait_for_a_pace_that_is_not_told)
{
    execute_movable(true);
    ASSERT_TRUE(last_is_probe());
    upstream_.end(1, {http_error::timed_out, {}, milliseconds{50}});
    EXPECT_EQ(upstream_.last_id, 2U);
    execute_movable(true);
    EXPECT_EQ(upstream_.last_id, 3U);
    EXPECT_FALSE(last_is_probe());
}

} // namespace
} // namespace chestnutstand
