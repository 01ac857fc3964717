#pragma once

#include "chestnutstand/config/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

/// Top-level keys whose values differ between two contents of a settings file; content that is not
/// a JSON object counts as an empty object.
std::vector<std::string> changed_settings(const std::string& before, const std::string& after);

/// Detects changes of the settings file of a running process. Not thread-safe.
class settings_watch {
public:
    struct change {
        settings new_settings;
        /// Top-level keys whose values have changed.
        std::vector<std::string> keys;
    };

    /// text is the content that the process read at its start.
    settings_watch(std::string path, std::string text)
        : path_{std::move(path)}, valid_text_{text}, last_text_{std::move(text)}
    {
    }

    /// Reads the file and returns what has changed since the last valid content; nothing without a
    /// change. Invalid content is logged once and counts as no change.
    std::optional<change> poll();

private:
    std::string path_;
    /// Last valid content.
    std::string valid_text_;
    /// Last content, valid or not.
    std::string last_text_;
};

} // namespace chestnutstand
