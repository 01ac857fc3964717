#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_server.h"

#include "chestnutstand/support/log.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/http_headers.h>
#include <pistache/peer.h>

#include <deque>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>

namespace chestnutstand {
namespace {

namespace http = Pistache::Http;

constexpr const char* connection_data = "chestnutstand";
constexpr int status_headers_too_large = 431;
constexpr int status_too_large = 413;

class pending_response;

/// Responses of one client connection, sent in the order of the requests.
class connection_state : public std::enable_shared_from_this<connection_state> {
public:
    std::shared_ptr<pending_response> add(http::ResponseWriter writer);
    void complete(pending_response& which, http_response response);
    void disconnect();

private:
    void send_ready();

    std::mutex mutex_;
    std::deque<std::shared_ptr<pending_response>> pending_;
};

class pending_response final : public responder {
public:
    pending_response(std::shared_ptr<connection_state> connection, http::ResponseWriter writer)
        : connection_{std::move(connection)}, writer_{std::move(writer)}
    {
    }

    void send(http_response response) override
    {
        connection_->complete(*this, std::move(response));
    }

    std::shared_ptr<cancellation> disconnected() const override { return disconnected_; }

private:
    friend class connection_state;

    std::shared_ptr<connection_state> connection_;
    http::ResponseWriter writer_;
    std::optional<http_response> response_;
    bool sent_ = false;
    std::shared_ptr<cancellation> disconnected_ = std::make_shared<cancellation>();
};

/// Header with any name. Pistache writes only typed headers, not raw ones.
class named_header final : public http::Header::Header {
public:
    explicit named_header(http_header field) : field_{std::move(field)} {}

    const char* name() const override { return field_.name.c_str(); }
    void write(std::ostream& stream) const override { stream << field_.value; }
    std::uint64_t hash() const override { return std::hash<std::string>{}(field_.name); }

private:
    http_header field_;
};

void write_response(http::ResponseWriter& writer, const http_response& response)
{
    // Pistache would announce that it closes the connection, and then keep it open.
    writer.headers().add<http::Header::Connection>(http::ConnectionControl::KeepAlive);
    std::optional<http::Mime::MediaType> type;
    for (const auto& field : response.headers) {
        if (header_name_equal(field.name, "content-type")) {
            type = http::Mime::MediaType::fromString(field.value);
            continue;
        }
        writer.headers().add(std::make_shared<named_header>(field));
    }
    const auto code = static_cast<http::Code>(response.status);
    if (type) {
        writer.send(code, response.body, *type);
        return;
    }
    writer.send(code, response.body);
}

std::shared_ptr<pending_response> connection_state::add(http::ResponseWriter writer)
{
    auto added = std::make_shared<pending_response>(shared_from_this(), std::move(writer));
    const std::lock_guard lock{mutex_};
    pending_.push_back(added);
    return added;
}

void connection_state::complete(pending_response& which, http_response response)
{
    const std::lock_guard lock{mutex_};
    if (which.response_) {
        return;
    }
    which.response_ = std::move(response);
    send_ready();
}

void connection_state::send_ready()
{
    while (!pending_.empty() && pending_.front()->response_) {
        const auto ready = std::move(pending_.front());
        pending_.pop_front();
        try {
            write_response(ready->writer_, *ready->response_);
        }
        catch (const std::exception& error) {
            log_event(log_level::debug, "response could not be sent", {{"error", error.what()}});
        }
    }
}

void connection_state::disconnect()
{
    std::deque<std::shared_ptr<pending_response>> abandoned;
    {
        const std::lock_guard lock{mutex_};
        abandoned.swap(pending_);
    }
    for (const auto& response : abandoned) {
        response->disconnected_->cancel();
    }
}

std::vector<http_header> copy_headers(const http::Header::Collection& headers)
{
    std::vector<http_header> copies;
    for (const auto& [name, raw] : headers.rawList()) {
        copies.push_back({raw.name(), raw.value()});
    }
    for (const auto& typed : headers.list()) {
        if (find_header(copies, typed->name())) {
            continue;
        }
        std::ostringstream value;
        typed->write(value);
        copies.push_back({typed->name(), value.str()});
    }
    return copies;
}

std::size_t byte_count(const std::vector<http_header>& headers)
{
    std::size_t bytes = 0;
    for (const auto& field : headers) {
        bytes += field.name.size() + field.value.size() + 4;
    }
    return bytes;
}

class request_handler : public http::Handler {
public:
    request_handler(http_server_options options, http_server::handler handle)
        : options_{std::move(options)}, handle_{std::move(handle)}
    {
    }

    std::shared_ptr<Pistache::Tcp::Handler> clone() const override
    {
        return std::make_shared<request_handler>(*this);
    }

    void onRequest(const http::Request& request, http::ResponseWriter writer) override
    {
        const auto connection = state_of(writer.getPeer());
        if (!connection) {
            return;
        }
        const auto response = connection->add(std::move(writer));
        http_request copy;
        copy.method = http::methodString(request.method());
        copy.target = request.resource() + request.query().as_str();
        copy.headers = copy_headers(request.headers());
        if (byte_count(copy.headers) + copy.target.size() > options_.max_header_bytes) {
            response->send({status_headers_too_large, {}, {}});
            return;
        }
        copy.body = request.body();
        if (copy.body.size() > options_.max_body_bytes) {
            response->send({status_too_large, {}, {}});
            return;
        }
        handle_(std::move(copy), response);
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        const auto data = peer->tryGetData(connection_data);
        if (data) {
            std::static_pointer_cast<connection_state>(data)->disconnect();
        }
    }

private:
    static std::shared_ptr<connection_state>
    state_of(const std::shared_ptr<Pistache::Tcp::Peer>& peer)
    {
        if (!peer) {
            return nullptr;
        }
        auto data = peer->tryGetData(connection_data);
        if (!data) {
            data = std::make_shared<connection_state>();
            peer->putData(connection_data, data);
        }
        return std::static_pointer_cast<connection_state>(data);
    }

    http_server_options options_;
    http_server::handler handle_;
};

} // namespace

struct http_server::state {
    http_server_options options;
    http_server::handler handle;
    std::unique_ptr<http::Endpoint> endpoint;
};

http_server::http_server(http_server_options options, handler handle)
    : state_{std::make_unique<state>()}
{
    state_->options = std::move(options);
    state_->handle = std::move(handle);
}

http_server::~http_server()
{
    stop();
}

absl::Status http_server::start()
{
    const auto& options = state_->options;
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(options.request_timeout);
    try {
        const Pistache::Address address{options.address, Pistache::Port{options.port}};
        state_->endpoint = std::make_unique<http::Endpoint>(address);
        state_->endpoint->init(
            http::Endpoint::options()
                .threads(static_cast<int>(options.threads))
                .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                .maxRequestSize(options.max_body_bytes + options.max_header_bytes)
                .headerTimeout(timeout)
                .bodyTimeout(timeout));
        state_->endpoint->setHandler(std::make_shared<request_handler>(options, state_->handle));
        state_->endpoint->serveThreaded();
    }
    catch (const std::exception& error) {
        return absl::UnavailableError("cannot listen on " + options.address + ":" +
                                      std::to_string(options.port) + ": " + error.what());
    }
    return absl::OkStatus();
}

std::uint16_t http_server::port() const
{
    return state_->endpoint->getPort();
}

void http_server::stop()
{
    if (state_->endpoint) {
        state_->endpoint->shutdown();
        state_->endpoint.reset();
    }
}

} // namespace chestnutstand
