#include "chestnutstand/config/http_log_client.h"

#include "json_text.h"

#include "chestnutstand/support/str_cat.h"

#include <absl/strings/escaping.h>

#include <utility>

namespace chestnutstand {
namespace {

using nlohmann::json;

constexpr milliseconds log_timeout{2000};

absl::Status to_status(const http_result& result)
{
    switch (result.error) {
    case http_error::none:
        break;
    case http_error::connect_failed:
        return absl::UnavailableError("no connection to the log service");
    case http_error::timed_out:
        return absl::DeadlineExceededError("the log service did not answer in time");
    case http_error::too_large:
        return absl::ResourceExhaustedError("the answer of the log service is too large");
    case http_error::malformed:
        return absl::DataLossError("the answer of the log service is not a valid HTTP response");
    case http_error::connection_lost:
    case http_error::truncated:
    case http_error::unframed:
    case http_error::cancelled:
        return absl::UnknownError("the connection to the log service was lost");
    }
    const int status = result.response.status;
    return status / 100 == 2
               ? absl::OkStatus()
               : absl::UnknownError(str_cat("the log service answered status ", status));
}

absl::StatusOr<json> to_json(const http_result& result)
{
    if (auto status = to_status(result); !status.ok()) {
        return status;
    }
    return parse_json(result.response.body, "log service");
}

bool is_offset(const json& object, const char* key)
{
    return object.is_object() && object.contains(key) && object[key].is_number_unsigned();
}

absl::StatusOr<std::uint64_t> to_offset(const http_result& result)
{
    const auto value = to_json(result);
    if (!value.ok()) {
        return value.status();
    }
    if (!is_offset(*value, "offset")) {
        return absl::UnknownError("the log service answered without an offset");
    }
    return (*value)["offset"].get<std::uint64_t>();
}

absl::StatusOr<log_record> to_record(const json& value)
{
    log_record record;
    const bool valid =
        is_offset(value, "offset") && value.contains("payload") && value["payload"].is_string() &&
        absl::Base64Unescape(value["payload"].get_ref<const std::string&>(), &record.payload);
    if (!valid) {
        return absl::UnknownError("the log service answered with an invalid record");
    }
    record.offset = value["offset"].get<std::uint64_t>();
    if (value.contains("age_ms") && value["age_ms"].is_number()) {
        record.age = milliseconds{value["age_ms"].get<double>()};
    }
    return record;
}

absl::StatusOr<log_page> to_page(const http_result& result)
{
    const auto value = to_json(result);
    if (!value.ok()) {
        return value.status();
    }
    if (!is_offset(*value, "first") || !is_offset(*value, "next") || !value->contains("records") ||
        !(*value)["records"].is_array()) {
        return absl::UnknownError("the log service answered with an invalid page");
    }
    log_page page;
    page.first = (*value)["first"].get<std::uint64_t>();
    page.next = (*value)["next"].get<std::uint64_t>();
    for (const auto& element : (*value)["records"]) {
        auto record = to_record(element);
        if (!record.ok()) {
            return record.status();
        }
        page.records.push_back(*std::move(record));
    }
    return page;
}

std::string records_target(const std::string& stream)
{
    return str_cat("/streams/", stream, "/records");
}

} // namespace

http_log_client::http_log_client(http_client& client, std::string base_url)
    : client_{client}, base_url_{std::move(base_url)}
{
}

void http_log_client::append(const std::string& stream, std::string payload, append_done done)
{
    http_request request{"POST", records_target(stream), {}, std::move(payload)};
    request.headers.push_back({"Content-Type", "application/octet-stream"});
    client_.send(base_url_, std::move(request), log_timeout,
                 [done = std::move(done)](const http_result& result) { done(to_offset(result)); });
}

void http_log_client::read(const std::string& stream, std::uint64_t from, std::uint32_t limit,
                           read_done done)
{
    http_request request{
        "GET", str_cat(records_target(stream), "?from=", from, "&limit=", limit), {}, ""};
    client_.send(base_url_, std::move(request), log_timeout,
                 [done = std::move(done)](const http_result& result) { done(to_page(result)); });
}

} // namespace chestnutstand
