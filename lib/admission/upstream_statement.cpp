#include "chestnutstand/admission/upstream_statement.h"

#include <charconv>
#include <cmath>
#include <system_error>
#include <utility>

namespace chestnutstand {

std::optional<double> parse_rate_limit(std::string_view text)
{
    double value = 0.0;
    const char* const text_end = text.data() + text.size();
    const auto [end, error] =
        std::from_chars(text.data(), text_end, value, std::chars_format::fixed);
    if (error != std::errc{} || end != text_end || !std::isfinite(value) || value < 0.0) {
        return std::nullopt;
    }
    return value;
}

void upstream_statement::set_process(const std::string& id, std::uint64_t born_ms)
{
    if (!is_of(id, born_ms)) {
        *this = {};
        id_ = id;
        born_ms_ = born_ms;
    }
}

bool upstream_statement::is_of(const std::string& id, std::uint64_t born_ms) const
{
    return id == id_ && born_ms == born_ms_;
}

bool upstream_statement::set_rate_limit(std::optional<double> per_second)
{
    return std::exchange(rate_limit_, per_second) != per_second;
}

bool upstream_statement::set_leaving()
{
    return !std::exchange(leaving_, true);
}

} // namespace chestnutstand
