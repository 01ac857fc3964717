#include "wire_convert.h"

#include "chestnutstand/support/compression.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace chestnutstand {
namespace {

template <typename Fields>
void headers_to_wire(const std::vector<http_header>& from, Fields* to)
{
    for (const auto& field : from) {
        auto* added = to->Add();
        added->set_name(field.name);
        added->set_value(field.value);
    }
}

template <typename Fields>
std::vector<http_header> headers_from_wire(const Fields& from)
{
    std::vector<http_header> headers;
    headers.reserve(static_cast<std::size_t>(from.size()));
    for (const auto& field : from) {
        headers.push_back({field.name(), field.value()});
    }
    return headers;
}

void response_head_to_wire(const http_response& from, wire::HttpResponse* to)
{
    to->set_status(static_cast<std::uint32_t>(from.status));
    headers_to_wire(from.headers, to->mutable_headers());
}

http_response response_from_wire(const wire::HttpResponse& from)
{
    return {static_cast<int>(from.status()), headers_from_wire(from.headers()), from.body()};
}

/// Longer than any call, and short enough for arithmetic with the clock.
constexpr double max_duration_ms = 86'400'000.0;
constexpr int lowest_final_status = 200;
constexpr int highest_status = 599;

/// A duration from a message, which may hold any number.
milliseconds duration_from_wire(double ms)
{
    return milliseconds{std::isnan(ms) ? 0.0 : std::clamp(ms, -max_duration_ms, max_duration_ms)};
}

bool is_final_status(int status)
{
    return status >= lowest_final_status && status <= highest_status;
}

constexpr std::array wire_outcomes{wire::OUTCOME_COMPLETED, wire::OUTCOME_NOT_RUN,
                                   wire::OUTCOME_UNKNOWN};

constexpr std::array wire_repeatabilities{
    wire::REPEATABILITY_BY_CLASS, wire::REPEATABILITY_REPEATABLE, wire::REPEATABILITY_AT_MOST_ONCE};

constexpr std::array wire_settle_states{wire::SETTLE_COMPLETED, wire::SETTLE_RUNNING,
                                        wire::SETTLE_FENCED, wire::SETTLE_UNKNOWN,
                                        wire::SETTLE_WRONG_INSTANCE};

constexpr std::array wire_quota_kinds{wire::QUOTA_ACQUIRE, wire::QUOTA_RELAYED,
                                      wire::QUOTA_TAKE_OVER};

/// Enumerator for a wire value; the fallback for a value that this version does not know.
template <typename Values, typename Value, typename Enum>
Enum value_from_wire(const Values& values, Value wanted, Enum fallback)
{
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (values[i] == wanted) {
            return static_cast<Enum>(i);
        }
    }
    return fallback;
}

} // namespace

wire::Call to_wire(const service_call& call)
{
    wire::Call message = head_to_wire(call);
    message.mutable_request()->set_body(call.request.body.str());
    return message;
}

wire::Call head_to_wire(const service_call& call)
{
    wire::Call message;
    message.set_service(call.service);
    message.set_priority(call.priority);
    message.set_depth(call.depth);
    message.set_retry_budget(call.retry_budget);
    message.set_timeout_ms((call.deadline - ms_clock::now()).count());
    message.set_idempotency_key(call.idempotency_key);
    message.set_request_id(call.request_id);
    message.set_movable(call.movable);
    message.set_tenant(call.tenant);
    if (call.due) {
        message.set_target_left_ms((*call.due - ms_clock::now()).count());
    }
    message.set_key_id(call.key_id);
    message.set_document_version(call.document_version);
    message.set_repeatability(wire_repeatabilities.at(static_cast<std::size_t>(call.repeat)));
    auto* request = message.mutable_request();
    request->set_method(call.request.method);
    request->set_target(call.request.target);
    headers_to_wire(call.request.headers, request->mutable_headers());
    return message;
}

