#include "chestnutstand/node/problem.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/str_format.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace chestnutstand {
namespace {

constexpr std::string_view default_retry_after_seconds = "1";

std::string in_seconds(milliseconds time)
{
    return absl::StrFormat("%.3f", time.count() / 1000.0);
}

std::string default_detail(outcome how)
{
    switch (how) {
    case outcome::not_run:
        return "no upstream has run the request";
    case outcome::unknown:
        return "the request may or may not have run";
    case outcome::completed:
        break;
    }
    return "";
}

} // namespace

int status_of(outcome how, reason why)
{
    switch (why) {
    case reason::malformed_request:
    case reason::unknown_priority:
    case reason::malformed_deadline:
    case reason::malformed_key:
    case reason::depth_exceeded:
        return 400;
    case reason::unknown_service:
    case reason::unknown_route:
        return 404;
    case reason::stale_key:
    case reason::key_expired:
    case reason::key_fenced:
    case reason::key_running:
        return 409;
    case reason::body_too_large:
        return 413;
    case reason::key_reused:
        return 422;
    case reason::key_required:
        return 428;
    case reason::headers_too_large:
        return 431;
    case reason::deadline_exceeded:
    case reason::upstream_timeout:
    case reason::time_limit:
        return 504;
    default:
        return how == outcome::unknown ? 502 : 503;
    }
}

http_response make_problem(outcome how, reason why, std::string_view detail, int status)
{
    http_response response;
    response.status = status == 0 ? status_of(how, why) : status;
    nlohmann::ordered_json body;
    body["type"] = "urn:chestnutstand:reason:" + std::string{to_string(why)};
    body["title"] = to_string(why);
    body["status"] = response.status;
    body["detail"] = detail.empty() ? default_detail(how) : std::string{detail};
    body["outcome"] = to_string(how);
    body["reason"] = to_string(why);
    // A caller may have put invalid UTF-8 into a name that the detail repeats.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.headers.push_back({"Content-Type", "application/problem+json"});
    response.headers.push_back({std::string{header::outcome}, std::string{to_string(how)}});
    response.headers.push_back({std::string{header::reason}, std::string{to_string(why)}});
    if (response.status == 503) {
        response.headers.push_back({"Retry-After", std::string{default_retry_after_seconds}});
    }
    return response;
}

http_response make_routed_response(call_result result, milliseconds retry_after)
{
    if (result.outcome == outcome::completed) {
        return std::move(result.response);
    }
    const int promise = 503;
    auto made = make_problem(result.outcome, result.why, {},
                             result.outcome == outcome::not_run ? promise : 0);
    if (made.status == promise) {
        set_header(made.headers, "Retry-After", in_seconds(retry_after));
    }
    return made;
}

http_response make_response(call_result result)
{
    if (result.outcome != outcome::completed) {
        return make_problem(result.outcome, result.why);
    }
    result.response.headers.push_back(
        {std::string{header::outcome}, std::string{to_string(outcome::completed)}});
    return std::move(result.response);
}

} // namespace chestnutstand
