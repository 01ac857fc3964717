#pragma once

#include "chestnutstand/transport/http_server.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace chestnutstand::testing {

/// Prints the port of a started server on standard output and waits for the end of standard input,
/// whose other end is held by the test that started the stub.
inline void wait_for_end_of_test(const http_server& server)
{
    std::printf("{\"port\":%d}\n", server.port());
    std::fflush(stdout);
    while (std::getchar() != EOF) {
    }
}

/// Runs a stub that consists of an HTTP handler only. Returns the exit status.
inline int run_stub(http_server_options options, http_server::handler handle)
{
    http_server server{std::move(options), std::move(handle)};
    if (!server.start().ok()) {
        return EXIT_FAILURE;
    }
    wait_for_end_of_test(server);
    server.stop();
    return EXIT_SUCCESS;
}

} // namespace chestnutstand::testing
