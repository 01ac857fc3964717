#include "chestnutstand/config/config_service.h"
#include "chestnutstand/node/kernel.h"

#include <memory>

namespace chestnutstand {
namespace {

/// Provides the replicated configuration document.
class config_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override { return {"log"}; }

    absl::Status start(kernel& node) override
    {
        config_options options;
        options.instance = node.instance();
        options.log_retention = milliseconds{node.config().log_retention_ms};
        service_ = std::make_unique<config_service>(options, node.control(), node.get<log_client>(),
                                                    node.peers());
        node.provide(*service_);
        node.control().post([this] {
            service_->set_tailing(true);
            service_->start();
        });
        return absl::OkStatus();
    }

private:
    std::unique_ptr<config_service> service_;
};

const registration<config_component, component> registered{"config"};

} // namespace
} // namespace chestnutstand
