#include "chestnutstand/admission/reported_load.h"

#include <charconv>

namespace chestnutstand {
namespace {

constexpr double usual_pace = 100.0;

/// Reads one number off the front; what is left begins with its separator.
template <typename Number>
bool take_number(std::string_view& text, Number& into)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
    if (error != std::errc{}) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

bool take_separator(std::string_view& text)
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
        if (!take_number(text, *count) || !take_separator(text)) {
            return std::nullopt;
        }
    }
    if (!take_number(text, load.pace) || !text.empty() || load.pace <= 0.0) {
        return std::nullopt;
    }
    load.pace /= usual_pace;
    return load;
}

} // namespace chestnutstand
