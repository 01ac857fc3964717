#pragma once

#include "json_text.h"

#include "chestnutstand/config/key_description.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/name_table.h"
#include "chestnutstand/support/str_cat.h"

#include <absl/status/status.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chestnutstand::schema {

/// Inclusive limits of a number, or of the length of a list.
struct limits {
    double lowest;
    double highest;
};

/// Format that a text must have.
struct text_format {
    /// Description for errors and documentation.
    std::string_view expected;
    bool (*matches)(std::string_view);
};

/// A key of an object of type T: its documentation, and how its value is read into the object.
template <typename T>
struct key_rule {
    key_description description;
    bool required = false;
    /// Keys of the value when it is an object, or of its elements when it is a list.
    std::vector<key_description> nested;
    bool nested_in_list = true;
    std::function<absl::Status(const nlohmann::json&, const json_location&, T&)> read;
};

template <typename T>
using object_schema = std::vector<key_rule<T>>;

inline std::string number_text(double value)
{
    return std::trunc(value) == value ? str_cat(static_cast<long long>(value)) : str_cat(value);
}

inline std::string range_text(limits range)
{
    if (std::isinf(range.highest)) {
        return "any number of";
    }
    return str_cat(number_text(range.lowest), "..", number_text(range.highest));
}

inline double as_double(double value)
{
    return value;
}
inline double as_double(milliseconds value)
{
    return value.count();
}

/// Returns the number to use for one that a schema does not allow, where such values are tolerated:
/// the nearest limit, or nullopt if the number is not positive and below the range. Such a number
/// is no size that could be too small, but often a way to write "no limit".
inline std::optional<double> adjusted_number(double found, limits range)
{
    if (found <= 0.0 && found < range.lowest) {
        return std::nullopt;
    }
    return std::clamp(found, range.lowest, range.highest);
}

/// A number that may have a fractional part. Where values are tolerated, one beyond the range is
/// replaced by the limit.
template <typename T, typename Number>
key_rule<T> number(std::string_view name, std::string_view unit, limits range, Number T::*member)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "number", std::string{unit}, range_text(range),
                        number_text(as_double(T{}.*member))};
    rule.read = [range, member](const nlohmann::json& value, const json_location& at, T& out) {
        const bool valid = value.is_number() && value.get<double>() >= range.lowest &&
                           value.get<double>() <= range.highest;
        if (valid) {
            out.*member = Number{value.get<double>()};
            return absl::OkStatus();
        }
        auto refusal = invalid_value(at, str_cat("a number in ", range_text(range)), value);
        const auto adjusted = at.tolerated != nullptr && value.is_number()
                                  ? adjusted_number(value.get<double>(), range)
                                  : std::nullopt;
        if (!adjusted) {
            return refusal;
        }
        out.*member = Number{*adjusted};
        at.tolerated->adjusted.push_back(
            str_cat(refusal.message(), ", read as ", number_text(*adjusted)));
        return absl::OkStatus();
    };
    return rule;
}

/// A whole number. Where values are tolerated, one beyond the range is replaced by the limit, and a
/// fractional part is dropped.
template <typename T, typename Integer>
key_rule<T> integer(std::string_view name, std::string_view unit, limits range, Integer T::*member)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "integer", std::string{unit}, range_text(range),
                        number_text(static_cast<double>(T{}.*member))};
    rule.read = [range, member](const nlohmann::json& value, const json_location& at, T& out) {
        const bool valid = value.is_number_integer() && value.get<double>() >= range.lowest &&
                           value.get<double>() <= range.highest;
        if (valid) {
            out.*member = value.get<Integer>();
            return absl::OkStatus();
        }
        auto refusal = invalid_value(at, str_cat("an integer in ", range_text(range)), value);
        const auto adjusted = at.tolerated != nullptr && value.is_number()
                                  ? adjusted_number(std::trunc(value.get<double>()), range)
                                  : std::nullopt;
        if (!adjusted) {
            return refusal;
        }
        out.*member = static_cast<Integer>(*adjusted);
        at.tolerated->adjusted.push_back(
            str_cat(refusal.message(), ", read as ", number_text(*adjusted)));
        return absl::OkStatus();
    };
    return rule;
}

