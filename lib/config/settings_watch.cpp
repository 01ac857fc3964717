#include "chestnutstand/config/settings_watch.h"

#include "json_text.h"

#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/support/log.h"

#include <utility>

namespace chestnutstand {
namespace {

nlohmann::json parse_object_or_empty(const std::string& text)
{
    auto parsed = parse_json(text, "settings");
    return parsed.ok() && parsed->is_object() ? *std::move(parsed) : nlohmann::json::object();
}

} // namespace

std::vector<std::string> changed_settings(const std::string& before, const std::string& after)
{
    const nlohmann::json old_values = parse_object_or_empty(before);
    const nlohmann::json new_values = parse_object_or_empty(after);
    std::vector<std::string> changed;
    for (const auto& [key, value] : new_values.items()) {
        const auto found = old_values.find(key);
        if (found == old_values.end() || *found != value) {
            changed.push_back(key);
        }
    }
    for (const auto& [key, value] : old_values.items()) {
        if (!new_values.contains(key)) {
            changed.push_back(key);
        }
    }
    return changed;
}

std::optional<settings_watch::change> settings_watch::look()
{
    auto text = read_file(path_);
    if (!text.ok()) {
        log_event(log_level::warning, "settings file not readable",
                  {{"reason", std::string{text.status().message()}}});
        return std::nullopt;
    }
    if (*text == seen_) {
        return std::nullopt;
    }
    seen_ = *text;
    auto parsed = parse_settings(seen_, path_);
    if (!parsed.ok()) {
        log_event(log_level::error, "changed settings refused",
                  {{"reason", std::string{parsed.status().message()}}});
        return std::nullopt;
    }
    auto keys = changed_settings(applied_, seen_);
    applied_ = seen_;
    if (keys.empty()) {
        return std::nullopt;
    }
    return change{*std::move(parsed), std::move(keys)};
}

} // namespace chestnutstand
