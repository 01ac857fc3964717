// Stub of an upstream server that registers a number of slots, has a configurable service time and
// faults, and writes an execution history.

#include "../support/stub_main.h"

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/transport/headers.h"
#include "chestnutstand/transport/http_client.h"
#include "chestnutstand/transport/http_server.h"

#include <absl/strings/ascii.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <mutex>
#include <string>

using namespace chestnutstand;

namespace {

constexpr milliseconds register_interval{1'000};
constexpr milliseconds register_timeout{1'000};

struct stub_options {
    std::string service;
    /// Admin port of the node beside this upstream; 0 means no registration.
    int node_admin_port = 0;
    int slots = 10;
    /// Port to register instead of the listening port; 0 means the listening port.
    int announced_port = 0;
    double service_ms = 0.0;
    /// File of JSON lines, one per execution; empty means none.
    std::string history;
    /// File of JSON lines, one per request, written before the request runs; empty means none.
    std::string arrivals;
};

/// Behaviour that a test can change while the stub runs.
struct behaviour {
    double service_ms = 0.0;
    /// Responds immediately with 503 and the header that states that the request was not run.
    bool shed = false;
    /// Responds immediately with 500.
    bool fail_fast = false;
    /// Responds with the id and the content of another request.
    bool cross_answers = false;
    /// Number of requests in flight that GET /load reports; negative means the actual number.
    int claimed_in_flight = -1;
    /// Time for which GET /health says that the upstream is cold; negative means that there is no
    /// such path.
    double cold_ms = -1.0;
};

class stub_upstream {
public:
    explicit stub_upstream(stub_options options) : options_{std::move(options)}
    {
        behaviour_.service_ms = options_.service_ms;
        if (!options_.history.empty()) {
            history_.open(options_.history, std::ios::app);
        }
        if (!options_.arrivals.empty()) {
            arrivals_.open(options_.arrivals, std::ios::app);
        }
    }

    void handle(const http_request& request, const std::shared_ptr<responder>& response)
    {
        if (request.target == "/behaviour") {
            set_behaviour(request, *response);
        }
        else if (request.target == "/load") {
            report_load(*response);
        }
        else if (request.target == "/health" && states_cold_time()) {
            report_health(*response);
        }
        else if (request.target == "/counters") {
            report_counters(*response);
        }
        else {
            serve(request, response);
        }
    }

private:
    void set_behaviour(const http_request& request, responder& response)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.send({400, {}, ""});
            return;
        }
        const std::lock_guard lock{mutex_};
        behaviour_.service_ms = body.value("service_ms", behaviour_.service_ms);
        behaviour_.shed = body.value("shed", behaviour_.shed);
        behaviour_.fail_fast = body.value("fail_fast", behaviour_.fail_fast);
        behaviour_.cross_answers = body.value("cross_answers", behaviour_.cross_answers);
        behaviour_.claimed_in_flight =
            body.value("claimed_in_flight", behaviour_.claimed_in_flight);
        behaviour_.cold_ms = body.value("cold_ms", behaviour_.cold_ms);
        response.send({200, {}, ""});
    }

    bool states_cold_time()
    {
        const std::lock_guard lock{mutex_};
        return behaviour_.cold_ms >= 0.0;
    }

    void report_health(responder& response)
    {
        const std::lock_guard lock{mutex_};
        response.send({200, {{"Cold", std::to_string(behaviour_.cold_ms)}}, ""});
    }

    void report_load(responder& response)
    {
        const std::lock_guard lock{mutex_};
        ++probes_;
        const int claimed =
            behaviour_.claimed_in_flight >= 0 ? behaviour_.claimed_in_flight : in_flight_;
        response.send({200,
                       {{"Content-Type", "application/json"}},
                       nlohmann::json{{"in_flight", claimed}, {"slots", options_.slots}}.dump()});
    }

    void report_counters(responder& response)
    {
        const std::lock_guard lock{mutex_};
        response.send({200,
                       {{"Content-Type", "application/json"}},
                       nlohmann::json{{"executions", executions_},
                                      {"attempts", attempts_},
                                      {"probes", probes_},
                                      {"peak_in_flight", peak_}}
                           .dump()});
    }

    static std::string header_text(const http_request& request, std::string_view name)
    {
        return std::string{find_header(request.headers, name).value_or("")};
    }

    static nlohmann::json header_names(const http_request& request)
    {
        auto names = nlohmann::json::array();
        for (const auto& field : request.headers) {
            names.push_back(absl::AsciiStrToLower(field.name));
        }
        return names;
    }

    void serve(const http_request& request, const std::shared_ptr<responder>& response)
    {
        behaviour current;
        {
            const std::lock_guard lock{mutex_};
            ++attempts_;
            current = behaviour_;
        }
        const std::string id = header_text(request, header::request_id);
        record_arrival(id, !current.shed);
        http_response reply;
        reply.headers.push_back(
            {std::string{header::request_id}, current.cross_answers ? id + "-other" : id});
        if (current.shed) {
            reply.status = 503;
            reply.headers.push_back({std::string{header::not_run}, "true"});
            response->send(std::move(reply));
            return;
        }
        if (current.fail_fast) {
            reply.status = 500;
            response->send(std::move(reply));
            return;
        }
        begin_execution();
        reply.status = 200;
        reply.headers.push_back({"Content-Type", "application/json"});
        reply.body = nlohmann::json{
            {"service", options_.service},
            {"target", request.target},
            {"method", request.method},
            {"echo", current.cross_answers ? "content of another request" : request.body},
            {"headers", header_names(request)},
            {"tenant", header_text(request, "Tenant")},
            {"timeout_ms", header_text(request, header::timeout_ms)},
            {"depth", header_text(request, header::depth)},
            {"execution",
             id}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        const time_point start = ms_clock::now();
        const auto finish = [this, request, response, reply, start] {
            end_execution(request, reply, start);
            response->send(reply);
        };
        if (current.service_ms <= 0.0) {
            finish();
            return;
        }
        loop_.post_after(milliseconds{current.service_ms}, finish);
    }

    void record_arrival(const std::string& id, bool runs)
    {
        const std::lock_guard lock{mutex_};
        if (arrivals_.is_open()) {
            arrivals_ << nlohmann::json{{"id", id},
                                        {"runs", runs},
                                        {"time", ms_clock::now().time_since_epoch().count()}}
                             .dump()
                      << std::endl;
        }
    }

    void begin_execution()
    {
        const std::lock_guard lock{mutex_};
        ++executions_;
        peak_ = std::max(peak_, ++in_flight_);
    }

    void end_execution(const http_request& request, const http_response& reply, time_point start)
    {
        const std::lock_guard lock{mutex_};
        --in_flight_;
        if (!history_.is_open()) {
            return;
        }
        history_ << nlohmann::json{{"type", "execution"},
                                   {"service", options_.service},
                                   {"key", header_text(request, header::idempotency_key)},
                                   {"payload", request.body},
                                   {"response", reply.body},
                                   {"start", start.time_since_epoch().count()},
                                   {"end", ms_clock::now().time_since_epoch().count()}}
                        .dump()
                 << std::endl;
    }

    stub_options options_;
    std::mutex mutex_;
    behaviour behaviour_;
    std::ofstream history_;
    std::ofstream arrivals_;
    int in_flight_ = 0;
    int peak_ = 0;
    std::uint64_t executions_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t probes_ = 0;
    control_loop loop_;
};

void send_registration(http_client& client, const stub_options& options, int port)
{
    http_request request;
    request.method = "POST";
    request.target = "/register";
    request.body = nlohmann::json{{"service", options.service},
                                  {"address", "127.0.0.1:" + std::to_string(port)},
                                  {"slots", options.slots}}
                       .dump();
    client.send("http://127.0.0.1:" + std::to_string(options.node_admin_port), std::move(request),
                register_timeout, [](const http_result&) {});
}

stub_options parse_options(int argc, char** argv)
{
    stub_options options;
    const option long_options[] = {{"service", required_argument, nullptr, 's'},
                                   {"node-admin-port", required_argument, nullptr, 'n'},
                                   {"slots", required_argument, nullptr, 'l'},
                                   {"history", required_argument, nullptr, 'h'},
                                   {"arrivals", required_argument, nullptr, 'a'},
                                   {"announced-port", required_argument, nullptr, 'p'},
                                   {"service-ms", required_argument, nullptr, 'm'},
                                   {nullptr, 0, nullptr, 0}};
    int option_value = 0;
    while ((option_value = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
        switch (option_value) {
        case 's':
            options.service = optarg;
            break;
        case 'n':
            options.node_admin_port = std::atoi(optarg);
            break;
        case 'l':
            options.slots = std::atoi(optarg);
            break;
        case 'h':
            options.history = optarg;
            break;
        case 'a':
            options.arrivals = optarg;
            break;
        case 'p':
            options.announced_port = std::atoi(optarg);
            break;
        case 'm':
            options.service_ms = std::strtod(optarg, nullptr);
            break;
        default:
            std::exit(2);
        }
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    const stub_options options = parse_options(argc, argv);
    stub_upstream upstream{options};
    http_server_options server_options;
    server_options.threads = 2;
    http_server server{server_options, [&](const http_request& request,
                                           const std::shared_ptr<responder>& response) {
                           upstream.handle(request, response);
                       }};
    if (!server.start().ok()) {
        return EXIT_FAILURE;
    }
    const auto client = make_http_client();
    control_loop registration_loop;
    if (options.node_admin_port != 0) {
        const int port = options.announced_port != 0 ? options.announced_port : server.port();
        const auto register_upstream = [&client, &options, port] {
            send_registration(*client, options, port);
        };
        registration_loop.post(register_upstream);
        registration_loop.repeat(register_interval, register_upstream);
    }
    chestnutstand::testing::wait_for_end_of_test(server);
    registration_loop.stop();
    server.stop();
    return EXIT_SUCCESS;
}