/// An integer that may be left out.
template <typename T, typename Integer>
key_rule<T> optional_integer(std::string_view name, std::string_view unit, limits range,
                             std::optional<Integer> T::*member)
{
    struct holder {
        Integer value{};
    };
    auto inner = integer<holder, Integer>(name, unit, range, &holder::value);
    key_rule<T> rule;
    rule.description = std::move(inner.description);
    rule.description.default_value = "none";
    rule.read = [read = std::move(inner.read), member](const nlohmann::json& value,
                                                       const json_location& at, T& out) {
        holder read_value;
        if (auto status = read(value, at, read_value); !status.ok()) {
            return status;
        }
        out.*member = read_value.value;
        return absl::OkStatus();
    };
    return rule;
}

template <typename T>
key_rule<T> flag(std::string_view name, bool T::*member)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "boolean", "", "true, false",
                        T{}.*member ? "true" : "false"};
    rule.read = [member](const nlohmann::json& value, const json_location& at, T& out) {
        if (!value.is_boolean()) {
            return invalid_value(at, "true or false", value);
        }
        out.*member = value.get<bool>();
        return absl::OkStatus();
    };
    return rule;
}

template <typename T>
key_rule<T> text(std::string_view name, text_format format, std::string T::*member)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "string", "", std::string{format.expected}, T{}.*member};
    rule.read = [format, member](const nlohmann::json& value, const json_location& at, T& out) {
        if (!value.is_string() || !format.matches(value.get_ref<const std::string&>())) {
            return invalid_value(at, format.expected, value);
        }
        out.*member = value.get<std::string>();
        return absl::OkStatus();
    };
    return rule;
}

/// Whether a list of this size is accepted. Where values are tolerated, a longer one is.
inline bool accepts_size(const nlohmann::json& list, limits length, const json_location& at)
{
    const auto size = static_cast<double>(list.size());
    return size >= length.lowest && (size <= length.highest || at.tolerated != nullptr);
}

/// A list of texts. Where values are tolerated, elements that are not valid are left out.
template <typename T>
key_rule<T> text_list(std::string_view name, limits length, text_format format,
                      std::vector<std::string> T::*member)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "list", "",
                        str_cat(range_text(length), " texts: ", format.expected), "empty"};
    rule.read = [length, format, member](const nlohmann::json& value, const json_location& at,
                                         T& out) {
        if (!value.is_array() || !accepts_size(value, length, at)) {
            return invalid_container(at, str_cat("a list of ", range_text(length), " texts"),
                                     value);
        }
        std::vector<std::string> texts;
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (value[i].is_string() && format.matches(value[i].get_ref<const std::string&>())) {
                texts.push_back(value[i].get<std::string>());
                continue;
            }
            // The value may be a secret, which errors and logs must not show.
            auto refusal = invalid_value(at.element(i), format.expected);
            if (at.tolerated == nullptr) {
                return refusal;
            }
            at.tolerated->left_out.push_back(std::string{refusal.message()});
        }
        out.*member = std::move(texts);
        return absl::OkStatus();
    };
    return rule;
}

/// A text that is one of the names; to_member converts the name to the value of the member.
template <typename T, typename Member, typename Convert>
key_rule<T> choice(std::string_view name, std::vector<std::string> names, std::size_t default_name,
                   Member T::*member, Convert to_member)
{
    std::string expected;
    for (const auto& option : names) {
        expected += str_cat(expected.empty() ? "" : ", ", option);
    }
    key_rule<T> rule;
    rule.description = {std::string{name}, "string", "", expected, names.at(default_name)};
    rule.read = [names = std::move(names), expected, member,
                 to_member](const nlohmann::json& value, const json_location& at, T& out) {
        for (const auto& option : names) {
            if (value.is_string() && value.get_ref<const std::string&>() == option) {
                out.*member = to_member(option);
                return absl::OkStatus();
            }
        }
        return invalid_value(at, str_cat("one of ", expected), value);
    };
    return rule;
}

