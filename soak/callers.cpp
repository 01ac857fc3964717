#include "callers.h"

#include "../tests/support/fleet.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <random>

namespace chestnutstand::soak {
namespace {

/// Longer than the time limit of the routes, so that the node answers first.
constexpr milliseconds patience{6'000};
constexpr int longest_pause_ms = 40;
constexpr std::uint64_t calls_per_node = 20;
constexpr milliseconds version_interval{100};
constexpr milliseconds version_timeout{1'000};

} // namespace

callers::callers(deployment& all, std::uint64_t seed, std::size_t threads, time_point start)
    : all_{all}, start_{start}
{
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this, i, seed] { run(i, seed + i); });
    }
    threads_.emplace_back([this] { read_versions(); });
}

callers::~callers()
{
    stop();
}

void callers::stop()
{
    stopped_ = true;
    for (std::thread& each : threads_) {
        if (each.joinable()) {
            each.join();
        }
    }
}

void callers::run(std::size_t caller, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const auto client = make_http_client();
    std::size_t node = random() % all_.size();
    for (std::uint64_t count = 0; !stopped_; ++count) {
        if (random() % calls_per_node == 0) {
            node = random() % all_.size();
        }
        const auto& services = deployment::services();
        const auto& service = services[random() % services.size()];
        const bool repeatable = random() % 2 == 0;
        auto seen = call(*client, absl::StrCat("c", caller, "-", count), node, service, repeatable);
        {
            const std::lock_guard lock{mutex_};
            calls_.push_back(std::move(seen));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{random() % longest_pause_ms});
    }
}

call_record callers::call(http_client& client, const std::string& id, std::size_t node,
                          const std::string& service, bool repeatable) const
{
    call_record seen;
    seen.id = id;
    seen.repeatable = repeatable;
    seen.node = node;
    seen.time.from = elapsed();
    const std::string target = absl::StrCat("/", service, repeatable ? "/view/" : "/pay/", id);
    auto result =
        testing::exchange(client, all_.node(node).caller_link->port(),
                          {"POST",
                           target,
                           {{"Host", "soak.example"}, {std::string{header::request_id}, id}},
                           "payload of " + id},
                          patience);
    seen.time.to = elapsed();
    seen.error = result.error;
    seen.status = result.response.status;
    if (seen.error == http_error::none && seen.status == 200) {
        const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
        seen.own_body = body.is_object() && body.value("target", "") == target &&
                        body.value("echo", "") == "payload of " + id;
    }
    return seen;
}

bool callers::all_served()
{
    for (std::size_t node = 0; node < all_.size(); ++node) {
        for (const auto& service : deployment::services()) {
            const auto seen =
                call(*probe_client_, absl::StrCat("probe-", probes_++), node, service, true);
            if (seen.error != http_error::none || seen.status != 200) {
                return false;
            }
        }
    }
    return true;
}

void callers::read_versions()
{
    const auto client = make_http_client();
    while (!stopped_) {
        for (std::size_t node = 0; node < all_.size() && !stopped_; ++node) {
            const std::size_t life = all_.node(node).life;
            const std::uint16_t port = all_.node(node).admin_port;
            const double asked = elapsed();
            const auto result =
                testing::exchange(*client, port, {"GET", "/status", {}, ""}, version_timeout);
            const auto status = nlohmann::json::parse(result.response.body, nullptr, false);
            if (!status.is_object() || !status["config_version"].is_number() ||
                life != all_.node(node).life) {
                continue;
            }
            const std::lock_guard lock{mutex_};
            versions_.push_back({node, life, asked, status["config_version"]});
        }
        std::this_thread::sleep_for(version_interval);
    }
}

} // namespace chestnutstand::soak
