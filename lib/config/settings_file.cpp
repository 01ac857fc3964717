#include "chestnutstand/config/settings_file.h"

#include "schema.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/support/address.h"
#include "chestnutstand/support/str_cat.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>

namespace chestnutstand {
namespace {

// Shares of the grace time. Calls are still accepted during the first, while the other nodes learn
// that this one stops. Calls that still run after the second are ended, which leaves the process
// time to exit by itself.
constexpr double lame_duck_share = 0.4;
constexpr double drain_share = 0.9;
constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_secret_length = 256;

bool is_secret(std::string_view text)
{
    return text.size() >= min_secret_length && text.size() <= max_secret_length;
}

bool is_optional_socket_address(std::string_view text)
{
    return text.empty() || is_socket_address(text);
}

bool is_optional_url(std::string_view text)
{
    return text.empty() || is_base_url(text);
}

bool is_header_name(std::string_view text)
{
    return text.size() <= max_name_length && std::all_of(text.begin(), text.end(), [](char c) {
               return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_';
           });
}

bool is_optional_name(std::string_view text)
{
    return text.empty() || is_valid_record_name(text);
}

constexpr schema::text_format name_format{"1 to 64 letters, digits, '.', '_' or '-'",
                                          is_valid_name};
constexpr schema::text_format ip_format{"an IP address", is_ip_address};
constexpr schema::text_format url_format{"http://IP:PORT", is_optional_url};
constexpr schema::text_format socket_format{"IP:PORT", is_optional_socket_address};
constexpr schema::text_format header_format{"a header name, or empty", is_header_name};
constexpr schema::text_format service_format{"a service name, or empty", is_optional_name};
constexpr schema::text_format secret_format{"a text of 16 to 256 bytes", is_secret};

constexpr schema::limits port_range{0, 65'535};

const schema::object_schema<seed_address>& seed_keys()
{
    static const schema::object_schema<seed_address> keys{
        schema::required(schema::text("address", ip_format, &seed_address::address)),
        schema::required(
            schema::integer("gossip_port", "", {1, 65'535}, &seed_address::gossip_port)),
    };
    return keys;
}

const schema::object_schema<header_names>& header_keys()
{
    static const schema::object_schema<header_names> keys{
        schema::text("request_id", header_format, &header_names::request_id),
        schema::text("timeout_ms", header_format, &header_names::timeout_ms),
        schema::text("priority", header_format, &header_names::priority),
        schema::text("depth", header_format, &header_names::depth),
        schema::text("retry_budget", header_format, &header_names::retry_budget),
        schema::text("idempotency_key", header_format, &header_names::idempotency_key),
        schema::text("outcome", header_format, &header_names::outcome),
        schema::text("reason", header_format, &header_names::reason),
        schema::text("not_run", header_format, &header_names::not_run),
        schema::text("upstream_id", header_format, &header_names::upstream_id),
        schema::text("origin_service", header_format, &header_names::origin_service),
        schema::text("upstream_load", header_format, &header_names::upstream_load),
        schema::text("upstream_rate_limit", header_format, &header_names::upstream_rate_limit),
        schema::text("upstream_leaving", header_format, &header_names::upstream_leaving),
        schema::text("tenant", header_format, &header_names::tenant),
        schema::text("upstream_cold", header_format, &header_names::upstream_cold),
    };
    return keys;
}

node_carrier carrier_from(const std::string& name)
{
    return node_carrier_names.find(name).value_or(node_carrier::grpc);
}

const schema::object_schema<retry_settings>& retry_keys()
{
    static const schema::object_schema<retry_settings> keys{
        schema::number("ratio", "", {0, 10}, &retry_settings::ratio),
        schema::number("slack", "requests", {0, 1'000'000}, &retry_settings::slack),
        schema::number("window_s", "s", {0, 3'600}, &retry_settings::window_s),
    };
    return keys;
}

caller_interface interface_from(const std::string& name)
{
    return caller_interface_names.find(name).value_or(caller_interface::calls);
}

const schema::object_schema<settings>& settings_keys()
{
    static const schema::object_schema<settings> keys{
        schema::text("address", ip_format, &settings::address),
        schema::text("advertised_address", ip_format, &settings::advertised_address),
        schema::required(schema::text("data_centre", name_format, &settings::data_centre)),
        schema::integer("caller_port", "", port_range, &settings::caller_port),
        schema::integer("admin_port", "", port_range, &settings::admin_port),
        schema::integer("node_port", "", port_range, &settings::node_port),
        schema::integer("gossip_port", "", port_range, &settings::gossip_port),
        schema::text("caller_address", socket_format, &settings::caller_address),
        schema::text("readiness_address", socket_format, &settings::readiness_address),
        schema::text("registration_address", socket_format, &settings::registration_address),
        schema::text("log_url", url_format, &settings::log_url),
        schema::text("store_url", url_format, &settings::store_url),
        schema::choice("caller_interface", {"calls", "routes"}, 0, &settings::interface_for_callers,
                       interface_from),
        schema::object("headers", header_keys(), &settings::headers),
        schema::text("origin_service", service_format, &settings::origin_service),
        schema::list("seeds", {0, 64}, seed_keys(), &settings::seeds),
        schema::text("cluster_secret", secret_format, &settings::cluster_secret),
        schema::choice("log_level", {"debug", "info", "warning", "error"}, 1,
                       &settings::lowest_log_level, log_level_from),
        schema::choice("node_carrier", {"grpc", "http"}, 0, &settings::carrier, carrier_from),
        schema::object("retry_limits", retry_keys(), &settings::retry_limits),
        schema::integer("http_threads", "", {1, 64}, &settings::http_threads),
        schema::number("drain_limit_ms", "ms", {0, 600'000}, &settings::drain_limit_ms),
        schema::number("lame_duck_ms", "ms", {0, 60'000}, &settings::lame_duck_ms),
        schema::number("grace_s", "s", {0, 3'600}, &settings::grace_s),
        schema::number("memory_limit_mb", "MiB", {0, 1'048'576}, &settings::memory_limit_mb),
        schema::integer("descriptor_limit", "", {0, 10'000'000}, &settings::descriptor_limit),
        schema::number("link_mbps", "Mbit/s", {0, 1'000'000}, &settings::link_mbps),
        schema::number("log_retention_ms", "ms", {1'000, 31'536'000'000.0},
                       &settings::log_retention_ms),
    };
    return keys;
}

} // namespace

socket_address split_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return {text.substr(0, colon), port};
}

absl::StatusOr<settings> parse_settings(std::string_view text, std::string_view file_name)
{
    const auto value = parse_json(text, file_name);
    if (!value.ok()) {
        return value.status();
    }
    settings result;
    const json_location root{std::string{file_name}, ""};
    if (auto status = schema::read_object(settings_keys(), *value, root, result); !status.ok()) {
        return status;
    }
    if (result.log_url.empty() == result.store_url.empty()) {
        return invalid_value(root.key("log_url"), "expected either log_url or store_url");
    }
    if (result.interface_for_callers == caller_interface::calls && result.cluster_secret.empty()) {
        return invalid_value(root.key("cluster_secret"),
                             "required key is missing, expected a text of 16 to 256 bytes");
    }
    if (result.advertised_address.empty()) {
        result.advertised_address = result.address;
    }
    if (result.grace_s > 0) {
        result.lame_duck_ms = result.grace_s * 1'000 * lame_duck_share;
        result.drain_limit_ms = result.grace_s * 1'000 * drain_share;
    }
    return result;
}

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    // A directory can be opened; only the first read of it fails.
    if (!file.is_open() || file.bad()) {
        return absl::NotFoundError(str_cat(path, ": expected a readable file"));
    }
    return text;
}

absl::StatusOr<settings> load_settings(const std::string& path)
{
    const auto text = read_file(path);
    return text.ok() ? parse_settings(*text, path) : text.status();
}

std::vector<key_description> describe_settings()
{
    return schema::describe(settings_keys());
}

} // namespace chestnutstand
