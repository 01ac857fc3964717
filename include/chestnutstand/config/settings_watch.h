#pragma once

#include "chestnutstand/config/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

/// Top-level keys whose values differ between two texts of a settings file; a text that cannot be
/// read counts as one without keys.
std::vector<std::string> changed_settings(const std::string& before, const std::string& after);

/// Follows the settings file of a running process. Not safe for concurrent use.
class settings_watch {
public:
    struct change {
        settings new_settings;
        /// Top-level keys whose values have changed.
        std::vector<std::string> keys;
    };

    /// The text is what the process has read at its start.
    settings_watch(std::string path, std::string text)
        : path_{std::move(path)}, applied_{text}, seen_{std::move(text)}
    {
    }

    /// What has changed since the last valid content; nothing without a change. Content that is not
    /// valid is logged once and leaves the settings in force.
    std::optional<change> poll();

private:
    std::string path_;
    /// Last valid content.
    std::string applied_;
    /// Last content, valid or not.
    std::string seen_;
};

} // namespace chestnutstand