service_call from_wire(const wire::Call& call)
{
    service_call result;
    result.service = call.service();
    result.priority = call.priority();
    result.deadline = ms_clock::now() + duration_from_wire(call.timeout_ms());
    result.depth = call.depth();
    result.retry_budget = call.retry_budget();
    result.idempotency_key = call.idempotency_key();
    result.request_id = call.request_id();
    result.movable = call.movable();
    result.tenant = call.tenant();
    if (call.has_target_left_ms()) {
        result.due = ms_clock::now() + duration_from_wire(call.target_left_ms());
    }
    result.key_id = call.key_id();
    result.document_version = call.document_version();
    // An unknown value must not make the call repeatable.
    result.repeat =
        value_from_wire(wire_repeatabilities, call.repeatability(), repeatability::at_most_once);
    result.request.method = call.request().method();
    result.request.target = call.request().target();
    result.request.headers = headers_from_wire(call.request().headers());
    result.request.body = call.request().body();
    return result;
}

wire::LoadReport to_wire(const load_report& load)
{
    wire::LoadReport message;
    message.set_instance(load.instance);
    message.set_in_flight(load.in_flight);
    message.set_limit(load.limit);
    for (const auto& queue : load.queues) {
        auto* added = message.add_queues();
        added->set_priority(queue.priority);
        added->set_length(queue.length);
    }
    message.set_latency_ms(load.latency.count());
    message.set_draining(load.draining);
    message.set_upstream_registered(load.upstream_registered);
    message.set_pace(load.pace);
    return message;
}

load_report from_wire(const wire::LoadReport& load)
{
    load_report result;
    result.instance = load.instance();
    result.in_flight = load.in_flight();
    result.limit = load.limit();
    for (const auto& queue : load.queues()) {
        result.queues.push_back({queue.priority(), queue.length()});
    }
    result.latency = duration_from_wire(load.latency_ms());
    result.draining = load.draining();
    result.upstream_registered = load.upstream_registered();
    result.pace = load.pace() > 0.0 && std::isfinite(load.pace()) ? load.pace() : 1.0;
    return result;
}

wire::ExecuteReply to_wire(const call_result& result)
{
    wire::ExecuteReply reply = head_to_wire(result);
    if (result.outcome == call_outcome::completed) {
        reply.mutable_response()->set_body(result.response.body.str());
    }
    return reply;
}

wire::ExecuteReply head_to_wire(const call_result& result)
{
    wire::ExecuteReply reply;
    reply.set_outcome(wire_outcomes.at(static_cast<std::size_t>(result.outcome)));
    reply.set_reason(std::string{to_string(result.reason)});
    if (result.outcome == call_outcome::completed) {
        response_head_to_wire(result.response, reply.mutable_response());
    }
    if (result.load) {
        *reply.mutable_load() = to_wire(*result.load);
    }
    return reply;
}

call_result from_wire(const wire::ExecuteReply& reply)
{
    call_result result;
    result.outcome = value_from_wire(wire_outcomes, reply.outcome(), call_outcome::unknown);
    result.reason = reason_names.find(reply.reason()).value_or(reason_code::internal);
    if (reply.has_response()) {
        result.response = response_from_wire(reply.response());
    }
    if (result.outcome == call_outcome::completed && !is_final_status(result.response.status)) {
        result = unknown_outcome(reason_code::internal);
    }
    if (reply.has_load()) {
        result.load = from_wire(reply.load());
    }
    return result;
}

wire::SettleReply to_wire(const settle_result& result)
{
    wire::SettleReply reply;
    reply.set_state(wire_settle_states.at(static_cast<std::size_t>(result.state)));
    if (result.state == settle_state::completed) {
        response_head_to_wire(result.response, reply.mutable_response());
        reply.mutable_response()->set_body(result.response.body.str());
    }
    reply.set_reason(std::string{to_string(result.reason)});
    if (result.request) {
        reply.set_request(std::string{result.request->begin(), result.request->end()});
    }
    return reply;
}

