#include "chestnutstand/node/admin_api.h"
#include "chestnutstand/node/kernel.h"

#include <memory>
#include <vector>

namespace chestnutstand {
namespace {

/// Serves operators and the local upstream on a port of its own, which stays usable in an overload
/// of the caller port.
class admin_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"config", "executor", "membership"};
    }

    absl::Status start(kernel& node) override
    {
        api_ = std::make_unique<admin_api>(node);
        const settings& own = node.config();
        absl::Status status = serve({own.address, own.admin_port}, &admin_api::handle);
        if (!status.ok()) {
            return status;
        }
        node.ports().admin = servers_.front()->port();
        if (!own.readiness_address.empty()) {
            status = serve(split_address(own.readiness_address), &admin_api::handle_readiness);
        }
        if (status.ok() && !own.registration_address.empty()) {
            status =
                serve(split_address(own.registration_address), &admin_api::handle_registration);
        }
        return status;
    }

    void stop(kernel& /*node*/) override
    {
        for (const auto& each : servers_) {
            each->stop();
        }
    }

private:
    using endpoint = void (admin_api::*)(const http_request&, const std::shared_ptr<responder>&);

    absl::Status serve(const socket_address& at, endpoint handle)
    {
        http_server_options options;
        options.address = at.address;
        options.port = at.port;
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
