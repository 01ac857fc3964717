#pragma once

#include "chestnutstand/transport/http_server.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace chestnutstand::testing {

/// Tells the port of a started server on standard output and waits until the test that started the
/// stub, which holds the other end of standard input, ends.
inline void wait_for_end_of_test(const http_server& server)
{
    std::printf("{\"port\":%d}\n", server.port());
    std::fflush(stdout);
    while (std::getchar() != EOF) {
    }
}

/// Runs a stub whose handler is its only part; the exit status.
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
