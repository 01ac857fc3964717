#pragma once

#include "subcommand.h"

#include "chestnutstand/transport/http_client.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Sends requests to the admin port of one node.
class admin_client {
public:
    admin_client() : http_{make_http_client()} {}

    /// Options that select the node; a subcommand adds them to its own.
    std::vector<command_option> options();

    /// Determines the URL of the admin port. FailedPreconditionError when no option selects a node,
    /// another error when the settings file is unreadable, invalid or has no fixed admin port.
    absl::Status resolve();

    /// Returns the node's response, whatever its status; UnavailableError when there is none.
    absl::StatusOr<http_response> request(std::string_view method, std::string_view target,
                                          std::string body = "");

private:
    std::unique_ptr<http_client> http_;
    std::string url_;
    std::string settings_file_;
};

/// Resolves the node, sends one request and prints the body of a response with a 2xx status.
int request_and_print(admin_client& admin, std::string_view method, std::string_view target);

/// Prints the error of resolve() or request() and returns the matching exit status.
int fail_with(const absl::Status& status);

} // namespace chestnutstand
