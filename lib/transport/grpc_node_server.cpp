#include "chestnutstand/transport/node_server.h"

#include "wire_convert.h"

#include "node.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

namespace chestnutstand {
namespace {

constexpr int keepalive_min_interval_ms = 5'000;
constexpr int max_message_bytes = 16 << 20;

/// Sends the reply of one call and propagates cancellation by the peer to the call. gRPC requires
/// it to delete itself in OnDone.
class execute_reactor final : public grpc::ServerUnaryReactor {
public:
    explicit execute_reactor(wire::ExecuteReply* reply) : reply_{reply} {}

    void OnDone() override { delete this; }
    void OnCancel() override { cancel_->cancel(); }

    std::shared_ptr<cancellation> cancel() const { return cancel_; }

    void reply_with(const call_result& result)
    {
        *reply_ = to_wire(result);
        Finish(grpc::Status::OK);
    }

private:
    wire::ExecuteReply* reply_;
    std::shared_ptr<cancellation> cancel_ = std::make_shared<cancellation>();
};

grpc::Status to_grpc(const absl::Status& status)
{
    return {static_cast<grpc::StatusCode>(status.code()), std::string{status.message()}};
}

class service_impl final : public wire::NodeService::CallbackService {
public:
    explicit service_impl(node_handler& handler) : handler_{handler} {}

    grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* /*context*/,
                                      const wire::ExecuteRequest* request,
                                      wire::ExecuteReply* reply) override
    {
        auto* reactor = new execute_reactor{reply};
        service_call call = from_wire(request->call());
        call.cancel = reactor->cancel();
        handler_.execute(request->target_instance(), std::move(call),
                         [reactor](const call_result& result) { reactor->reply_with(result); });
        return reactor;
    }

    grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* /*context*/,
                                      const wire::ForwardRequest* request,
                                      wire::ExecuteReply* reply) override
    {
        auto* reactor = new execute_reactor{reply};
        service_call call = from_wire(request->call());
        call.cancel = reactor->cancel();
        handler_.forward(request->target_instance(), std::move(call), request->query_only(),
                         [reactor](const call_result& result) { reactor->reply_with(result); });
        return reactor;
    }

    grpc::ServerUnaryReactor* Settle(grpc::CallbackServerContext* context,
                                     const wire::SettleRequest* request,
                                     wire::SettleReply* reply) override
    {
        auto* reactor = context->DefaultReactor();
        const auto settled =
            handler_.settle(request->target_instance(), request->idempotency_key());
        if (settled.ok()) {
            *reply = to_wire(*settled);
        }
        reactor->Finish(to_grpc(settled.status()));
        return reactor;
    }

    grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* context,
                                    const wire::ProbeRequest* /*request*/,
                                    wire::LoadReport* reply) override
    {
        auto* reactor = context->DefaultReactor();
        *reply = to_wire(handler_.probe());
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor* FetchChanges(grpc::CallbackServerContext* context,
                                           const wire::FetchChangesRequest* request,
                                           wire::FetchChangesReply* reply) override
    {
        auto* reactor = context->DefaultReactor();
        handler_.fetch_changes(from_wire(*request),
                               [reactor, reply](const absl::StatusOr<fetched_changes>& changes) {
                                   if (changes.ok()) {
                                       *reply = to_wire(*changes);
                                   }
                                   reactor->Finish(to_grpc(changes.status()));
                               });
        return reactor;
    }

    grpc::ServerUnaryReactor* SyncMembers(grpc::CallbackServerContext* context,
                                          const wire::SyncMembersMessage* request,
                                          wire::SyncMembersMessage* reply) override
    {
        auto* reactor = context->DefaultReactor();
        handler_.sync_members(
            {request->members().begin(), request->members().end()},
            [reactor, reply](const absl::StatusOr<std::vector<std::string>>& members) {
                if (members.ok()) {
                    reply->mutable_members()->Add(members->begin(), members->end());
                }
                reactor->Finish(to_grpc(members.status()));
            });
        return reactor;
    }

    grpc::ServerUnaryReactor* AcquireQuota(grpc::CallbackServerContext* context,
                                           const wire::QuotaRequest* request,
                                           wire::QuotaReply* reply) override
    {
        auto* reactor = context->DefaultReactor();
        handler_.acquire_quota(from_wire(*request),
                               [reactor, reply](const absl::StatusOr<quota_reply>& decision) {
                                   if (decision.ok()) {
                                       *reply = to_wire(*decision);
                                   }
                                   reactor->Finish(to_grpc(decision.status()));
                               });
        return reactor;
    }

private:
    node_handler& handler_;
};

} // namespace

struct node_server::state {
    state(std::string listen_address, std::uint16_t listen_port, node_handler& handler)
        : address{std::move(listen_address)}, port{listen_port}, service{handler}
    {
    }

    std::string address;
    std::uint16_t port;
    service_impl service;
    std::unique_ptr<grpc::Server> server;
};

node_server::node_server(std::string address, std::uint16_t port, node_handler& handler)
    : state_{std::make_unique<state>(std::move(address), port, handler)}
{
}

node_server::~node_server()
{
    stop(milliseconds{0});
}

absl::Status node_server::start()
{
    grpc::ServerBuilder builder;
    const std::string endpoint = state_->address + ":" + std::to_string(state_->port);
    int bound_port = 0;
    builder.AddListeningPort(endpoint, grpc::InsecureServerCredentials(), &bound_port);
    builder.RegisterService(&state_->service);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    // With SO_REUSEPORT two processes could share a port and receive each other's calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               keepalive_min_interval_ms);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    state_->server = builder.BuildAndStart();
    if (!state_->server || bound_port == 0) {
        return absl::UnavailableError("cannot listen on " + endpoint);
    }
    state_->port = static_cast<std::uint16_t>(bound_port);
    return absl::OkStatus();
}

std::uint16_t node_server::port() const
{
    return state_->port;
}

void node_server::stop(milliseconds timeout)
{
    if (!state_->server) {
        return;
    }
    state_->server->Shutdown(
        std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout));
    state_->server->Wait();
    state_->server.reset();
}

} // namespace chestnutstand
