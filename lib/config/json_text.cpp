#include "json_text.h"

#include "chestnutstand/support/json_parse.h"
#include "chestnutstand/support/str_cat.h"

#include <set>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

using nlohmann::json;

/// Longer values are cut in error messages.
constexpr std::size_t max_quoted_bytes = 60;

/// Detects what the parsed value does not show or must not hold: duplicate keys, of which only the
/// last is kept, and nesting beyond max_json_depth, which is skipped.
class structure_checker {
public:
    explicit structure_checker(json_location root) : root_{std::move(root)} {}

    bool on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            // The parser reports no end of a container that is skipped here.
            if (open_containers_.size() == max_json_depth) {
                report_depth();
                return false;
            }
            open_containers_.push_back(
                {current_location(), event == json::parse_event_t::array_start, 0, {}, {}});
            break;
        case json::parse_event_t::key:
            add_key(parsed.get<std::string>());
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_containers_.pop_back();
            end_value();
            break;
        case json::parse_event_t::value:
            end_value();
            break;
        }
        return true;
    }

    const absl::Status& status() const { return status_; }

private:
    struct container {
        json_location location;
        bool is_array;
        /// Of the next element of an array.
        std::size_t index;
        /// Last key of an object.
        std::string key;
        std::set<std::string> keys;
    };

    json_location current_location() const
    {
        if (open_containers_.empty()) {
            return root_;
        }
        const auto& inner = open_containers_.back();
        return inner.is_array ? inner.location.element(inner.index) : inner.location.key(inner.key);
    }

    void add_key(const std::string& name)
    {
        auto& object = open_containers_.back();
        object.key = name;
        if (!object.keys.insert(name).second && status_.ok()) {
            status_ = invalid_value(current_location(), "expected the key only once");
        }
    }

    void report_depth()
    {
        if (status_.ok()) {
            status_ = invalid_value(
                root_, str_cat("expected at most ", max_json_depth, " levels of nesting"));
        }
    }

    void end_value()
    {
        if (!open_containers_.empty() && open_containers_.back().is_array) {
            ++open_containers_.back().index;
        }
    }

    json_location root_;
    std::vector<container> open_containers_;
    absl::Status status_;
};

/// Strips from a message of the JSON library the error code in brackets and the text that was read
/// last, which may be a secret.
std::string_view without_code_and_text(std::string_view message)
{
    const auto end = message.find("] ");
    message.remove_prefix(end == std::string_view::npos ? 0 : end + 2);
    return message.substr(0, message.find("; last read: "));
}

/// Returns a value as an error shows it. The content of a list or an object may be a secret.
std::string quoted(const json& value)
{
    if (!value.empty() && value.is_structured()) {
        return value.is_array() ? "a list" : "an object";
    }
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_quoted_bytes) {
        text = str_cat(text.substr(0, max_quoted_bytes), "...");
    }
    return text;
}

} // namespace

json_location json_location::key(std::string_view name) const
{
    return {source, path.empty() ? std::string{name} : str_cat(path, ".", name),
            unknown_keys_allowed, tolerated};
}

json_location json_location::element(std::size_t index) const
{
    return {source, str_cat(path, "[", index, "]"), unknown_keys_allowed, tolerated};
}

absl::Status invalid_value(const json_location& at, std::string_view problem)
{
    return absl::InvalidArgumentError(at.path.empty()
                                          ? str_cat(at.source, ": ", problem)
                                          : str_cat(at.source, ": ", at.path, ": ", problem));
}

absl::Status invalid_value(const json_location& at, std::string_view expected, const json& found)
{
    return invalid_value(at, str_cat("expected ", expected, ", found ", quoted(found)));
}

absl::Status invalid_container(const json_location& at, std::string_view expected,
                               const json& found)
{
    return found.is_string() ? invalid_value(at, str_cat("expected ", expected, ", found a text"))
                             : invalid_value(at, expected, found);
}

absl::StatusOr<json> parse_json(std::string_view text, std::string_view source)
{
    const json_location root{std::string{source}, ""};
    structure_checker checker{root};
    try {
        auto value = json::parse(
            text,
            [&](int /*depth*/, json::parse_event_t event, json& parsed) {
                return checker.on_event(event, parsed);
            },
            /*allow_exceptions=*/true, /*ignore_comments=*/true);
        if (!checker.status().ok()) {
            return checker.status();
        }
        return value;
    }
    catch (const json::exception& error) {
        return invalid_value(root, str_cat("expected JSON, ", without_code_and_text(error.what())));
    }
}

} // namespace chestnutstand
