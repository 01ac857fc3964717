#include "chestnutstand/admission/load_prober.h"

#include "chestnutstand/support/json_parse.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <utility>

namespace chestnutstand {
namespace {

constexpr milliseconds probe_timeout{1000};
constexpr int status_ok = 200;
/// Far more than a report of load or health takes.
constexpr std::size_t max_probe_response_bytes = std::size_t{1} << 20U;

std::optional<upstream_load> parse_load(const http_result& result)
{
    if (result.error != http_error::none || result.response.status != status_ok) {
        return std::nullopt;
    }
    const auto body = parse_untrusted_json<nlohmann::json>(result.response.body);
    if (!body.is_object()) {
        return std::nullopt;
    }
    const auto in_flight = body.find("in_flight");
    const auto slots = body.find("slots");
    if (in_flight == body.end() || !in_flight->is_number_unsigned() || slots == body.end() ||
        !slots->is_number_unsigned()) {
        return std::nullopt;
    }
    return upstream_load{in_flight->get<std::uint32_t>(), slots->get<std::uint32_t>(),
                         ms_clock::now()};
}

} // namespace

struct load_prober::state {
    state(double probes_per_s, time_point now) : budget{probes_per_s, now} {}

    mutable std::mutex mutex;
    probe_budget budget;
    std::optional<upstream_load> last;
    std::uint64_t sent = 0;
};

http_request make_probe_request(std::string target)
{
    http_request request;
    request.method = "GET";
    request.target = std::move(target);
    request.max_response_bytes = max_probe_response_bytes;
    return request;
}

load_prober::load_prober(http_client& client, double probes_per_s, time_point now)
    : client_{client}, state_{std::make_shared<state>(probes_per_s, now)}
{
}

void load_prober::poll(const std::string& base_url, time_point now)
{
    {
        const std::lock_guard lock{state_->mutex};
        if (!state_->budget.try_begin(now)) {
            return;
        }
        ++state_->sent;
    }
    client_.send(base_url, make_probe_request("/load"), probe_timeout,
                 [shared = state_](const http_result& result) {
                     const auto load = parse_load(result);
                     const std::lock_guard lock{shared->mutex};
                     shared->budget.end();
                     if (load) {
                         shared->last = load;
                     }
                 });
}

void load_prober::set_rate(double probes_per_s, time_point now)
{
    const std::lock_guard lock{state_->mutex};
    state_->budget.set_rate(probes_per_s, now);
}

std::optional<upstream_load> load_prober::last() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->last;
}

std::uint64_t load_prober::sent() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->sent;
}

} // namespace chestnutstand
