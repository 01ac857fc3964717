#include "chestnutstand/config/config_service.h"
#include "chestnutstand/config/record_follower.h"
#include "chestnutstand/node/kernel.h"

#include <memory>

namespace chestnutstand {
namespace {

/// Provides the configuration document, read from a log of changes or from one record of a keyed
/// store.
class config_component final : public component {
public:
    std::vector<std::string_view> dependencies() const override { return {"log", "keyed_store"}; }

    absl::Status start(kernel& node) override
    {
        if (auto* store = node.find<keyed_store>()) {
            follow_record(node, *store);
        }
        else {
            replay_changes(node);
        }
        node.provide<configuration>(*source_);
        node.control().post([this] {
            source_->set_reader_role(reader_role::lead);
            source_->start();
        });
        return absl::OkStatus();
    }

private:
    void follow_record(kernel& node, keyed_store& store)
    {
        record_follower_options options;
        options.random_seed = node.instance();
        source_ = std::make_unique<record_follower>(options, node.control(), store, node.peers(),
                                                    node.stats());
    }

    void replay_changes(kernel& node)
    {
        config_options options;
        options.instance = node.instance();
        options.log_retention = milliseconds{node.config().log_retention_ms};
        auto service = std::make_unique<config_service>(options, node.control(),
                                                        node.get<log_client>(), node.peers());
        node.provide(*service);
        source_ = std::move(service);
    }

    std::unique_ptr<configuration> source_;
};

const registration<config_component, component> registered{"config"};

} // namespace
} // namespace chestnutstand
