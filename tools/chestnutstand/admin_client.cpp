#include "admin_client.h"

#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/support/str_cat.h"

#include <future>
#include <iostream>

namespace chestnutstand {
namespace {

/// Longer than a node waits for the verdict on a published change.
constexpr milliseconds admin_timeout{15'000};

} // namespace

std::vector<command_option> admin_client::options()
{
    return {{"admin", "URL", "admin port of a node, http://IP:PORT", &url_},
            {"settings", "FILE", "settings file of the node, instead of --admin", &settings_file_}};
}

absl::Status admin_client::resolve()
{
    if (!url_.empty()) {
        return absl::OkStatus();
    }
    if (settings_file_.empty()) {
        return absl::FailedPreconditionError("expected --admin URL or --settings FILE");
    }
    const auto loaded = load_settings(settings_file_);
    if (!loaded.ok()) {
        return loaded.status();
    }
    if (loaded->admin_port == 0) {
        return absl::InvalidArgumentError(
            str_cat(settings_file_, ": admin_port: expected a port other than 0, or --admin URL"));
    }
    const bool is_ipv6 = loaded->address.find(':') != std::string::npos;
    const auto host = is_ipv6 ? str_cat("[", loaded->address, "]") : loaded->address;
    url_ = str_cat("http://", host, ":", loaded->admin_port);
    return absl::OkStatus();
}

absl::StatusOr<http_response> admin_client::request(std::string_view method,
                                                    std::string_view target, std::string body)
{
    http_request request{std::string{method}, std::string{target}, {}, std::move(body)};
    auto response_promise = std::make_shared<std::promise<http_result>>();
    http_->send(url_, std::move(request), admin_timeout, [response_promise](http_result result) {
        response_promise->set_value(std::move(result));
    });
    auto result = response_promise->get_future().get();
    if (result.error == http_error::none) {
        return std::move(result.response);
    }
    return absl::UnavailableError(
        str_cat("no answer from the node at ", url_,
                result.error == http_error::connect_failed ? ": connection refused" : ""));
}

int fail_with(const absl::Status& status)
{
    const auto message = std::string{status.message()};
    switch (status.code()) {
    case absl::StatusCode::kFailedPrecondition:
        return fail(exit_usage, message);
    case absl::StatusCode::kInvalidArgument:
        return fail(exit_invalid_input, message);
    default:
        return fail(exit_failed, message);
    }
}

int request_and_print(admin_client& admin, std::string_view method, std::string_view target)
{
    if (auto status = admin.resolve(); !status.ok()) {
        return fail_with(status);
    }
    const auto response = admin.request(method, target);
    if (!response.ok()) {
        return fail_with(response.status());
    }
    if (response->status / 100 != 2) {
        return fail(exit_failed, str_cat("the node responded with status ", response->status, ": ",
                                         response->body.view()));
    }
    std::cout << response->body;
    return exit_success;
}

} // namespace chestnutstand
