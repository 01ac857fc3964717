#pragma once

#include "process.h"

#include "chestnutstand/transport/http_client.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chestnutstand::testing {

/// Sends a request to a port on loopback and waits for the result.
http_result exchange(http_client& client, std::uint16_t port, http_request request,
                     milliseconds timeout = milliseconds{30'000});

/// Polls a condition until it is true or the limit has passed. Returns whether it became true.
bool eventually(const std::function<bool()>& condition, milliseconds limit = milliseconds{20'000});

/// A node process and the stub upstream beside it, if any.
struct fleet_member {
    std::string data_centre;
    std::string service;
    std::unique_ptr<process> node;
    std::unique_ptr<process> upstream;
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t node_port = 0;
    std::uint16_t gossip_port = 0;
    std::uint16_t upstream_port = 0;
};

/// A log stub and any number of nodes with their upstreams, all as separate processes on loopback.
class fleet {
public:
    fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// Starts a node and, unless the service is empty, an upstream of the service beside it.
    fleet_member& add(const std::string& data_centre, const std::string& service,
                      const std::vector<std::string>& upstream_arguments = {});

    /// Publishes a section through a node and waits for the result.
    nlohmann::json publish(const fleet_member& member, const std::string& team,
                           const std::string& section, std::uint64_t base_version,
                           const std::string& content, const std::string& change_id);

    /// Waits until every running node has a document and routes calls to the given number of
    /// members. Returns whether that happened in time.
    bool wait_until_ready(std::size_t members);

    /// Returns the JSON that the node's admin port serves at /status; null if it is not available.
    nlohmann::json status(const fleet_member& member);

    /// Posts a JSON body to the control endpoint of a stub. Returns whether the stub accepted it.
    bool control(std::uint16_t port, const std::string& target, const nlohmann::json& body);
    nlohmann::json counters(const fleet_member& member);

    http_client& client() { return *client_; }
    std::vector<std::unique_ptr<fleet_member>>& members() { return members_; }
    std::uint16_t log_port() const { return log_port_; }
    process& log() { return *log_; }
    /// Differs between fleets, since the nodes of concurrent tests can reuse each other's ports.
    const std::string& cluster_secret() const { return cluster_secret_; }
    const std::filesystem::path& directory() const { return directory_; }
    /// Settings merged into the settings files of nodes that are added later.
    nlohmann::json& extra_settings() { return extra_settings_; }

private:
    std::filesystem::path directory_;
    std::string cluster_secret_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<process> log_;
    std::uint16_t log_port_ = 0;
    nlohmann::json extra_settings_ = nlohmann::json::object();
    std::vector<std::unique_ptr<fleet_member>> members_;
};

/// Returns section content with the services, each with an idempotent priority class "read" and a
/// non-idempotent priority class "write".
std::string section_content(const std::string& owner, const std::vector<std::string>& services);

} // namespace chestnutstand::testing
