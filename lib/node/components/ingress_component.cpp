#include "chestnutstand/config/configuration.h"
#include "chestnutstand/node/ingress.h"
#include "chestnutstand/node/kernel.h"

#include <algorithm>
#include <memory>

namespace chestnutstand {
namespace {

/// Allows for a body of the maximum size over a slow link.
constexpr milliseconds body_timeout{30'000};

/// Share of the descriptors for callers. The others are for files, other nodes, the store, the
/// upstream and operators.
constexpr double caller_share = 0.6;
/// Descriptors that a platform counts besides those of connections.
constexpr std::uint32_t descriptors_for_files = 100;
constexpr std::uint32_t min_caller_connections = 16;

/// Bound of the caller connections; 0 for none if the platform states no limit.
std::uint32_t max_caller_connections(std::uint32_t descriptor_limit)
{
    if (descriptor_limit == 0) {
        return 0;
    }
    const std::uint32_t left =
        descriptor_limit > descriptors_for_files ? descriptor_limit - descriptors_for_files : 0;
    return std::max(min_caller_connections,
                    static_cast<std::uint32_t>(caller_share * static_cast<double>(left)));
}

/// Runs the HTTP server for callers and passes their requests to the ingress.
class ingress_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"config", "dispatcher", "keys", "quota"};
    }

    absl::Status start(kernel& node) override
    {
        const settings& config = node.config();
        ingress_ =
            std::make_unique<ingress>(ingress_options{node.instance(), config.interface_for_callers,
                                                      config.headers, config.origin_service},
                                      node.get<configuration>().current(), node.get<dispatcher>(),
                                      node.find<key_router>(), node.stats());
        ingress_->set_quotas(node.find<quota_service>());
        const socket_address address = config.caller_address.empty()
                                           ? socket_address{config.address, config.caller_port}
                                           : split_address(config.caller_address);
        http_server_options options;
        options.address = address.address;
        options.port = address.port;
        options.threads = config.http_threads;
        options.memory = node.memory();
        options.max_connections = max_caller_connections(config.descriptor_limit);
        options.current_limits = [&node] { return limits_of(node); };
        options.may_overtake = [this](const http_request& request) {
            return ingress_->may_overtake(request);
        };
        options.make_refusal_response = [this](const request_refusal& error) {
            return ingress_->refuse_unreadable(error);
        };
        server_ = std::make_unique<http_server>(
            options,
            [this](const http_request& request, const std::shared_ptr<responder>& response) {
                ingress_->handle(request, response);
            });
        absl::Status status = server_->start();
        if (status.ok()) {
            node.ports().caller = server_->port();
            node.provide(*server_);
        }
        return status;
    }

    void begin_drain(kernel& node) override { ingress_->begin_drain(node.drain_cutoff()); }
    void end_lame_duck(kernel& /*node*/) override { ingress_->refuse_new_calls(); }
    void finish_drain(kernel& /*node*/) override { ingress_->finish_drain(); }
    // The server refuses requests until the process ends. Closing its connections earlier would
    // leave callers without a response for as long as the other components take to stop.
    bool idle() const override { return ingress_->idle() && server_->idle(); }

private:
    /// Returns the limits of the current document, or the defaults if there is none yet.
    static http_server_limits limits_of(kernel& node)
    {
        http_server_limits limits;
        if (const auto in_force = node.get<configuration>().current().load()) {
            limits.max_body_bytes = in_force->limits.max_body_bytes;
            limits.max_header_bytes = in_force->limits.max_header_bytes;
            limits.request_timeout = std::max(in_force->limits.header_timeout, body_timeout);
            limits.idle_timeout = in_force->limits.idle_timeout;
        }
        return limits;
    }

    std::unique_ptr<ingress> ingress_;
    std::unique_ptr<http_server> server_;
};

const registration<ingress_component, component> registered{"ingress"};

} // namespace
} // namespace chestnutstand
