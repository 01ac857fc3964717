#include "json_text.h"

#include "chestnutstand/support/str_cat.h"

#include <set>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

using nlohmann::json;

constexpr std::size_t max_quoted_value = 60;

/// Finds duplicate keys while the parser runs; the parsed value keeps only the last of them.
class duplicate_key_finder {
public:
    explicit duplicate_key_finder(json_location top) : top_{std::move(top)} {}

    bool on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            open_containers_.push_back(
                {here(), event == json::parse_event_t::array_start, 0, {}, {}});
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
        json_location at;
        bool is_array;
        std::size_t index;
        std::string key;
        std::set<std::string> keys;
    };

    json_location here() const
    {
        if (open_containers_.empty()) {
            return top_;
        }
        const auto& inner = open_containers_.back();
        return inner.is_array ? inner.at.element(inner.index) : inner.at.key(inner.key);
    }

    void add_key(const std::string& name)
    {
        auto& object = open_containers_.back();
        object.key = name;
        if (!object.keys.insert(name).second && status_.ok()) {
            status_ = invalid_value(here(), "expected the key only once");
        }
    }

    void end_value()
    {
        if (!open_containers_.empty() && open_containers_.back().is_array) {
            ++open_containers_.back().index;
        }
    }

    json_location top_;
    std::vector<container> open_containers_;
    absl::Status status_;
};

/// The library's messages start with an error code in brackets.
std::string_view without_code(std::string_view message)
{
    const auto end = message.find("] ");
    return end == std::string_view::npos ? message : message.substr(end + 2);
}

} // namespace

json_location json_location::key(std::string_view name) const
{
    return {source, path.empty() ? std::string{name} : str_cat(path, ".", name),
            unknown_keys_allowed};
}

json_location json_location::element(std::size_t index) const
{
    return {source, str_cat(path, "[", index, "]"), unknown_keys_allowed};
}

absl::Status invalid_value(const json_location& at, std::string_view problem)
{
    return absl::InvalidArgumentError(at.path.empty()
                                          ? str_cat(at.source, ": ", problem)
                                          : str_cat(at.source, ": ", at.path, ": ", problem));
}

absl::Status invalid_value(const json_location& at, std::string_view expected, const json& found)
{
    std::string text = found.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_quoted_value) {
        text = str_cat(text.substr(0, max_quoted_value), "...");
    }
    return invalid_value(at, str_cat("expected ", expected, ", found ", text));
}

absl::StatusOr<json> parse_json(std::string_view text, std::string_view source)
{
    const json_location top{std::string{source}, ""};
    duplicate_key_finder finder{top};
    try {
        auto value = json::parse(
            text,
            [&](int /*depth*/, json::parse_event_t event, json& parsed) {
                return finder.on_event(event, parsed);
            },
            /*allow_exceptions=*/true, /*ignore_comments=*/true);
        if (!finder.status().ok()) {
            return finder.status();
        }
        return value;
    }
    catch (const json::exception& error) {
        return invalid_value(top, str_cat("expected JSON, ", without_code(error.what())));
    }
}

} // namespace chestnutstand
