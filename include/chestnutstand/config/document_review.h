#pragma once

#include "chestnutstand/config/document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutstand {

enum class finding_kind : std::uint8_t {
    never_matches, ///< An entry that no request can match or reach.
    contradiction, ///< Values that exclude each other or defeat their purpose.
};

inline constexpr name_table<finding_kind, 2> finding_kind_names{{"never_matches", "contradiction"}};

/// One problem of a valid document. The texts never contain an API key.
struct document_finding {
    finding_kind kind = finding_kind::contradiction;
    /// Entry of the document, such as "route view" or "tenant acme".
    std::string entry;
    std::string text;
};

/// A change from the document in force. The texts never contain an API key.
struct document_difference {
    std::string entry;
    std::string text;
};

/// Finds the entries of a valid record that can never match and the limits that contradict each
/// other. `nodes` is the number of nodes that the deployment runs.
std::vector<document_finding> review_document(const document& reviewed, std::uint32_t nodes);

/// Finds what prevents nodes that have the document in force from taking the reviewed one.
std::vector<document_finding> review_succession(const document& reviewed, const document& in_force);

std::vector<document_difference> compare_documents(const document& reviewed,
                                                   const document& in_force);

} // namespace chestnutstand