/// A text that names a value of an enumeration. Where unknown names are allowed, they are read as
/// the default of the member, which must be the value that is safe whatever the name means.
template <typename T, typename Enum, std::size_t Size>
key_rule<T> enumeration(std::string_view name, const name_table<Enum, Size>& names, Enum T::*member)
{
    std::string expected;
    for (std::size_t i = 0; i < Size; ++i) {
        expected += str_cat(expected.empty() ? "" : ", ", names.name(static_cast<Enum>(i)));
    }
    const std::string fallback{names.name(T{}.*member)};
    key_rule<T> rule;
    rule.description = {std::string{name}, "string", "", expected, fallback};
    rule.read = [names, expected, fallback, member](const nlohmann::json& value,
                                                    const json_location& at, T& out) {
        const auto found = value.is_string() ? names.find(value.get_ref<const std::string&>())
                                             : std::optional<Enum>{};
        if (found) {
            out.*member = *found;
            return absl::OkStatus();
        }
        auto refusal = invalid_value(at, str_cat("one of ", expected), value);
        if (!value.is_string() || at.tolerated == nullptr) {
            return refusal;
        }
        at.tolerated->unknown_names.push_back(str_cat(refusal.message(), ", read as ", fallback));
        return absl::OkStatus();
    };
    return rule;
}

template <typename T>
key_rule<T> required(key_rule<T> rule)
{
    rule.required = true;
    rule.description.default_value = "required";
    return rule;
}

/// A key whose values are never tolerated: there is no other value that could stand for it.
template <typename T>
key_rule<T> exact(key_rule<T> rule)
{
    rule.read = [read = std::move(rule.read)](const nlohmann::json& value, const json_location& at,
                                              T& out) {
        json_location strict = at;
        strict.tolerated = nullptr;
        return read(value, strict, out);
    };
    return rule;
}

/// A key that keeps its default value where values are tolerated and this one is not valid. The
/// default must be the value that promises least.
template <typename T>
key_rule<T> or_default(key_rule<T> rule)
{
    rule.read = [read = std::move(rule.read)](const nlohmann::json& value, const json_location& at,
                                              T& out) {
        auto status = read(value, at, out);
        if (status.ok() || at.tolerated == nullptr) {
            return status;
        }
        at.tolerated->left_out.push_back(std::string{status.message()});
        return absl::OkStatus();
    };
    return rule;
}

/// Reads all keys of an object. Keys that are missing and not required keep their value in out.
/// Goes on after an invalid value, and returns the first error.
template <typename T>
absl::Status read_object(const object_schema<T>& keys, const nlohmann::json& value,
                         const json_location& at, T& out)
{
    if (!value.is_object()) {
        return invalid_container(at, "an object", value);
    }
    std::size_t keys_found = 0;
    absl::Status first_error;
    for (const auto& rule : keys) {
        const auto found = value.find(rule.description.path);
        const auto location = at.key(rule.description.path);
        if (found != value.end()) {
            ++keys_found;
            first_error.Update(rule.read(*found, location, out));
        }
        else if (rule.required) {
            first_error.Update(invalid_value(
                location, str_cat("required key is missing, expected ", rule.description.range)));
        }
    }
    if (!first_error.ok()) {
        return first_error;
    }
    if (keys_found == value.size() || at.unknown_keys_allowed) {
        return absl::OkStatus();
    }
    std::string names;
    for (const auto& rule : keys) {
        names += str_cat(names.empty() ? "" : ", ", rule.description.path);
    }
    for (const auto& item : value.items()) {
        const bool is_known = std::any_of(keys.begin(), keys.end(), [&](const auto& rule) {
            return rule.description.path == item.key();
        });
        if (!is_known) {
            return invalid_value(at.key(item.key()),
                                 str_cat("unknown key, expected one of ", names));
        }
    }
    return absl::OkStatus();
}

