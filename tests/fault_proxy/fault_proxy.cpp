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

/// Sets the faults from a JSON body like {"mode":"delay","direction":"response","delay_ms":50}.
http_response set_faults(relay& tcp, const http_request& request)
{
    const auto wanted = nlohmann::json::parse(request.body, nullptr, false);
    if (!wanted.is_object()) {
        return {400, {}, "expected a JSON object"};
    }
    const auto mode = fault_mode_names.find(wanted.value("mode", "pass"));
    const auto direction = fault_direction_names.find(wanted.value("direction", "both"));
    if (!mode || !direction) {
        return {400, {}, "unknown mode or direction"};
    }
    fault_settings faults;
    faults.mode = *mode;
    faults.direction = *direction;
    faults.delay = milliseconds{wanted.value("delay_ms", 0.0)};
    faults.bytes = wanted.value("bytes", std::size_t{0});
    tcp.set_faults(faults);
    return {200, {}, ""};
}

http_response handle(relay& tcp, const http_request& request)
{
    if (request.target == "/faults") {
        return set_faults(tcp, request);
    }
    if (request.target == "/counters") {
        const auto counts = tcp.counts();
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

int parse_target(int argc, char** argv)
{
    int port = 0;
    const option known[] = {{"target-port", required_argument, nullptr, 't'},
                            {nullptr, 0, nullptr, 0}};
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        if (found != 't') {
            std::exit(2);
        }
        port = std::atoi(optarg);
    }
    return port;
}

} // namespace

int main(int argc, char** argv)
{
    relay tcp{static_cast<std::uint16_t>(parse_target(argc, argv))};
    http_server control{{}, [&](const http_request& request, const std::shared_ptr<responder>& to) {
                            to->send(handle(tcp, request));
                        }};
    if (!control.start().ok()) {
        return EXIT_FAILURE;
    }
    std::printf("{\"port\":%d,\"control_port\":%d}\n", tcp.port(), control.port());
    std::fflush(stdout);
    // Ends with the test that started it, which holds the other end of standard input.
    while (std::getchar() != EOF) {
    }
    // Relay threads may be blocked in system calls.
    std::_Exit(EXIT_SUCCESS);
}
