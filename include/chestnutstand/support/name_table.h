#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chestnutstand {

/// Maps between the values of an enumeration, which must count up from zero, and their names.
template <typename Enum, std::size_t Size>
class name_table {
public:
    constexpr explicit name_table(const std::array<std::string_view, Size>& names) : names_{names}
    {
    }

    constexpr std::string_view name(Enum value) const
    {
        const auto index = static_cast<std::size_t>(value);
        return index < Size ? names_[index] : std::string_view{"invalid"};
    }

    constexpr std::optional<Enum> find(std::string_view name) const
    {
        for (std::size_t i = 0; i < Size; ++i) {
            if (names_[i] == name) {
                return static_cast<Enum>(i);
            }
        }
        return std::nullopt;
    }

    static constexpr std::size_t size() { return Size; }

private:
    std::array<std::string_view, Size> names_;
};

} // namespace chestnutstand
