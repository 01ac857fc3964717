#include "chestnutstand/config/config_service.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/dispatcher.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/node/kernel.h"

#include <memory>

namespace chestnutstand {
namespace {

/// Provides the dispatcher, which chooses a node for each call.
class dispatcher_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override
    {
        return {"config", "executor", "membership"};
    }

    absl::Status start(kernel& node) override { return absl::OkStatus(); }

private:
    std::unique_ptr<dispatcher> dispatcher_;
};

const registration<dispatcher_component, component> registered{"dispatcher"};

} // namespace
} // namespace chestnutstand
