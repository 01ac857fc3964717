// Stand-in for an upstream server: limited slots, settable service time, execution history, faults.

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
    /// Port to register in place of the own one; 0 means the own one.
    int announced_port = 0;
    double service_ms = 0.0;
    /// File of JSON lines, one per execution; empty means none.
    std::string history;
    /// File of JSON lines, one per request, written before it runs; empty means none.
    std::string arrivals;
};

/// Behaviour that a test can change while the stub runs.
struct behaviour {
    double service_ms = 0.0;
    /// Answers 503 with proof of not-run at once.
    bool shed = false;
    /// Answers 500 at once.
    bool fail_fast = false;
    /// Answers with the id and the content of another request.
    bool cross_answers = false;
    /// What GET /load claims to be in flight; negative means the truth.
    int claimed_in_flight = -1;
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
        const auto wanted = nlohmann::json::parse(request.body, nullptr, false);
        if (!wanted.is_object()) {
            response.send({400, {}, ""});
            return;
        }
        const std::lock_guard lock{mutex_};
        behaviour_.service_ms = wanted.value("service_ms", behaviour_.service_ms);
        behaviour_.shed = wanted.value("shed", behaviour_.shed);
        behaviour_.fail_fast = wanted.value("fail_fast", behaviour_.fail_fast);
        behaviour_.cross_answers = wanted.value("cross_answers", behaviour_.cross_answers);
        behaviour_.claimed_in_flight =
            wanted.value("claimed_in_flight", behaviour_.claimed_in_flight);
        response.send({200, {}, ""});
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

    static std::string text(const http_request& request, std::string_view name)
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
        behaviour now;
        {
            const std::lock_guard lock{mutex_};
            ++attempts_;
            now = behaviour_;
        }
        const std::string id = text(request, header::request_id);
        note_arrival(id, !now.shed);
        http_response answer;
        answer.headers.push_back(
            {std::string{header::request_id}, now.cross_answers ? id + "-other" : id});
        if (now.shed) {
            answer.status = 503;
            answer.headers.push_back({std::string{header::not_run}, "true"});
            response->send(std::move(answer));
            return;
        }
        if (now.fail_fast) {
            answer.status = 500;
            response->send(std::move(answer));
            return;
        }
        begin_execution();
        answer.status = 200;
        answer.headers.push_back({"Content-Type", "application/json"});
        answer.body = nlohmann::json{
            {"service", options_.service},
            {"target", request.target},
            {"method", request.method},
            {"echo", now.cross_answers ? "content of another request" : request.body},
            {"headers", header_names(request)},
            {"timeout_ms", text(request, header::timeout_ms)},
            {"depth", text(request, header::depth)},
            {"execution",
             id}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        const time_point start = ms_clock::now();
        const auto finish = [this, request, response, answer, start] {
            end_execution(request, answer, start);
            response->send(answer);
        };
        if (now.service_ms <= 0.0) {
            finish();
            return;
        }
        loop_.post_after(milliseconds{now.service_ms}, finish);
    }

    void note_arrival(const std::string& id, bool runs)
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

    void end_execution(const http_request& request, const http_response& answer, time_point start)
    {
        const std::lock_guard lock{mutex_};
        --in_flight_;
        if (!history_.is_open()) {
            return;
        }
        history_ << nlohmann::json{{"type", "execution"},
                                   {"service", options_.service},
                                   {"key", text(request, header::idempotency_key)},
                                   {"payload", request.body},
                                   {"response", answer.body},
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

void announce(http_client& client, const stub_options& options, int port)
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
    const option known[] = {{"service", required_argument, nullptr, 's'},
                            {"node-admin-port", required_argument, nullptr, 'n'},
                            {"slots", required_argument, nullptr, 'l'},
                            {"history", required_argument, nullptr, 'h'},
                            {"arrivals", required_argument, nullptr, 'a'},
                            {"announced-port", required_argument, nullptr, 'p'},
                            {"service-ms", required_argument, nullptr, 'm'},
                            {nullptr, 0, nullptr, 0}};
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (found) {
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
    http_server server{server_options,
                       [&](const http_request& request, const std::shared_ptr<responder>& to) {
                           upstream.handle(request, to);
                       }};
    if (!server.start().ok()) {
        return EXIT_FAILURE;
    }
    const auto client = make_http_client();
    control_loop announcer;
    if (options.node_admin_port != 0) {
        const int port = options.announced_port != 0 ? options.announced_port : server.port();
        const auto again = [&client, &options, port] { announce(*client, options, port); };
        announcer.post(again);
        announcer.repeat(register_interval, again);
    }
    chestnutstand::testing::wait_for_end_of_test(server);
    announcer.stop();
    server.stop();
    return EXIT_SUCCESS;
}
