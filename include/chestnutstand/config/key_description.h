#pragma once

#include <string>
#include <vector>

namespace chestnutstand {

/// Documentation of one key of a settings file, a section or a record: its type and valid values.
struct key_description {
    /// Path from the root of the file; [] stands for each element of a list.
    std::string path;
    std::string type;
    std::string unit;
    std::string range;
    /// "required" for a key without a default.
    std::string default_value;
};

/// Keys of a settings file.
std::vector<key_description> describe_settings();

/// Keys of the content of one section of the configuration document.
std::vector<key_description> describe_section();

/// Keys of a document that is kept whole in one record of the store.
std::vector<key_description> describe_record();

} // namespace chestnutstand