settle_result from_wire(const wire::SettleReply& reply)
{
    settle_result result;
    result.state = value_from_wire(wire_settle_states, reply.state(), settle_state::unknown);
    result.response = response_from_wire(reply.response());
    result.reason = reason_names.find(reply.reason()).value_or(reason_code::internal);
    if (result.state == settle_state::completed && !is_final_status(result.response.status)) {
        result.state = settle_state::unknown;
    }
    if (reply.request().size() == fingerprint{}.size()) {
        result.request.emplace();
        std::copy(reply.request().begin(), reply.request().end(), result.request->begin());
    }
    return result;
}

wire::FetchChangesRequest to_wire(const fetch_request& request)
{
    wire::FetchChangesRequest message;
    message.set_from_offset(request.from_offset);
    message.set_read_source(request.read_source);
    message.set_source_offset(request.source_offset);
    message.set_source_era(request.source_era);
    message.set_accepts_compressed(request.accepts_compressed);
    return message;
}

fetch_request from_wire(const wire::FetchChangesRequest& message)
{
    return {message.from_offset(), message.read_source(), message.source_offset(),
            message.source_era(), message.accepts_compressed()};
}

wire::FetchChangesReply to_wire(const fetched_changes& changes)
{
    wire::FetchChangesReply reply;
    for (const auto& record : changes.records) {
        auto* added = reply.add_records();
        added->set_offset(record.offset);
        if (record.compressed.empty()) {
            added->set_payload(record.payload);
            continue;
        }
        added->set_compressed_payload(record.compressed);
        added->set_payload_bytes(record.payload.size());
    }
    reply.set_starts_with_checkpoint(changes.starts_with_checkpoint);
    reply.set_source_read(changes.source_read);
    return reply;
}

absl::StatusOr<fetched_changes> from_wire(const wire::FetchChangesReply& reply)
{
    fetched_changes changes;
    for (const auto& record : reply.records()) {
        if (record.compressed_payload().empty()) {
            changes.records.push_back({record.offset(), record.payload()});
            continue;
        }
        auto payload = decompress(record.compressed_payload(), record.payload_bytes());
        if (!payload.ok()) {
            return payload.status();
        }
        changes.records.push_back(
            {record.offset(), *std::move(payload), record.compressed_payload()});
    }
    changes.starts_with_checkpoint = reply.starts_with_checkpoint();
    changes.source_read = reply.source_read();
    return changes;
}

wire::SyncMembersMessage to_wire(const std::vector<std::string>& members)
{
    wire::SyncMembersMessage message;
    message.mutable_members()->Add(members.begin(), members.end());
    return message;
}

std::vector<std::string> from_wire(const wire::SyncMembersMessage& message)
{
    return {message.members().begin(), message.members().end()};
}

wire::QuotaRequest to_wire(const quota_request& request)
{
    wire::QuotaRequest message;
    message.set_tenant(request.tenant);
    message.set_tokens(request.tokens);
    message.set_document_version(request.document_version);
    message.set_kind(wire_quota_kinds.at(static_cast<std::size_t>(request.kind)));
    message.set_sender(request.sender);
    message.set_members_known(request.members_known);
    return message;
}

quota_request from_wire(const wire::QuotaRequest& message)
{
    // An unknown kind is read as relayed, which is never passed on.
    return {message.tenant(),
            message.tokens(),
            message.document_version(),
            value_from_wire(wire_quota_kinds, message.kind(), quota_request_kind::relayed),
            message.sender(),
            message.members_known()};
}

wire::QuotaReply to_wire(const quota_reply& reply)
{
    wire::QuotaReply message;
    message.set_granted(reply.granted);
    message.set_retry_after_ms(reply.retry_after.count());
    message.set_decided(reply.decided);
    message.set_members_known(reply.members_known);
    return message;
}

quota_reply from_wire(const wire::QuotaReply& message)
{
    // Written so that a value that is not a number is read as 0.
    const double delay_ms = message.retry_after_ms() > 0.0 ? message.retry_after_ms() : 0.0;
    return {message.granted(), milliseconds{delay_ms}, message.decided(), message.members_known()};
}

} // namespace chestnutstand
