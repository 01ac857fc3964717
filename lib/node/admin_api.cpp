#include "chestnutstand/node/admin_api.h"

#include "chestnutstand/config/config_service.h"
#include "chestnutstand/membership/membership.h"
#include "chestnutstand/node/executor.h"
#include "chestnutstand/node/upstream_registry.h"
#include "chestnutstand/support/address.h"
#include "chestnutstand/support/json_parse.h"
#include "chestnutstand/support/log.h"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <optional>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace chestnutstand {
namespace {

using json = nlohmann::ordered_json;

constexpr std::uint32_t max_slots = 100'000;
/// Highest whole number that every JSON implementation represents exactly.
constexpr std::uint64_t max_sequence = (std::uint64_t{1} << 53U) - 1;
/// Clocks of VMs differ by seconds; a day also covers one that is being set.
constexpr std::uint64_t max_clock_difference_ms = 86'400'000;
constexpr std::string_view health_target = "/health";
constexpr std::string_view upstreams_prefix = "/upstreams/";
constexpr name_table<liveness, 4> liveness_names{{"alive", "suspect", "dead", "left"}};

http_response json_response(int status, const json& body)
{
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

http_response error_response(int status, std::string_view message)
{
    return json_response(status, json{{"error", message}});
}

/// Returns the parsed body, or a discarded value when it is not a JSON object or nested too deeply.
json parse_object(const std::string& body)
{
    json parsed = parse_untrusted_json<json>(body);
    if (!parsed.is_object()) {
        parsed = json(json::value_t::discarded);
    }
    return parsed;
}

std::optional<std::string> string_field(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::uint64_t> unsigned_field(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<local_upstream> read_upstream(const std::string& body)
{
    const json parsed = parse_object(body);
    if (parsed.is_discarded()) {
        return std::nullopt;
    }
    const auto service = string_field(parsed, "service");
    const auto address = string_field(parsed, "address");
    const auto slots = unsigned_field(parsed, "slots");
    const bool valid = service && !service->empty() && address && is_socket_address(*address) &&
                       slots && *slots > 0;
    if (!valid) {
        return std::nullopt;
    }
    return local_upstream{*service,
                          "http://" + *address,
                          static_cast<std::uint32_t>(std::min<std::uint64_t>(*slots, max_slots)),
                          {}};
}

/// Whether a process may have started at this Unix time in milliseconds.
bool is_plausible_birth(std::uint64_t born_ms)
{
    return born_ms <= unix_now_ms() + max_clock_difference_ms;
}

std::string upstream_id_of(const std::string& target)
{
    return target.substr(upstreams_prefix.size(), target.find('?') - upstreams_prefix.size());
}

/// Parses PUT /upstreams/{id}. own_service is the service of this VM's upstream, or empty when that
/// is not configured; a heartbeat for another service comes from another upstream and is an error.
absl::StatusOr<upstream_heartbeat> read_heartbeat(const http_request& request,
                                                  const std::string& own_service)
{
    const auto upstream = read_upstream(request.body);
    if (!upstream) {
        return absl::InvalidArgumentError("expected service, address (IP:PORT) and slots");
    }
    const json parsed = parse_object(request.body);
    const auto state = string_field(parsed, "state").value_or("");
    const auto parsed_state = upstream_state_names.find(state);
    if (!parsed_state) {
        return absl::InvalidArgumentError("expected state ready or draining, found " + state);
    }
    if (!own_service.empty() && upstream->service != own_service) {
        return absl::InvalidArgumentError("expected service " + own_service + ", found " +
                                          upstream->service);
    }
    upstream_heartbeat heartbeat;
    heartbeat.upstream = *upstream;
    heartbeat.upstream.id = upstream_id_of(request.target);
    heartbeat.state = *parsed_state;
    const auto sequence = unsigned_field(parsed, "sequence");
    const auto born = unsigned_field(parsed, "born");
    if (heartbeat.upstream.id.empty() || !sequence || !born) {
        return absl::InvalidArgumentError("expected an id, sequence and born");
    }
    // Later heartbeats with lower numbers would be outdated.
    if (*sequence > max_sequence || !is_plausible_birth(*born)) {
        return absl::InvalidArgumentError("expected a lower sequence or born");
    }
    heartbeat.sequence = *sequence;
    heartbeat.born_ms = *born;
    heartbeat.upstream.born_ms = *born;
    const auto cold = parsed.find("cold_ms");
    if (cold != parsed.end() && cold->is_number()) {
        heartbeat.warmup_left = milliseconds{std::max(0.0, cold->get<double>())};
    }
    return heartbeat;
}

json describe(const member& node_member)
{
    return {{"instance", absl::StrCat(absl::Hex(node_member.node.instance))},
            {"address", node_member.node.address},
            {"node_port", node_member.node.node_port},
            {"data_centre", node_member.data_centre},
            {"service", node_member.service},
            {"state", liveness_names.name(node_member.state)},
            {"draining", node_member.draining}};
}

json describe(const source_progress& progress)
{
    const time_point now = ms_clock::now();
    const auto elapsed = [now](const std::optional<time_point>& since) {
        return since ? json((now - *since).count()) : json(nullptr);
    };
    return {{"answered_ms_ago", elapsed(progress.answered_at)},
            {"waiting_ms", elapsed(progress.waiting_since)}};
}

json describe(const load_report& load)
{
    json queues = json::object();
    for (const auto& queue : load.queues) {
        queues[queue.priority] = queue.length;
    }
    return {{"in_flight", load.in_flight},
            {"limit", load.limit},
            {"latency_ms", load.latency.count()},
            {"queues", queues}};
}

} // namespace

admin_api::admin_api(kernel& node) : node_{node} {}

void admin_api::handle_readiness(const http_request& request,
                                 const std::shared_ptr<responder>& response)
{
    if (request.method == "GET" && request.target == health_target) {
        health(*response);
        return;
    }
    response->send(error_response(404, "no such endpoint"));
}

void admin_api::handle_registration(const http_request& request,
                                    const std::shared_ptr<responder>& response)
{
    const bool is_upstream_target = request.target.rfind(upstreams_prefix, 0) == 0;
    if (is_upstream_target && request.method == "PUT") {
        handle_heartbeat(request, response);
    }
    else if (is_upstream_target && request.method == "DELETE") {
        handle_departure(request, response);
    }
    else {
        response->send(error_response(404, "no such endpoint"));
    }
}

void admin_api::handle(const http_request& request, const std::shared_ptr<responder>& response)
{
    const std::string route = request.method + " " + request.target;
    if (route == "POST /register") {
        register_upstream(request, response);
    }
    else if (route == "POST /deregister") {
        deregister_upstream(response);
    }
    else if (route == "GET /metrics") {
        metrics(*response);
    }
    else if (route == "GET /health") {
        health(*response);
    }
    else if (request.target.rfind(upstreams_prefix, 0) == 0) {
        handle_registration(request, response);
    }
    else if (route == "GET /status") {
        status(response);
    }
    else if (route == "GET /config") {
        show_config(response);
    }
    else if (route == "POST /config/changes") {
        publish_change(request, response);
    }
    else if (route == "POST /drain") {
        response->send(json_response(202, {{"status", "draining"}}));
        ::kill(::getpid(), SIGTERM);
    }
    else {
        response->send(error_response(404, "no such endpoint"));
    }
}

// A node without a configuration document reports that it is not ready, because it would refuse
// every call that it receives.
void admin_api::health(responder& response)
{
    const bool draining = node_.draining();
    const bool ready = !draining && node_.get<configuration>().current().load() != nullptr;
    const char* status = ready ? "ok" : draining ? "draining" : "no_configuration";
    response.send(json_response(ready ? 200 : 503, {{"status", status}}));
}

void admin_api::handle_heartbeat(const http_request& request,
                                 const std::shared_ptr<responder>& response)
{
    auto heartbeat = read_heartbeat(request, node_.config().origin_service);
    if (!heartbeat.ok()) {
        log_event(
            log_level::warning, "heartbeat refused",
            {{"target", request.target}, {"reason", std::string{heartbeat.status().message()}}});
        response->send(error_response(400, std::string{heartbeat.status().message()}));
        return;
    }
    node_.control().post([this, response, heartbeat = *std::move(heartbeat)] {
        const auto now = ms_clock::now();
        const auto result = node_.get<upstream_registry>().announce(heartbeat, now);
        if (result == heartbeat_result::accepted) {
            node_.get<executor>().observe_heartbeat(heartbeat.upstream, heartbeat.warmup_left, now);
        }
        // An outdated heartbeat gets a success response too, because the sender must not retry it.
        response->send(json_response(
            200, {{"status", result == heartbeat_result::accepted ? "registered" : "outdated"}}));
    });
}

void admin_api::handle_departure(const http_request& request,
                                 const std::shared_ptr<responder>& response)
{
    const std::string id = upstream_id_of(request.target);
    const json parsed = parse_object(request.body);
    const auto born = parsed.is_discarded() ? std::nullopt : unsigned_field(parsed, "born");
    if (born && !is_plausible_birth(*born)) {
        // It would keep all later processes with this id out.
        log_event(log_level::warning, "departure refused", {{"upstream", id}, {"born_ms", *born}});
        response->send(error_response(400, "expected a lower born"));
        return;
    }
    node_.control().post([this, response, id, born] {
        node_.get<upstream_registry>().leave(id, born.value_or(0), unix_now_ms());
        response->send(json_response(200, {{"status", "deregistered"}}));
    });
}

void admin_api::metrics(responder& response)
{
    if (const auto* members = node_.find<membership>()) {
        const gossip_traffic traffic = members->traffic();
        node_.stats().counter("chestnutstand_gossip_packets_sent_total") = traffic.packets_sent;
        node_.stats().counter("chestnutstand_gossip_packets_received_total") =
            traffic.packets_received;
        node_.stats().counter("chestnutstand_gossip_bytes_sent_total") = traffic.bytes_sent;
        node_.stats().counter("chestnutstand_gossip_bytes_received_total") = traffic.bytes_received;
        node_.stats().counter("chestnutstand_member_sync_bytes_sent_total") =
            traffic.sync_bytes_sent;
        node_.stats().counter("chestnutstand_member_sync_bytes_received_total") =
            traffic.sync_bytes_received;
    }
    const auto memory = node_.memory()->read();
    node_.stats().counter("chestnutstand_body_memory_bytes") = memory.held_bytes;
    node_.stats().counter("chestnutstand_body_memory_limit_bytes") = memory.max_bytes;
    node_.stats().counter("chestnutstand_body_memory_refusals_total") = memory.refusals;
    node_.stats().counter("chestnutstand_body_memory_ended_total") = memory.holders_ended;
    if (const auto* callers = node_.find<http_server>()) {
        const auto connections = callers->read();
        node_.stats().counter("chestnutstand_caller_connections") = connections.open_connections;
        node_.stats().counter("chestnutstand_caller_connections_closed_total") =
            connections.closed_for_descriptors;
        node_.stats().counter("chestnutstand_caller_connections_ended_total") =
            connections.closed_for_memory;
    }
    response.send({200, {{"Content-Type", "text/plain; version=0.0.4"}}, node_.stats().render()});
}

void admin_api::register_upstream(const http_request& request,
                                  const std::shared_ptr<responder>& response)
{
    auto upstream = read_upstream(request.body);
    if (!upstream) {
        response->send(error_response(
            400, "expected {\"service\": name, \"address\": ip:port, \"slots\": 1..100000}"));
        return;
    }
    node_.control().post([this, response, upstream = std::move(*upstream)]() mutable {
        node_.get<upstream_registry>().admit(std::move(upstream), ms_clock::now());
        response->send(json_response(200, {{"status", "registered"}}));
    });
}

void admin_api::deregister_upstream(const std::shared_ptr<responder>& response)
{
    node_.control().post([this, response] {
        node_.get<upstream_registry>().withdraw();
        response->send(json_response(200, {{"status", "deregistered"}}));
    });
}

void admin_api::status(const std::shared_ptr<responder>& response)
{
    node_.control().post([this, response] {
        const auto& own_ports = node_.ports();
        json body{{"instance", absl::StrCat(absl::Hex(node_.instance()))},
                  {"data_centre", node_.config().data_centre},
                  {"draining", node_.draining()},
                  {"ports",
                   {{"caller", own_ports.caller},
                    {"admin", own_ports.admin},
                    {"node", own_ports.node},
                    {"gossip", own_ports.gossip}}}};
        const auto active_document = node_.get<configuration>().current().load();
        body["config_version"] = active_document ? json(active_document->version) : json(nullptr);
        body["document_source"] = describe(node_.get<configuration>().progress());
        const auto upstream = node_.get<executor>().upstream();
        body["upstream"] = upstream ? json{{"service", upstream->service},
                                           {"url", upstream->base_url},
                                           {"slots", upstream->slots}}
                                    : json(nullptr);
        body["load"] = describe(node_.get<executor>().report());
        body["routes"] = json::object();
        for (const auto& [service, members] : node_.get<membership>().table().load()->by_service) {
            body["routes"][service] = members.size();
        }
        body["members"] = json::array();
        for (const auto& node_member : node_.get<membership>().members()) {
            body["members"].push_back(describe(node_member));
        }
        response->send(json_response(200, body));
    });
}

void admin_api::show_config(const std::shared_ptr<responder>& response)
{
    auto* service = node_.find<config_service>();
    if (service == nullptr) {
        response->send(error_response(404, "the document is not a log of changes"));
        return;
    }
    node_.control().post([service, response] {
        const config_state state = service->state();
        json sections = json::array();
        for (const auto& section : state.sections) {
            sections.push_back({{"section", section.name},
                                {"owner", section.owner},
                                {"version", section.version},
                                {"content", section.content}});
        }
        response->send(
            json_response(200, {{"version", state.version}, {"sections", std::move(sections)}}));
    });
}

void admin_api::publish_change(const http_request& request,
                               const std::shared_ptr<responder>& response)
{
    const json parsed = parse_object(request.body);
    const auto id = parsed.is_discarded() ? std::nullopt : string_field(parsed, "change_id");
    const auto team = parsed.is_discarded() ? std::nullopt : string_field(parsed, "team");
    const auto section = parsed.is_discarded() ? std::nullopt : string_field(parsed, "section");
    const auto base = parsed.is_discarded() ? std::nullopt : unsigned_field(parsed, "base_version");
    const auto content = parsed.is_discarded() ? std::nullopt : string_field(parsed, "content");
    if (!id || !team || !section || !base || !content) {
        response->send(
            error_response(400, "expected change_id, team, section, base_version and content"));
        return;
    }
    auto* service = node_.find<config_service>();
    if (service == nullptr) {
        response->send(error_response(404, "the document is not a log of changes"));
        return;
    }
    section_change change{*id, *team, *section, *base, *content};
    node_.control().post([service, response, change = std::move(change)]() mutable {
        service->publish(
            std::move(change), [response](const absl::StatusOr<publish_verdict>& verdict) {
                if (!verdict.ok()) {
                    // 504: the change may still take effect. 503: it was not published.
                    const int status = absl::IsDeadlineExceeded(verdict.status()) ? 504 : 503;
                    response->send(error_response(status, std::string{verdict.status().message()}));
                    return;
                }
                response->send(json_response(200, {{"accepted", verdict->accepted},
                                                   {"version", verdict->version},
                                                   {"explanation", verdict->explanation}}));
            });
    });
}

} // namespace chestnutstand
