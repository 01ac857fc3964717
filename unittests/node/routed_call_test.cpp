#include "dispatcher_fixture.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/node/call_parser.h"
#include "chestnutstand/node/ingress.h"
#include "chestnutstand/node/problem.h"
#include "chestnutstand/node/upstream_exchange.h"
#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace chestnutstand {
namespace {

document make_document()
{
    const auto parsed = parse_record(R"({"version": 1, "services": [{"name": "ledger"}], "routes": [
        {"name": "view", "host": "shop.example", "path_prefix": "/view/", "service": "ledger",
         "kind": "idempotent", "timeout_ms": 800, "attempts": 3, "rank": 1},
        {"name": "pay", "host": "shop.example", "path_prefix": "/pay/", "service": "ledger",
         "timeout_ms": 1000},
        {"name": "file", "host": "shop.example", "path_prefix": "/file/", "service": "ledger",
         "kind": "upload", "timeout_ms": 1000, "attempts": 3}]})",
                                     "record");
    EXPECT_TRUE(parsed.ok()) << parsed.status();
    return *parsed;
}

class routed_call : public testing::Test {
protected:
    routed_call()
    {
        names_.request_id = "Request-Id";
        names_.timeout_ms = "Deadline-Ms";
        names_.idempotency_key.clear();
        names_.not_run = "Not-Executed";
        names_.upstream_id = "Expect-Instance";
        names_.origin_service = "Caller-Service";
        names_.priority.clear();
        names_.depth.clear();
        names_.retry_budget.clear();
    }

    std::variant<service_call, refusal> parse(const std::string& target,
                                              std::vector<http_header> headers = {})
    {
        http_request request{"POST", target, std::move(headers), "body"};
        request.headers.push_back({"Host", "shop.example"});
        return parse_routed_call(request, &document_, names_, 0.0, now_);
    }

    service_call parsed(const std::string& target, std::vector<http_header> headers = {})
    {
        auto result = parse(target, std::move(headers));
        EXPECT_TRUE(std::holds_alternative<service_call>(result));
        return std::get<service_call>(std::move(result));
    }

    reason_code refused(const std::string& target, std::vector<http_header> headers = {})
    {
        const auto result = parse(target, std::move(headers));
        const auto* found = std::get_if<refusal>(&result);
        return found == nullptr ? reason_code::none : found->reason;
    }

    call_result judge(const service_call& call, int status, std::vector<http_header> headers)
    {
        headers.push_back({"request-id", call.request_id});
        http_result result;
        result.response = {status, std::move(headers), "answer"};
        return classify_upstream_response(call, std::move(result), names_);
    }

    document document_ = make_document();
    header_names names_;
    time_point now_ = ms_clock::now();
};

// Guards against repeating a call although its route forbids it, and against a longer deadline of
// the caller that overrides the timeout of the route.
TEST_F(routed_call, takes_repeatability_and_limits_from_the_route)
{
    const service_call view = parsed("/view/1?q", {{"Request-Id", "r1"}, {"Deadline-Ms", "2500"}});
    EXPECT_EQ(view.service, "ledger");
    EXPECT_EQ(view.priority, class_name_of(document_.routes.front()));
    EXPECT_EQ(view.repeat, repeatability::repeatable);
    EXPECT_EQ(view.retry_budget, 2U);
    EXPECT_EQ(view.request_id, "r1");
    EXPECT_EQ(view.deadline, now_ + milliseconds{800});
    EXPECT_EQ(view.request.target, "/view/1?q");
    const service_call pay = parsed("/pay/", {{"Deadline-Ms", "300"}});
    EXPECT_EQ(pay.repeat, repeatability::at_most_once);
    EXPECT_EQ(pay.deadline, now_ + milliseconds{300});
    EXPECT_EQ(refused("/other/"), reason_code::unknown_route);
    EXPECT_EQ(refused("/pay/", {{"Deadline-Ms", "soon"}}), reason_code::malformed_deadline);
}

// Guards against an upload that runs twice, or that is begun behind a response which may close the
// connection.
TEST_F(routed_call, upload_is_handled_as_not_idempotent)
{
    const service_call file = parsed("/file/1");
    EXPECT_EQ(file.repeat, repeatability::at_most_once);
    EXPECT_EQ(file.request.body, "body");
    EXPECT_FALSE(document_.routes.at(2).idempotent());

    snapshot<document> in_force;
    metrics stats;
    snapshot<routing_table> members;
    testing::NiceMock<mock_peer_client> peers;
    dispatcher dispatch{peers, nullptr, members, in_force, stats, {}};
    ingress_options options;
    options.interface_for_callers = caller_interface::routes;
    const ingress entry{options, in_force, dispatch, nullptr, stats};
    const auto may_overtake = [&](const std::string& target) {
        return entry.may_overtake({"GET", target, {{"Host", "shop.example"}}, ""});
    };
    EXPECT_FALSE(may_overtake("/view/1"));
    in_force.store(std::make_shared<document>(document_));
    EXPECT_TRUE(may_overtake("/view/1"));
    EXPECT_FALSE(may_overtake("/pay/1"));
    EXPECT_FALSE(may_overtake("/file/1"));
    EXPECT_FALSE(may_overtake("/unknown/1"));
    options.interface_for_callers = caller_interface::calls;
    const ingress calls{options, in_force, dispatch, nullptr, stats};
    EXPECT_FALSE(calls.may_overtake({"GET", "/view/1", {{"Host", "shop.example"}}, ""}));
}

