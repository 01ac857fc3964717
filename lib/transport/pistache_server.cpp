#include "server_transport.h"

#include "chestnutstand/transport/http_server.h"

#include <pistache/listener.h>

#include <thread>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds stop_timeout{2'000};
constexpr milliseconds stop_poll_interval{1};

} // namespace

struct http_server::state {
    std::shared_ptr<shared_server_state> shared = std::make_shared<shared_server_state>();
    std::unique_ptr<tcp::Listener> listener;
    std::uint16_t port = 0;
};

http_server::http_server(http_server_options options, handler handle)
    : state_{std::make_unique<state>()}
{
    state_->shared->options = std::move(options);
    state_->shared->handle = std::move(handle);
}

http_server::~http_server()
{
    stop();
}

absl::Status http_server::start()
{
    const auto& options = state_->shared->options;
    try {
        const Pistache::Address address{options.address, Pistache::Port{options.port}};
        auto& listener = state_->listener = std::make_unique<tcp::Listener>(address);
        listener->init(options.threads, Pistache::Flags<tcp::Options>{tcp::Options::ReuseAddr |
                                                                      tcp::Options::NoDelay |
                                                                      tcp::Options::CloseOnExec});
        const auto handler = std::make_shared<event_handler>();
        listener->setTransportFactory([shared = state_->shared, handler] {
            return std::make_shared<server_transport>(shared, handler);
        });
        listener->setHandler(handler);
        listener->bind();
        state_->port = listener->getPort();
        listener->runThreaded();
    }
    catch (const std::exception& error) {
        return absl::UnavailableError("cannot listen on " + options.address + ":" +
                                      std::to_string(options.port) + ": " + error.what());
    }
    return absl::OkStatus();
}

std::uint16_t http_server::port() const
{
    return state_->port;
}

bool http_server::idle() const
{
    return state_->shared->busy_connections == 0;
}

http_server_statistics http_server::read() const
{
    const auto& shared = *state_->shared;
    return {shared.open_connections, shared.closed_for_descriptors, shared.closed_for_memory};
}

void http_server::stop()
{
    if (!state_->listener) {
        return;
    }
    const auto& shared = *state_->shared;
    for (const auto& queue : shared.queues) {
        queue->request_stop();
    }
    const time_point limit = ms_clock::now() + stop_timeout;
    while (shared.open_connections > 0 && ms_clock::now() < limit) {
        std::this_thread::sleep_for(stop_poll_interval);
    }
    state_->listener->shutdown();
    state_->listener.reset();
}

} // namespace chestnutstand
