#pragma once

#include <string_view>

namespace chestnutstand {

/// Copying and comparing a value recurses into it, so that a deeper one could exhaust the stack. No
/// message or document of the product has more than ten levels.
inline constexpr int max_json_depth = 64;

/// Parses JSON of an untrusted sender. Returns a discarded value if the text is not valid JSON,
/// holds a number that no type holds, or is nested more deeply than max_json_depth.
template <typename Json>
Json parse_untrusted_json(std::string_view text)
{
    bool is_too_deep = false;
    auto parsed = Json::parse(
        text,
        [&](int depth, typename Json::parse_event_t /*event*/, const Json& /*parsed*/) {
            is_too_deep = is_too_deep || depth > max_json_depth;
            return !is_too_deep;
        },
        /*allow_exceptions=*/false);
    if (is_too_deep) {
        parsed = Json(Json::value_t::discarded);
    }
    return parsed;
}

} // namespace chestnutstand
