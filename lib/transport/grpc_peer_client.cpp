#include "chestnutstand/transport/node_server.h"

#include "node_call_paths.h"
#include "wire_convert.h"

#include "node.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string_view>
#include <utility>

namespace chestnutstand {
namespace {

constexpr int keepalive_interval_ms = 10'000;
constexpr int keepalive_timeout_ms = 2'000;
constexpr int max_reconnect_backoff_ms = 1'000;
constexpr int min_reconnect_backoff_ms = 50;
constexpr int max_message_bytes = 16 << 20;

std::chrono::system_clock::time_point system_deadline(milliseconds timeout)
{
    return std::chrono::system_clock::now() +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(
               std::max(timeout, milliseconds{1}));
}

absl::Status to_absl(const grpc::Status& status)
{
    return {static_cast<absl::StatusCode>(status.error_code()), status.error_message()};
}

/// Reports a forward that got no reply as owner_unreachable with an unknown outcome, as an earlier
/// copy of the call may have run.
call_done map_to_owner_unreachable(call_done done)
{
    return [done = std::move(done)](call_result result) {
        const bool no_reply = !result.load && (result.reason == reason_code::peer_unreachable ||
                                               result.reason == reason_code::peer_connection_lost);
        done(no_reply ? unknown_outcome(reason_code::owner_unreachable) : std::move(result));
    };
}

/// State of one RPC; owned by its callback and freed with it.
template <typename Request, typename Reply>
struct unary_call {
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

/// Callback of an RPC that passes the converted reply or the error to done.
template <typename State, typename Done, typename Convert>
auto on_reply(std::shared_ptr<State> state, Done done, Convert convert)
{
    return [state = std::move(state), done = std::move(done), convert](const grpc::Status& status) {
        if (!status.ok()) {
            done(to_absl(status));
            return;
        }
        done(convert(state->reply));
    };
}

class grpc_peer_client final : public peer_client {
public:
    void execute(const node_reference& target, const service_call& call, call_done done) override
    {
        auto state = std::make_shared<unary_call<wire::ExecuteRequest, wire::ExecuteReply>>();
        state->request.set_target_instance(target.instance);
        *state->request.mutable_call() = to_wire(call);
        start_call(target, call, state, std::move(done),
                   [](auto* stub, auto& call_state, auto on_end) {
                       stub->async()->Execute(&call_state.context, &call_state.request,
                                              &call_state.reply, on_end);
                   });
    }

    void forward(const node_reference& owner, const service_call& call, bool query_only,
                 call_done done) override
    {
        auto state = std::make_shared<unary_call<wire::ForwardRequest, wire::ExecuteReply>>();
        state->request.set_target_instance(owner.instance);
        state->request.set_query_only(query_only);
        *state->request.mutable_call() = to_wire(call);
        start_call(owner, call, state, map_to_owner_unreachable(std::move(done)),
                   [](auto* stub, auto& call_state, auto on_end) {
                       stub->async()->Forward(&call_state.context, &call_state.request,
                                              &call_state.reply, on_end);
                   });
    }

    void settle(const node_reference& executor, const std::string& key, milliseconds timeout,
                settle_done done) override
    {
        auto state = std::make_shared<unary_call<wire::SettleRequest, wire::SettleReply>>();
        state->request.set_target_instance(executor.instance);
        state->request.set_idempotency_key(key);
        state->context.set_deadline(system_deadline(timeout));
        stub_of(executor)->async()->Settle(
            &state->context, &state->request, &state->reply,
            on_reply(state, std::move(done), [](const auto& reply) { return from_wire(reply); }));
    }

    void probe(const node_reference& target, milliseconds timeout, probe_done done) override
    {
        auto state = std::make_shared<unary_call<wire::ProbeRequest, wire::LoadReport>>();
        state->context.set_deadline(system_deadline(timeout));
        stub_of(target)->async()->Probe(
            &state->context, &state->request, &state->reply,
            on_reply(state, std::move(done), [](const auto& reply) { return from_wire(reply); }));
    }

