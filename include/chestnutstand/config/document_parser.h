#pragma once

#include "chestnutstand/config/document.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// One section of the configuration document as it was published.
struct section {
    std::string name;
    /// Team that may change the section.
    std::string owner;
    /// Document version of the last accepted change of the section.
    std::uint64_t version = 0;
    /// JSON text with comments.
    std::string content;
};

/// What the content of a section declares.
struct section_content {
    /// Team that owns the section once this content is accepted.
    std::string owner;
    std::vector<service_config> services;
    std::vector<route> routes;
};

/// These limits keep a checkpoint of the whole document below gRPC's default message limit of 4
/// MiB.
inline constexpr std::size_t max_section_bytes = 262'144;
inline constexpr std::size_t max_document_bytes = 2'097'152;

/// Length limit of the names of sections, teams, services, priority classes and change ids.
inline constexpr std::size_t max_name_length = 64;

/// Whether a text has the form of a name: 1 to 64 letters, digits, '.', '_' or '-'.
bool is_valid_name(std::string_view text);

/// Length limit, in bytes, of the names of services and tenants in a record. Members carry the name
/// of their service in datagrams.
inline constexpr std::size_t max_record_name_length = 256;

/// Whether a text can be the name of a service or a tenant in a record: not empty, not too long,
/// and without control characters, so that it can be the value of a header.
bool is_valid_record_name(std::string_view text);

/// Parses the content of one section; source names the file or section in errors.
absl::StatusOr<section_content> parse_section(std::string_view content, std::string_view source);

/// Parses all sections into one document and checks it as a whole: every section is valid and no
/// service is declared twice. Its version is the highest version of a section.
/// FailedPreconditionError when there is no section.
absl::StatusOr<document> parse_document(const std::vector<section>& sections);

/// Name of the priority class of a route in a document of one record; routes of the same rank and
/// latency target share a class. The rank of the request's tenant, if it has one, replaces that of
/// the route.
std::string class_name_of(const route& classified,
                          std::optional<std::uint32_t> tenant_rank = std::nullopt);

/// Prefix of the names of all classes of one rank.
std::string rank_prefix(std::uint32_t rank);

/// Parses a document that its operator keeps whole in one record. Unknown keys are ignored; the
/// priority classes of the services are derived from the routes. A value that a node cannot use as
/// written does not make the record invalid: see document::tolerated. An error if the text is not
/// JSON, or has no version, no list of services or no list of routes.
absl::StatusOr<document> parse_record(std::string_view content, std::string_view source);

} // namespace chestnutstand
