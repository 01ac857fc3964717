#include "callers.h"

#include "../tests/support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <random>

namespace chestnutstand::soak {
namespace {

/// Longer than the time limit of the routes, so that the node responds before the client gives up.
constexpr milliseconds client_timeout{6'000};
constexpr int max_pause_ms = 40;
constexpr std::uint64_t calls_per_node = 20;
constexpr milliseconds version_interval{100};
constexpr milliseconds version_timeout{1'000};

} // namespace

callers::callers(deployment& cluster, std::uint64_t seed, std::size_t threads, time_point start)
    : cluster_{cluster}, start_{start}
{
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this, i, seed] { run(i, seed + i); });
    }
    threads_.emplace_back([this] { poll_versions(); });
}

callers::~callers()
{
    stop();
}

void callers::stop()
{
    stopped_ = true;
    for (std::thread& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void callers::run(std::size_t caller, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const auto client = make_http_client();
    std::size_t node = random() % cluster_.size();
    for (std::uint64_t count = 0; !stopped_; ++count) {
        if (random() % calls_per_node == 0) {
            node = random() % cluster_.size();
        }
        const auto& services = deployment::services();
        const auto& service = services[random() % services.size()];
        const bool repeatable = random() % 2 == 0;
        auto record =
            call(*client, absl::StrCat("c", caller, "-", count), node, service, repeatable);
        {
            const std::lock_guard lock{mutex_};
            calls_.push_back(std::move(record));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{random() % max_pause_ms});
    }
}

call_record callers::call(http_client& client, const std::string& id, std::size_t node,
                          const std::string& service, bool repeatable) const
{
    call_record record;
    record.id = id;
    record.repeatable = repeatable;
    record.node = node;
    record.time.from = elapsed();
    const std::string target = absl::StrCat("/", service, repeatable ? "/view/" : "/pay/", id);
    auto result =
        testing::exchange(client, cluster_.node(node).caller_link->port(),
                          {"POST",
                           target,
                           {{"Host", "soak.example"}, {std::string{header::request_id}, id}},
                           "payload of " + id},
                          client_timeout);
    record.time.to = elapsed();
    record.error = result.error;
    record.status = result.response.status;
    if (record.error == http_error::none && record.status == 200) {
        const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
        record.body_matches = body.is_object() && body.value("target", "") == target &&
                              body.value("echo", "") == "payload of " + id;
    }
    return record;
}

bool callers::all_served()
{
    for (std::size_t node = 0; node < cluster_.size(); ++node) {
        for (const auto& service : deployment::services()) {
            const auto record =
                call(*probe_client_, absl::StrCat("probe-", probe_count_++), node, service, true);
            if (record.error != http_error::none || record.status != 200) {
                return false;
            }
        }
    }
    return true;
}

void callers::poll_versions()
{
    const auto client = make_http_client();
    while (!stopped_) {
        for (std::size_t node = 0; node < cluster_.size() && !stopped_; ++node) {
            const std::size_t start_count = cluster_.node(node).start_count;
            const std::uint16_t port = cluster_.node(node).admin_port;
            const double requested_at = elapsed();
            const auto result =
                testing::exchange(*client, port, {"GET", "/status", {}, ""}, version_timeout);
            const auto status = nlohmann::json::parse(result.response.body, nullptr, false);
            if (!status.is_object() || !status["config_version"].is_number() ||
                start_count != cluster_.node(node).start_count) {
                continue;
            }
            const std::lock_guard lock{mutex_};
            versions_.push_back({node, start_count, requested_at, status["config_version"]});
        }
        std::this_thread::sleep_for(version_interval);
    }
}

} // namespace chestnutstand::soak
