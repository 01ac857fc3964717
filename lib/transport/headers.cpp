#include "chestnutstand/transport/headers.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace chestnutstand {
namespace {

constexpr std::array<std::string_view, 10> hop_by_hop{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length",     "expect",
};

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::vector<std::string> connection_options(const std::vector<http_header>& headers)
{
    std::vector<std::string> options;
    for (const auto& field : headers) {
        if (!header_name_equal(field.name, "connection")) {
            continue;
        }
        for (const absl::string_view option : absl::StrSplit(field.value, ',')) {
            options.emplace_back(absl::StripAsciiWhitespace(option));
        }
    }
    return options;
}

template <typename Names>
bool contains_name(const Names& names, std::string_view wanted)
{
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& name) { return header_name_equal(name, wanted); });
}

} // namespace

bool header_name_equal(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(to_absl(left), to_absl(right));
}

std::string_view trim_whitespace(std::string_view text)
{
    constexpr std::string_view whitespace = " \t\r\n";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                            std::string_view name)
{
    for (const auto& field : headers) {
        if (header_name_equal(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

void remove_hop_by_hop_headers(std::vector<http_header>& headers)
{
    const auto options = connection_options(headers);
    std::erase_if(headers, [&](const http_header& field) {
        return contains_name(hop_by_hop, field.name) || contains_name(options, field.name);
    });
}

void remove_reserved_headers(std::vector<http_header>& headers, const header_names& names)
{
    const std::array<std::string_view, 11> reserved{names.request_id,
                                                    names.timeout_ms,
                                                    names.idempotency_key,
                                                    names.not_run,
                                                    names.upstream_id,
                                                    names.origin_service,
                                                    names.upstream_load,
                                                    names.upstream_rate_limit,
                                                    names.upstream_leaving,
                                                    names.upstream_cold,
                                                    names.tenant};
    std::erase_if(headers, [&](const http_header& field) {
        return absl::StartsWithIgnoreCase(field.name, "chestnut-") ||
               contains_name(reserved, field.name);
    });
}

void set_header(std::vector<http_header>& headers, std::string_view name, std::string value)
{
    std::erase_if(headers, [&](const auto& field) { return header_name_equal(field.name, name); });
    headers.push_back({std::string{name}, std::move(value)});
}

} // namespace chestnutstand
