#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_server.h"
#include "chestnutstand/transport/node_server.h"

#include "body_message.h"
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
/// Fits a call with the largest body that callers may send, plus its headers.
constexpr std::size_t max_message_bytes = std::size_t{65} << 20U;
/// Longer than peers pool idle connections, so that none is closed while a request is sent on it.
constexpr milliseconds idle_timeout{60'000};

using responder_ptr = std::shared_ptr<responder>;

template <typename Message>
void reply_with(responder& response, const Message& message)
{
    response.send({status_ok, {}, message.SerializeAsString()});
}

/// Callback that sends the value or the error of a query.
template <typename Value>
auto make_reply_callback(const responder_ptr& response)
{
    return [response](const absl::StatusOr<Value>& value) {
        if (value.ok()) {
            reply_with(*response, to_wire(*value));
            return;
        }
        response->send({status_unavailable, {}, std::string{value.status().message()}});
    };
}

call_done make_call_reply_callback(const responder_ptr& response)
{
    return [response](const call_result& result) {
        http_response reply{status_ok, {}, {}};
        set_content(reply, head_to_wire(result), response_body,
                    result.outcome == call_outcome::completed ? result.response.body
                                                              : shared_body{});
        response->send(std::move(reply));
    };
}

/// The body is empty if it is a part of the message.
service_call read_call(const wire::Call& from, shared_body body, const responder_ptr& response)
{
    service_call call = from_wire(from);
    if (!body.empty()) {
        call.request.body = std::move(body);
    }
    call.cancel = response->disconnected();
    return call;
}

/// Routes requests by path to the methods of the handler.
class node_request_router {
public:
    explicit node_request_router(node_handler& handler) : handler_{handler} {}

    void handle(http_request request, const responder_ptr& response)
    {
        if (request.target == node_path::execute) {
            execute(std::move(request), response);
        }
        else if (request.target == node_path::forward) {
            forward(std::move(request), response);
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
        else if (request.target == node_path::quota) {
            quota(request, response);
        }
        else {
            response->send({status_not_found, {}, "no such call"});
        }
    }

private:
    /// Parses the body; on failure sends an error response and returns false.
    template <typename Message>
    static bool parse_body(const http_request& request, const responder_ptr& response,
                           Message& message)
    {
        if (message.ParseFromString(request.body)) {
            return true;
        }
        response->send({status_bad_request, {}, "the message is not readable"});
        return false;
    }

    /// Like parse_body(), for a message that the body of a call may follow.
    template <typename Message>
    static bool parse_call(http_request& request, const responder_ptr& response, Message& message)
    {
        if (parse_content(request.body, message, call_body)) {
            return true;
        }
        response->send({status_bad_request, {}, "the message is not readable"});
        return false;
    }

    void execute(http_request request, const responder_ptr& response)
    {
        wire::ExecuteRequest message;
        if (parse_call(request, response, message)) {
            handler_.execute(message.target_instance(),
                             read_call(message.call(), std::move(request.body), response),
                             make_call_reply_callback(response));
        }
    }

    void forward(http_request request, const responder_ptr& response)
    {
        wire::ForwardRequest message;
        if (parse_call(request, response, message)) {
            handler_.forward(message.target_instance(),
                             read_call(message.call(), std::move(request.body), response),
                             message.query_only(), make_call_reply_callback(response));
        }
    }

    void settle(const http_request& request, const responder_ptr& response)
    {
        wire::SettleRequest message;
        if (parse_body(request, response, message)) {
            make_reply_callback<settle_result>(response)(
                handler_.settle(message.target_instance(), message.idempotency_key()));
        }
    }

    void changes(const http_request& request, const responder_ptr& response)
    {
        wire::FetchChangesRequest message;
        if (parse_body(request, response, message)) {
            handler_.fetch_changes(from_wire(message),
                                   make_reply_callback<fetched_changes>(response));
        }
    }

    void members(const http_request& request, const responder_ptr& response)
    {
        wire::SyncMembersMessage message;
        if (parse_body(request, response, message)) {
            handler_.sync_members({message.members().begin(), message.members().end()},
                                  make_reply_callback<std::vector<std::string>>(response));
        }
    }

    void quota(const http_request& request, const responder_ptr& response)
    {
        wire::QuotaRequest message;
        if (parse_body(request, response, message)) {
            handler_.acquire_quota(from_wire(message), make_reply_callback<quota_reply>(response));
        }
    }

    node_handler& handler_;
};

class http_node_server final : public node_endpoint {
public:
    http_node_server(std::string address, std::uint16_t port, node_handler& handler,
                     std::shared_ptr<memory_budget> memory)
        : router_{handler}, server_{options(std::move(address), port, std::move(memory)),
                                    [this](http_request request, const responder_ptr& response) {
                                        router_.handle(std::move(request), response);
                                    }}
    {
    }

    absl::Status start() override { return server_.start(); }
    std::uint16_t port() const override { return server_.port(); }
    bool idle() const override { return server_.idle(); }
    void stop(milliseconds /*timeout*/) override { server_.stop(); }

private:
    /// The reason tells the sender that the call has not run.
    static http_response make_refusal(const request_refusal& refused)
    {
        return {refused.status,
                {{std::string{header::reason}, std::string{to_string(refused.reason)}}},
                refused.detail};
    }

    static http_server_options options(std::string address, std::uint16_t port,
                                       std::shared_ptr<memory_budget> memory)
    {
        http_server_options result;
        result.address = std::move(address);
        result.port = port;
        result.max_body_bytes = max_message_bytes;
        result.idle_timeout = idle_timeout;
        result.make_refusal_response = make_refusal;
        result.memory = std::move(memory);
        return result;
    }

    node_request_router router_;
    http_server server_;
};

} // namespace

std::unique_ptr<node_endpoint> make_http_node_server(std::string address, std::uint16_t port,
                                                     node_handler& handler,
                                                     std::shared_ptr<memory_budget> memory)
{
    return std::make_unique<http_node_server>(std::move(address), port, handler, std::move(memory));
}

} // namespace chestnutstand
