#include "chestnutstand/node/admin_api.h"
#include "chestnutstand/node/kernel.h"

#include <memory>

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
        http_server_options options;
        options.address = node.config().address;
        options.port = node.config().admin_port;
        server_ = std::make_unique<http_server>(
            options,
            [this](const http_request& request, const std::shared_ptr<responder>& response) {
                api_->handle(request, response);
            });
        absl::Status status = server_->start();
        if (status.ok()) {
            node.ports().admin = server_->port();
        }
        return status;
    }

    void stop(kernel& /*node*/) override { server_->stop(); }

private:
    std::unique_ptr<admin_api> api_;
    std::unique_ptr<http_server> server_;
};

const registration<admin_component, component> registered{"admin"};

} // namespace
} // namespace chestnutstand
