#include "deployment.h"

#include "../tests/support/fleet.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <stdexcept>

namespace chestnutstand::soak {
namespace {

/// Nodes bind to the first address and advertise the second, where the relays listen.
constexpr const char* bind_address = "127.0.0.1";
constexpr const char* relay_address = "127.0.1.1";
/// Longer than the time limit of a call, so that a planned stop interrupts none.
constexpr int drain_limit_ms = 6'000;
constexpr int lame_duck_ms = 500;

nlohmann::json route(const std::string& service, bool repeatable)
{
    return {{"name", service + (repeatable ? "-view" : "-pay")},
            {"host", "soak.example"},
            {"path_prefix", absl::StrCat("/", service, repeatable ? "/view/" : "/pay/")},
            {"service", service},
            {"kind", repeatable ? "idempotent" : "non_idempotent"},
            {"timeout_ms", 2'000},
            {"latency_target_ms", 500},
            {"attempts", 3}};
}

} // namespace

const std::vector<std::string>& deployment::services()
{
    static const std::vector<std::string> names{"alpha", "beta"};
    return names;
}

deployment::deployment(std::filesystem::path directory, std::size_t nodes, std::uint64_t seed)
    : directory_{std::move(directory)}, seed_{seed}, client_{make_http_client()}
{
    store_ = std::make_unique<testing::process>(STUB_STORE_PROGRAM, std::vector<std::string>{});
    store_port_ = testing::announced_port(*store_);
    for (std::size_t i = 0; i < nodes; ++i) {
        auto entry = std::make_unique<soak_node>();
        entry->index = i;
        entry->data_centre = i % 2 == 0 ? "east" : "west";
        entry->service = services()[i / 2 % services().size()];
        // A port without a listener, until the process has announced its own.
        entry->caller_link = new testing::relay{1};
        entry->upstream_link = new testing::relay{1};
        entry->store_link = new testing::relay{store_port_};
        entry->admin_link = new testing::relay{1};
        nodes_.push_back(std::move(entry));
    }
}

std::filesystem::path deployment::arrivals_file(std::size_t index) const
{
    return directory_ / absl::StrCat("arrivals-", index, ".jsonl");
}

void deployment::start_node(std::size_t index)
{
    soak_node& entry = *nodes_[index];
    const nlohmann::json settings{
        {"address", bind_address},
        {"advertised_address", relay_address},
        {"data_centre", entry.data_centre},
        {"store_url", absl::StrCat("http://", bind_address, ":", entry.store_link->port())},
        {"caller_interface", "routes"},
        {"node_carrier", "http"},
        {"retry_limits", {{"ratio", 0.2}, {"slack", 20}, {"window_s", 10}}},
        {"drain_limit_ms", drain_limit_ms},
        {"lame_duck_ms", lame_duck_ms}};
    const auto file = directory_ / absl::StrCat("node-", index, ".json");
    std::ofstream{file} << settings.dump(2);
    entry.node.reset();
    entry.node = std::make_unique<testing::process>(
        CHESTNUTSTAND_PROGRAM, std::vector<std::string>{"node", "--settings", file.string()},
        (directory_ / absl::StrCat("node-", index, ".log")).string());
    const auto started = entry.node->wait_for_line(
        [](const auto& fields) { return fields.value("message", "") == "node started"; });
    if (!started) {
        throw std::runtime_error{absl::StrCat("node ", index, " did not start")};
    }
    const auto port = [&](const char* name) { return (*started)[name].get<std::uint16_t>(); };
    const socket_address node_address{relay_address, port("node_port")};
    const socket_address gossip_address{relay_address, port("gossip_port")};
    entry.node_link = new testing::relay{node_address.port, node_address};
    entry.gossip_link = new datagram_relay{gossip_address, gossip_address.port, seed_ + index};
    entry.admin_port = port("admin_port");
    entry.admin_link->set_target(entry.admin_port);
    entry.caller_link->set_target(port("caller_port"));
    ++entry.start_count;
}

void deployment::start_upstream(std::size_t index)
{
    soak_node& entry = *nodes_[index];
    entry.upstream.reset();
    entry.upstream = std::make_unique<testing::process>(
        STUB_UPSTREAM_PROGRAM,
        std::vector<std::string>{"--service", entry.service, "--node-admin-port",
                                 std::to_string(entry.admin_link->port()), "--announced-port",
                                 std::to_string(entry.upstream_link->port()), "--arrivals",
                                 arrivals_file(index).string(), "--service-ms",
                                 std::to_string(service_ms)});
    entry.upstream_port = testing::announced_port(*entry.upstream);
    entry.upstream_link->set_target(entry.upstream_port);
}

bool deployment::publish(std::uint64_t version)
{
    nlohmann::json document{{"version", version},
                            {"services", nlohmann::json::array()},
                            {"routes", nlohmann::json::array()}};
    for (const std::string& service : services()) {
        document["services"].push_back({{"name", service}});
        document["routes"].push_back(route(service, true));
        document["routes"].push_back(route(service, false));
    }
    const auto result =
        testing::exchange(*client_, store_port_, {"PUT", "/control/document", {}, document.dump()},
                          milliseconds{2'000});
    return result.error == http_error::none && result.response.status == 200;
}

void deployment::lose_reads()
{
    testing::exchange(*client_, store_port_, {"PUT", "/control/lose_reads", {}, ""},
                      milliseconds{2'000});
}

} // namespace chestnutstand::soak
