#include "chestnutstand/config/http_log_client.h"
#include "chestnutstand/node/kernel.h"

#include <memory>

namespace chestnutstand {
namespace {

/// Provides the client of the log service if the settings name one.
class log_component final : public component {
public:
    absl::Status start(kernel& node) override
    {
        if (!node.config().log_url.empty()) {
            client_ = std::make_unique<http_log_client>(node.http(), node.config().log_url);
            node.provide<log_client>(*client_);
        }
        return absl::OkStatus();
    }

private:
    std::unique_ptr<log_client> client_;
};

const registration<log_component, component> registered{"log"};

} // namespace
} // namespace chestnutstand
