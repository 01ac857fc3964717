#include "chestnutstand/transport/http_server.h"
#include "chestnutstand/transport/node_server.h"

#include "node_call_paths.h"
#include "wire_convert.h"

#include <string>
#include <utility>

namespace chestnutstand {
namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// A call with the largest body that callers may send, and its headers.
constexpr std::size_t max_message_bytes = std::size_t{65} << 20U;
/// Longer than a peer keeps an idle connection, so that none is closed under a request.
constexpr milliseconds idle_timeout{60'000};

using responder_ptr = std::shared_ptr<responder>;

template <typename Message>
void reply_with(responder& response, const Message& message)
{
    response.send({status_ok, {}, message.SerializeAsString()});
}

/// Callback of a query, whose result is a value or an error.
template <typename Value>
auto replier(const responder_ptr& response)
{
    return [response](const absl::StatusOr<Value>& value) {
        if (value.ok()) {
            reply_with(*response, to_wire(*value));
            return;
        }
        response->send({status_unavailable, {}, std::string{value.status().message()}});
    };
}

call_done call_replier(const responder_ptr& response)
{
    return [response](const call_result& result) { reply_with(*response, to_wire(result)); };
}

service_call read_call(const wire::Call& from, const responder_ptr& response)
{
    service_call call = from_wire(from);
    call.cancel = response->disconnected();
    return call;
}

/// Hands requests of other nodes to the handler.
class node_calls {
public:
    explicit node_calls(node_handler& handler) : handler_{handler} {}

    void handle(const http_request& request, const responder_ptr& response)
    {
        if (request.target == node_path::execute) {
            execute(request, response);
        }
        else if (request.target == node_path::forward) {
            forward(request, response);
        }
        else if (request.target == node_path::settle) {
            settle(request, response);
        }
        else if (request.target == node_path::probe) {
            reply_with(*response, to_wire(handler_.probe()));
        }
        else if (request.target == node_path::changes) {
            changes(request, response);
        }
        else if (request.target == node_path::members) {
            members(request, response);
        }
        else {
            response->send({status_not_found, {}, "no such call"});
        }
    }

private:
    /// Whether the body was read; otherwise the request is answered.
    template <typename Message>
    static bool read(const http_request& request, const responder_ptr& response, Message& message)
    {
        if (message.ParseFromString(request.body)) {
            return true;
        }
        response->send({status_bad_request, {}, "the message is not readable"});
        return false;
    }

    void execute(const http_request& request, const responder_ptr& response)
    {
        wire::ExecuteRequest message;
        if (read(request, response, message)) {
            handler_.execute(message.target_instance(), read_call(message.call(), response),
                             call_replier(response));
        }
    }

    void forward(const http_request& request, const responder_ptr& response)
    {
        wire::ForwardRequest message;
        if (read(request, response, message)) {
            handler_.forward(message.target_instance(), read_call(message.call(), response),
                             message.query_only(), call_replier(response));
        }
    }

    void settle(const http_request& request, const responder_ptr& response)
    {
        wire::SettleRequest message;
        if (read(request, response, message)) {
            replier<settle_result>(response)(
                handler_.settle(message.target_instance(), message.idempotency_key()));
        }
    }

    void changes(const http_request& request, const responder_ptr& response)
    {
        wire::FetchChangesRequest message;
        if (read(request, response, message)) {
            handler_.fetch_changes(message.from_offset(), replier<fetched_changes>(response));
        }
    }

    void members(const http_request& request, const responder_ptr& response)
    {
        wire::SyncMembersMessage message;
        if (read(request, response, message)) {
            handler_.sync_members({message.members().begin(), message.members().end()},
                                  replier<std::vector<std::string>>(response));
        }
    }

    node_handler& handler_;
};

class http_node_server final : public node_endpoint {
public:
    http_node_server(std::string address, std::uint16_t port, node_handler& handler)
        : calls_{handler}, server_{
                               options(std::move(address), port),
                               [this](const http_request& request, const responder_ptr& response) {
                                   calls_.handle(request, response);
                               }}
    {
    }

    absl::Status start() override { return server_.start(); }
    std::uint16_t port() const override { return server_.port(); }
    void stop(milliseconds /*limit*/) override { server_.stop(); }

private:
    static http_server_options options(std::string address, std::uint16_t port)
    {
        http_server_options made;
        made.address = std::move(address);
        made.port = port;
        made.max_body_bytes = max_message_bytes;
        made.idle_timeout = idle_timeout;
        return made;
    }

    node_calls calls_;
    http_server server_;
};

} // namespace

std::unique_ptr<node_endpoint> make_http_node_server(std::string address, std::uint16_t port,
                                                     node_handler& handler)
{
    return std::make_unique<http_node_server>(std::move(address), port, handler);
}

} // namespace chestnutstand
