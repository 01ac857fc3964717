#include "chestnutstand/node/admin_api.h"
#include "chestnutstand/node/kernel.h"

#include <memory>
#include <vector>

namespace chestnutstand {
namespace {

/// Serves operators and the local upstream on a separate port, so that it stays usable when the
/// caller port is overloaded.
class admin_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"config", "executor", "membership"};
    }

    absl::Status start(kernel& node) override
    {
        api_ = std::make_unique<admin_api>(node);
        const settings& config = node.config();
        absl::Status status = serve({config.address, config.admin_port}, &admin_api::handle);
        if (!status.ok()) {
            return status;
        }
        node.ports().admin = servers_.front()->port();
        if (!config.readiness_address.empty()) {
            status = serve(split_address(config.readiness_address), &admin_api::handle_readiness);
        }
        if (status.ok() && !config.registration_address.empty()) {
            status =
                serve(split_address(config.registration_address), &admin_api::handle_registration);
        }
        return status;
    }

    void stop(kernel& /*node*/) override
    {
        for (const auto& server : servers_) {
            server->stop();
        }
    }

private:
    using endpoint = void (admin_api::*)(const http_request&, const std::shared_ptr<responder>&);

    absl::Status serve(const socket_address& bind_address, endpoint handle)
    {
        http_server_options options;
        options.address = bind_address.address;
        options.port = bind_address.port;
        servers_.push_back(std::make_unique<http_server>(
            options, [this, handle](const http_request& request,
                                    const std::shared_ptr<responder>& response) {
                (api_.get()->*handle)(request, response);
            }));
        return servers_.back()->start();
    }

    std::unique_ptr<admin_api> api_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

const registration<admin_component, component> registered{"admin"};

} // namespace
} // namespace chestnutstand
