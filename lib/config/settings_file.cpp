#include "chestnutstand/config/settings_file.h"

#include "schema.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/support/str_cat.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>

namespace chestnutstand {
namespace {

constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_secret_length = 256;

bool is_ip_address(std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    const std::string terminated{text};
    return inet_pton(AF_INET, terminated.c_str(), address.data()) == 1 ||
           inet_pton(AF_INET6, terminated.c_str(), address.data()) == 1;
}

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc{} && end == text.data() + text.size() && port > 0;
}

bool is_base_url(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (text.substr(0, scheme.size()) != scheme) {
        return false;
    }
    text.remove_prefix(scheme.size());
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    return is_ip_address(host);
}

bool is_secret(std::string_view text)
{
    return text.size() >= min_secret_length && text.size() <= max_secret_length;
}

constexpr schema::text_format name_format{"1 to 64 letters, digits, '.', '_' or '-'",
                                          is_valid_name};
constexpr schema::text_format ip_format{"an IP address", is_ip_address};
constexpr schema::text_format url_format{"http://IP:PORT", is_base_url};
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

const schema::object_schema<settings>& settings_keys()
{
    static const schema::object_schema<settings> keys{
        schema::text("address", ip_format, &settings::address),
        schema::required(schema::text("data_centre", name_format, &settings::data_centre)),
        schema::integer("caller_port", "", port_range, &settings::caller_port),
        schema::integer("admin_port", "", port_range, &settings::admin_port),
        schema::integer("node_port", "", port_range, &settings::node_port),
        schema::integer("gossip_port", "", port_range, &settings::gossip_port),
        schema::required(schema::text("log_url", url_format, &settings::log_url)),
        schema::list("seeds", {0, 64}, seed_keys(), &settings::seeds),
        schema::required(schema::text("cluster_secret", secret_format, &settings::cluster_secret)),
        schema::choice("log_level", {"debug", "info", "warning", "error"}, 1,
                       &settings::lowest_log_level, log_level_from),
        schema::integer("http_threads", "", {1, 64}, &settings::http_threads),
        schema::number("drain_limit_ms", "ms", {0, 600'000}, &settings::drain_limit_ms),
        schema::number("lame_duck_ms", "ms", {0, 60'000}, &settings::lame_duck_ms),
        schema::number("log_retention_ms", "ms", {1'000, 31'536'000'000.0},
                       &settings::log_retention_ms),
    };
    return keys;
}

} // namespace

absl::StatusOr<settings> parse_settings(std::string_view text, std::string_view file_name)
{
    const auto value = parse_json(text, file_name);
    if (!value.ok()) {
        return value.status();
    }
    settings result;
    const json_location top{std::string{file_name}, ""};
    if (auto status = schema::read_object(settings_keys(), *value, top, result); !status.ok()) {
        return status;
    }
    return result;
}

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    // Reading a directory opens but fails on the first read.
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
