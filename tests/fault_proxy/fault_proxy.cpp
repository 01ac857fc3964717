// Relays TCP connections on loopback and injects network faults into them.

#include "relay.h"

#include "chestnutstand/transport/http_server.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <string>

using namespace chestnutstand;
using namespace chestnutstand::testing;

namespace {

/// Sets the faults from a JSON body such as {"mode":"delay","direction":"response","delay_ms":50}.
http_response set_faults(relay& tcp_relay, const http_request& request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return {400, {}, "expected a JSON object"};
    }
    const auto mode = fault_mode_names.find(body.value("mode", "pass"));
    const auto direction = fault_direction_names.find(body.value("direction", "both"));
    if (!mode || !direction) {
        return {400, {}, "unknown mode or direction"};
    }
    fault_settings faults;
    faults.mode = *mode;
    faults.direction = *direction;
    faults.delay = milliseconds{body.value("delay_ms", 0.0)};
    faults.bytes = body.value("bytes", std::size_t{0});
    tcp_relay.set_faults(faults);
    return {200, {}, ""};
}

http_response handle(relay& tcp_relay, const http_request& request)
{
    if (request.target == "/faults") {
        return set_faults(tcp_relay, request);
    }
    if (request.target == "/counters") {
        const auto counts = tcp_relay.counts();
        return {200,
                {},
                nlohmann::json{{"connections", counts.connections},
                               {"request_bytes", counts.request_bytes},
                               {"response_bytes", counts.response_bytes},
                               {"faults", counts.faults}}
                    .dump()};
    }
    return {404, {}, ""};
}

int parse_target_port(int argc, char** argv)
{
    int port = 0;
    const option options[] = {{"target-port", required_argument, nullptr, 't'},
                              {nullptr, 0, nullptr, 0}};
    int option_value = 0;
    while ((option_value = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (option_value != 't') {
            std::exit(2);
        }
        port = std::atoi(optarg);
    }
    return port;
}

} // namespace

int main(int argc, char** argv)
{
    relay tcp_relay{static_cast<std::uint16_t>(parse_target_port(argc, argv))};
    http_server control{
        {}, [&](const http_request& request, const std::shared_ptr<responder>& response) {
            response->send(handle(tcp_relay, request));
        }};
    if (!control.start().ok()) {
        return EXIT_FAILURE;
    }
    std::printf("{\"port\":%d,\"control_port\":%d}\n", tcp_relay.port(), control.port());
    std::fflush(stdout);
    // The test that started this process holds the other end of standard input: end of file means
    // that the test has ended.
    while (std::getchar() != EOF) {
    }
    // Skips destructors, since relay threads may be blocked in system calls.
    std::_Exit(EXIT_SUCCESS);
}
