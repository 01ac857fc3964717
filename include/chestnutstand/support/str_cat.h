#pragma once

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <string>
#include <string_view>
#include <type_traits>

namespace chestnutstand {

/// absl::StrCat that also takes std::string_view, which Debian's build of Abseil does not convert.
template <typename... Parts>
std::string str_cat(const Parts&... parts)
{
    const auto piece = [](const auto& part) {
        if constexpr (std::is_same_v<std::decay_t<decltype(part)>, std::string_view>) {
            return absl::string_view{part.data(), part.size()};
        }
        else {
            return absl::AlphaNum{part};
        }
    };
    return absl::StrCat(piece(parts)...);
}

} // namespace chestnutstand