    void fetch_changes(const node_reference& target, const fetch_request& request,
                       milliseconds timeout, changes_done done) override
    {
        auto state =
            std::make_shared<unary_call<wire::FetchChangesRequest, wire::FetchChangesReply>>();
        state->request = to_wire(request);
        state->context.set_deadline(system_deadline(timeout));
        stub_of(target)->async()->FetchChanges(
            &state->context, &state->request, &state->reply,
            on_reply(state, std::move(done), [](const auto& reply) { return from_wire(reply); }));
    }

    void sync_members(const node_reference& target, std::vector<std::string> members,
                      milliseconds timeout, members_done done) override
    {
        auto state =
            std::make_shared<unary_call<wire::SyncMembersMessage, wire::SyncMembersMessage>>();
        state->request.mutable_members()->Add(members.begin(), members.end());
        state->context.set_deadline(system_deadline(timeout));
        stub_of(target)->async()->SyncMembers(
            &state->context, &state->request, &state->reply,
            on_reply(state, std::move(done), [](const auto& reply) { return from_wire(reply); }));
    }

    void acquire_quota(const node_reference& target, const quota_request& request,
                       milliseconds timeout, quota_done done) override
    {
        auto state = std::make_shared<unary_call<wire::QuotaRequest, wire::QuotaReply>>();
        state->request = to_wire(request);
        state->context.set_deadline(system_deadline(timeout));
        stub_of(target)->async()->AcquireQuota(
            &state->context, &state->request, &state->reply,
            on_reply(state, std::move(done), [](const auto& reply) { return from_wire(reply); }));
    }

private:
    using stub_ptr = std::shared_ptr<wire::NodeService::Stub>;

    stub_ptr stub_of(const node_reference& target);

    template <typename State, typename Start>
    void start_call(const node_reference& target, const service_call& call,
                    std::shared_ptr<State> state, call_done done, Start start);

    std::mutex mutex_;
    /// By instance, so that a new process at the same address gets a new connection.
    std::map<std::uint64_t, stub_ptr> stubs_;
};

grpc_peer_client::stub_ptr grpc_peer_client::stub_of(const node_reference& target)
{
    const std::lock_guard lock{mutex_};
    auto& stub = stubs_[target.instance];
    if (stub) {
        return stub;
    }
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_interval_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    const std::string endpoint = target.address + ":" + std::to_string(target.node_port);
    stub = wire::NodeService::NewStub(
        grpc::CreateCustomChannel(endpoint, grpc::InsecureChannelCredentials(), arguments));
    return stub;
}

// Start of gRPC's message for a request that was not sent because no connection could be
// established. With any other error the peer may have received the request.
constexpr std::string_view connect_failed_message = "failed to connect to all addresses";

call_result result_of(const grpc::Status& status, const wire::ExecuteReply& reply)
{
    if (status.ok()) {
        return from_wire(reply);
    }
    if (status.error_code() == grpc::StatusCode::UNAVAILABLE &&
        status.error_message().rfind(connect_failed_message, 0) == 0) {
        return not_run(reason_code::peer_unreachable);
    }
    return unknown_outcome(reason_code::peer_connection_lost);
}

template <typename State, typename Start>
void grpc_peer_client::start_call(const node_reference& target, const service_call& call,
                                  std::shared_ptr<State> state, call_done done, Start start)
{
    state->context.set_deadline(
        system_deadline(call.deadline - ms_clock::now() + reply_grace_period));
    const auto stub = stub_of(target);
    start(stub.get(), *state, [state, stub, done = std::move(done)](const grpc::Status& status) {
        done(result_of(status, state->reply));
    });
    if (call.cancel) {
        const std::weak_ptr<State> running = state;
        call.cancel->on_cancel([running] {
            if (const auto alive = running.lock()) {
                alive->context.TryCancel();
            }
        });
    }
}

} // namespace

std::unique_ptr<peer_client> make_grpc_peer_client()
{
    return std::make_unique<grpc_peer_client>();
}

} // namespace chestnutstand