/// Documentation of all keys, with those of nested objects; prefix is prepended to the paths.
template <typename T>
std::vector<key_description> describe(const object_schema<T>& keys, const std::string& prefix = "")
{
    std::vector<key_description> all;
    for (const auto& rule : keys) {
        all.push_back(rule.description);
        all.back().path = prefix + all.back().path;
        for (auto nested : rule.nested) {
            nested.path = str_cat(prefix, rule.description.path, rule.nested_in_list ? "[]." : ".",
                                  nested.path);
            all.push_back(std::move(nested));
        }
    }
    return all;
}

/// An object within an object.
template <typename T, typename Item>
key_rule<T> object(std::string_view name, const object_schema<Item>& item_keys, Item T::*member)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "object", "", "", "defaults"};
    rule.nested = describe(item_keys);
    rule.nested_in_list = false;
    rule.read = [item_keys, member](const nlohmann::json& value, const json_location& at, T& out) {
        return read_object(item_keys, value, at, out.*member);
    };
    return rule;
}

/// Turns an element of a list that is not valid into one that can stand in its place. Returns false
/// if it has to be left out.
template <typename Item>
using salvage = bool (*)(const nlohmann::json& value, Item& out);

/// A list of objects. Where values are tolerated, elements that are not valid are salvaged or left
/// out.
template <typename T, typename Item>
key_rule<T> list(std::string_view name, limits length, const object_schema<Item>& item_keys,
                 std::vector<Item> T::*member, salvage<Item> salvage_item = nullptr)
{
    key_rule<T> rule;
    rule.description = {std::string{name}, "list", "", str_cat(range_text(length), " objects"),
                        "empty"};
    rule.nested = describe(item_keys);
    rule.read = [length, item_keys, member, salvage_item](const nlohmann::json& value,
                                                          const json_location& at, T& out) {
        if (!value.is_array() || !accepts_size(value, length, at)) {
            return invalid_container(at, str_cat("a list of ", range_text(length), " objects"),
                                     value);
        }
        (out.*member).clear();
        for (std::size_t i = 0; i < value.size(); ++i) {
            Item item;
            auto status = read_object(item_keys, value[i], at.element(i), item);
            if (!status.ok() && at.tolerated == nullptr) {
                return status;
            }
            if (!status.ok()) {
                at.tolerated->left_out.push_back(std::string{status.message()});
            }
            if (status.ok() || (salvage_item != nullptr && salvage_item(value[i], item))) {
                (out.*member).push_back(std::move(item));
            }
        }
        return absl::OkStatus();
    };
    return rule;
}

/// A list of objects that have different names. Where values are tolerated, only the first of
/// several with one name stays.
template <typename T, typename Item>
key_rule<T> named_list(std::string_view name, limits length, const object_schema<Item>& item_keys,
                       std::vector<Item> T::*member)
{
    auto rule = list(name, length, item_keys, member);
    rule.read = [read = std::move(rule.read), member](const nlohmann::json& value,
                                                      const json_location& at, T& out) {
        if (auto status = read(value, at, out); !status.ok()) {
            return status;
        }
        std::set<std::string> names;
        std::vector<Item> kept;
        // Elements that were left out have shifted those behind them.
        const bool has_positions = (out.*member).size() == value.size();
        for (std::size_t i = 0; i < (out.*member).size(); ++i) {
            Item& item = (out.*member)[i];
            if (names.insert(item.name).second) {
                kept.push_back(std::move(item));
                continue;
            }
            auto refusal = invalid_value(has_positions ? at.element(i).key("name") : at,
                                         "a name that is not used twice", item.name);
            if (at.tolerated == nullptr) {
                return refusal;
            }
            at.tolerated->left_out.push_back(std::string{refusal.message()});
        }
        out.*member = std::move(kept);
        return absl::OkStatus();
    };
    return rule;
}

} // namespace chestnutstand::schema
