#include "chestnutstand/transport/node_server.h"

#include "body_message.h"
#include "node_call_paths.h"
#include "wire_convert.h"

#include "chestnutstand/support/str_cat.h"
#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"

#include <algorithm>
#include <utility>

namespace chestnutstand {
namespace {

constexpr int status_ok = 200;
/// A document of 2 MiB over a link of 10 Mbit/s that carries calls as well.
constexpr milliseconds max_changes_transfer{5'000};
constexpr int status_unavailable = 503;

std::string url_of(const node_reference& target)
{
    return str_cat("http://", target.address, ":", target.node_port);
}

absl::Status status_of(const http_result& result)
{
    if (result.error == http_error::connect_failed) {
        return absl::UnavailableError("cannot connect to the node");
    }
    if (result.error == http_error::timed_out) {
        return absl::DeadlineExceededError("the request to the node timed out");
    }
    if (result.error != http_error::none) {
        return absl::UnknownError("no complete response was received from the node");
    }
    if (result.response.status == status_ok) {
        return absl::OkStatus();
    }
    const std::string message = str_cat("the node responded with status ", result.response.status,
                                        ": ", result.response.body.view());
    return result.response.status == status_unavailable ? absl::UnavailableError(message)
                                                        : absl::UnknownError(message);
}

/// Maps the end of an exchange to the result of the call. Only a connection that was never
/// established proves that the node did not receive the call.
call_result result_of(http_result result)
{
    if (result.error == http_error::connect_failed) {
        return not_run(reason_code::peer_unreachable);
    }
    // A node that refuses a call for its size has not read all of it.
    if (result.error == http_error::none && result.response.status == status_unavailable &&
        find_header(result.response.headers, header::reason) ==
            to_string(reason_code::memory_exhausted)) {
        return not_run(reason_code::memory_exhausted);
    }
    wire::ExecuteReply reply;
    if (!status_of(result).ok() || !parse_content(result.response.body, reply, response_body)) {
        return unknown_outcome(reason_code::peer_connection_lost);
    }
    call_result ended = from_wire(reply);
    if (!result.response.body.empty()) {
        ended.response.body = std::move(result.response.body);
    }
    return ended;
}

/// Reports a forward that got no reply as owner_unreachable with an unknown outcome, as an earlier
/// copy of the call may have run.
call_result map_to_owner_unreachable(call_result result)
{
    const bool no_reply = !result.load && (result.reason == reason_code::peer_unreachable ||
                                           result.reason == reason_code::peer_connection_lost);
    return no_reply ? unknown_outcome(reason_code::owner_unreachable) : std::move(result);
}

class http_peer_client final : public peer_client {
public:
    explicit http_peer_client(http_client& client) : client_{client} {}

    void execute(const node_reference& target, const service_call& call, call_done done) override
    {
        wire::ExecuteRequest request;
        request.set_target_instance(target.instance);
        *request.mutable_call() = head_to_wire(call);
        send_call(
            target, node_path::execute, request, call,
            [done = std::move(done)](http_result result) { done(result_of(std::move(result))); });
    }

    void forward(const node_reference& owner, const service_call& call, bool query_only,
                 call_done done) override
    {
        wire::ForwardRequest request;
        request.set_target_instance(owner.instance);
        request.set_query_only(query_only);
        *request.mutable_call() = head_to_wire(call);
        send_call(owner, node_path::forward, request, call,
                  [done = std::move(done)](http_result result) {
                      done(map_to_owner_unreachable(result_of(std::move(result))));
                  });
    }

    void settle(const node_reference& executor, const std::string& key, milliseconds timeout,
                settle_done done) override
    {
        wire::SettleRequest request;
        request.set_target_instance(executor.instance);
        request.set_idempotency_key(key);
        // The pooled connection on which the call's reply was lost may lose this reply as well.
        query<wire::SettleReply>(executor, node_path::settle, request, timeout, true,
                                 std::move(done));
    }

    void probe(const node_reference& target, milliseconds timeout, probe_done done) override
    {
        query<wire::LoadReport>(target, node_path::probe, wire::ProbeRequest{}, timeout, false,
                                std::move(done));
    }

    void fetch_changes(const node_reference& target, const fetch_request& request,
                       milliseconds timeout, changes_done done) override
    {
        http_request http_message = make_request(node_path::changes, to_wire(request));
        http_message.response_start_timeout = timeout;
        query<wire::FetchChangesReply>(target, std::move(http_message),
                                       timeout + max_changes_transfer, std::move(done));
    }

    void sync_members(const node_reference& target, std::vector<std::string> members,
                      milliseconds timeout, members_done done) override
    {
        wire::SyncMembersMessage request;
        request.mutable_members()->Add(members.begin(), members.end());
        query<wire::SyncMembersMessage>(target, node_path::members, request, timeout, false,
                                        std::move(done));
    }

    void acquire_quota(const node_reference& target, const quota_request& request,
                       milliseconds timeout, quota_done done) override
    {
        query<wire::QuotaReply>(target, node_path::quota, to_wire(request), timeout, false,
                                std::move(done));
    }

private:
    template <typename Request>
    static http_request make_request(const char* path, const Request& request)
    {
        return {"POST", path, {}, request.SerializeAsString()};
    }

    template <typename Request>
    void send_call(const node_reference& target, const char* path, const Request& request,
                   const service_call& call, http_client::http_done&& done)
    {
        const milliseconds left = call.deadline - ms_clock::now() + reply_grace_period;
        http_request http_message{"POST", path, {}, {}};
        set_content(http_message, request, call_body, call.request.body);
        http_message.fresh_connection = call.request.fresh_connection;
        const auto id = client_.send(url_of(target), std::move(http_message),
                                     std::max(left, milliseconds{1}), std::move(done));
        if (call.cancel) {
            call.cancel->on_cancel([&client = client_, id] { client.cancel(id); });
        }
    }

    template <typename Reply, typename Request, typename Done>
    void query(const node_reference& target, const char* path, const Request& request,
               milliseconds timeout, bool fresh_connection, Done done)
    {
        http_request http_message = make_request(path, request);
        http_message.fresh_connection = fresh_connection;
        query<Reply>(target, std::move(http_message), timeout, std::move(done));
    }

    template <typename Reply, typename Done>
    void query(const node_reference& target, http_request&& http_message, milliseconds timeout,
               Done done)
    {
        client_.send(url_of(target), std::move(http_message), timeout,
                     [done = std::move(done)](const http_result& result) {
                         const auto status = status_of(result);
                         Reply reply;
                         if (!status.ok()) {
                             done(status);
                         }
                         else if (!reply.ParseFromString(result.response.body)) {
                             done(absl::DataLossError(
                                 "the response of the node is not a valid Protobuf message"));
                         }
                         else {
                             done(from_wire(reply));
                         }
                     });
    }

    http_client& client_;
};

} // namespace

std::unique_ptr<peer_client> make_http_peer_client(http_client& client)
{
    return std::make_unique<http_peer_client>(client);
}

} // namespace chestnutstand