// Guards against dropping headers of the caller, and against forwarding headers of the caller that
// only the system may set.
TEST_F(routed_call, forwards_all_headers_except_those_the_system_sets)
{
    const service_call call = parsed("/pay/1", {{"Request-Id", "r1"},
                                                {"Idempotency-Key", "theirs"},
                                                {"Caller-Service", "forged"},
                                                {"Expect-Instance", "forged"},
                                                {"Connection", "X-Hop"},
                                                {"X-Hop", "1"},
                                                {"X-Trace", "t"}});
    const http_request sent = make_upstream_request(call, names_, "i-1");
    EXPECT_EQ(find_header(sent.headers, "host"), "shop.example");
    EXPECT_EQ(find_header(sent.headers, "Idempotency-Key"), "theirs");
    EXPECT_EQ(find_header(sent.headers, "X-Trace"), "t");
    EXPECT_EQ(find_header(sent.headers, "Request-Id"), "r1");
    EXPECT_EQ(find_header(sent.headers, "Expect-Instance"), "i-1");
    EXPECT_FALSE(find_header(sent.headers, "Caller-Service"));
    EXPECT_FALSE(find_header(sent.headers, "X-Hop"));
    EXPECT_EQ(sent.body, "body");
}

// Guards against treating a refusal of the upstream as a completed call, and against delivering the
// response to another request.
TEST_F(routed_call, detects_refusals_and_responses_to_other_requests)
{
    const service_call call = parsed("/pay/1", {{"Request-Id", "r1"}});
    EXPECT_EQ(judge(call, 503, {{"Not-Executed", "1"}}).reason, reason_code::upstream_refused);
    EXPECT_EQ(judge(call, 429, {{"Not-Executed", "1"}}).outcome, call_outcome::not_run);
    EXPECT_EQ(judge(call, 421, {}).reason, reason_code::upstream_replaced);
    EXPECT_EQ(judge(call, 503, {}).outcome, call_outcome::completed);
    EXPECT_EQ(judge(call, 500, {}).outcome, call_outcome::completed);
    service_call other = call;
    other.request_id = "r2";
    http_result mismatched;
    mismatched.response = {200, {{"Request-Id", "r1"}}, "answer"};
    EXPECT_EQ(classify_upstream_response(other, mismatched, names_).outcome, call_outcome::unknown);
}

// Guards against dropping a response without a length, which ends with its connection, and against
// delivering a truncated response.
TEST_F(routed_call, delivers_response_that_ends_with_its_connection)
{
    const service_call call = parsed("/pay/1", {{"Request-Id", "r1"}});
    http_result ended;
    ended.error = http_error::unframed;
    ended.response = {200, {{"Request-Id", "r1"}}, "answer"};
    EXPECT_EQ(classify_upstream_response(call, ended, names_).outcome, call_outcome::completed);
    ended.error = http_error::truncated;
    EXPECT_EQ(classify_upstream_response(call, ended, names_).outcome, call_outcome::unknown);
}

// Guards against status 503, which guarantees that the request has not run, for a request that may
// have run.
TEST_F(routed_call, returns_503_or_429_only_if_the_call_has_not_run)
{
    EXPECT_EQ(
        make_routed_response(not_run(reason_code::deadline_exceeded), milliseconds{250}).status,
        503);
    EXPECT_EQ(make_routed_response(not_run(reason_code::queue_full), milliseconds{250}).status,
              503);
    EXPECT_EQ(
        make_routed_response(unknown_outcome(reason_code::time_limit), milliseconds{250}).status,
        504);
    EXPECT_EQ(
        make_routed_response(unknown_outcome(reason_code::peer_connection_lost), milliseconds{250})
            .status,
        502);
    for (std::size_t i = 0; i < reason_count; ++i) {
        const auto reason = static_cast<reason_code>(i);
        const int status = make_routed_response(unknown_outcome(reason), milliseconds{250}).status;
        EXPECT_TRUE(status == 502 || status == 504) << to_string(reason);
        const auto refused = make_routed_response(not_run(reason), milliseconds{250});
        EXPECT_EQ(refused.status, reason == reason_code::quota_exceeded ? 429 : 503);
        EXPECT_EQ(find_header(refused.headers, "Retry-After"), "0.250") << to_string(reason);
    }
}

} // namespace
} // namespace chestnutstand
