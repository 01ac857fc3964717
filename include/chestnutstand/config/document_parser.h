#pragma once

#include "chestnutstand/config/document.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// One section of the configuration document as it was published.
struct section {
    std::string name;
    /// Team that may change the section.
    std::string owner;
    /// Document version that the section's last accepted change made.
    std::uint64_t version = 0;
    /// JSON text with comments.
    std::string content;
};

/// What the content of a section declares.
struct section_content {
    /// Team that owns the section from this content on.
    std::string owner;
    std::vector<service_config> services;
    std::vector<route> routes;
};

/// Limits keep a checkpoint of the whole document below gRPC's default message limit of 4 MiB.
inline constexpr std::size_t max_section_bytes = 262'144;
inline constexpr std::size_t max_document_bytes = 2'097'152;

/// Length limit of the names of sections, teams, services, priority classes and change ids.
inline constexpr std::size_t max_name_length = 64;

/// Whether a text is a name: 1 to 64 letters, digits, '.', '_' or '-'.
bool is_valid_name(std::string_view text);

/// Reads the content of one section; source names the file or section in errors.
absl::StatusOr<section_content> parse_section(std::string_view content, std::string_view source);

/// Reads all sections and checks the whole document: every section is valid and no service is
/// declared twice. The version is the highest of the sections. Without a section there is no
/// document (failed_precondition).
absl::StatusOr<document> parse_document(const std::vector<section>& sections);

/// Name of the priority class that a record's routes of one rank and latency target share.
std::string class_name_of(const route& leading);

/// What the names of all classes of one rank begin with.
std::string rank_prefix(std::uint32_t rank);

/// Reads a whole document that its operator keeps in one record. Unknown keys are ignored; the
/// priority classes of the services are derived from the routes.
absl::StatusOr<document> parse_record(std::string_view content, std::string_view source);

} // namespace chestnutstand
