#pragma once

#include "subcommand.h"

#include "chestnutstand/transport/http_client.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// Requests to the admin port of one node.
class admin_client {
public:
    admin_client() : http_{make_http_client()} {}

    /// Options that name the node; to be added to a subcommand's own.
    std::vector<command_option> options();

    /// Error when no node was named, or its settings file is invalid.
    absl::Status resolve();

    /// The node's response, whatever its status; unavailable when there is none.
    absl::StatusOr<http_response> request(std::string_view method, std::string_view target,
                                          std::string body = "");

private:
    std::unique_ptr<http_client> http_;
    std::string url_;
    std::string settings_file_;
};

/// Resolves the node, sends one request and prints the body of a response with a 2xx status.
int request_and_print(admin_client& admin, std::string_view method, std::string_view target);

/// Exit status and message for an error of resolve() or request().
int fail_with(const absl::Status& status);

} // namespace chestnutstand
