#include "chestnutstand/admission/reported_load.h"

#include <charconv>

namespace chestnutstand {
namespace {

constexpr double usual_pace_percent = 100.0;

/// Parses a number at the start of the text and removes it from the text.
template <typename Number>
bool consume_number(std::string_view& text, Number& value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{}) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

bool consume_separator(std::string_view& text)
{
    if (text.empty() || text.front() != ',') {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::optional<reported_load> parse_reported_load(std::string_view text)
{
    reported_load load;
    for (std::uint32_t* count : {&load.running, &load.waiting, &load.slots}) {
        if (!consume_number(text, *count) || !consume_separator(text)) {
            return std::nullopt;
        }
    }
    if (!consume_number(text, load.pace) || !text.empty() || load.pace <= 0.0) {
        return std::nullopt;
    }
    load.pace /= usual_pace_percent;
    return load;
}

} // namespace chestnutstand
