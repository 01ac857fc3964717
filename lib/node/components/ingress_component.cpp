#include "chestnutstand/config/config_service.h"
#include "chestnutstand/node/ingress.h"
#include "chestnutstand/node/kernel.h"

#include <memory>

namespace chestnutstand {
namespace {

/// Serves callers over HTTP.
class ingress_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"config", "dispatcher", "keys"};
    }

    absl::Status start(kernel& node) override
    {
        ingress_ =
            std::make_unique<ingress>(node.instance(), node.get<config_service>().current(),
                                      node.get<dispatcher>(), node.get<key_router>(), node.stats());
        http_server_options options;
        options.address = node.config().address;
        options.port = node.config().caller_port;
        options.threads = node.config().http_threads;
        options.refuse = [this](const request_refusal& why) {
            return ingress_->refuse_unreadable(why);
        };
        server_ = std::make_unique<http_server>(
            options, [this](http_request request, const std::shared_ptr<responder>& response) {
                ingress_->handle(std::move(request), response);
            });
        absl::Status status = server_->start();
        if (status.ok()) {
            node.ports().caller = server_->port();
        }
        return status;
    }

    void begin_drain(kernel& /*node*/) override { ingress_->begin_drain(); }
    void end_lame_duck(kernel& /*node*/) override { ingress_->refuse_new_calls(); }
    bool idle() const override { return ingress_->idle(); }
    void stop(kernel& /*node*/) override { server_->stop(); }

private:
    std::unique_ptr<ingress> ingress_;
    std::unique_ptr<http_server> server_;
};

const registration<ingress_component, component> registered{"ingress"};

} // namespace
} // namespace chestnutstand
