#include "chestnutstand/config/evacuation_state.h"

#include "chestnutstand/support/json_parse.h"

#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <array>
#include <utility>

namespace chestnutstand {
namespace {

using nlohmann::json;

constexpr const char* entries_key = "evacuations";
/// Far more data centres than a deployment has, so that a faulty peer cannot fill the memory.
constexpr std::size_t max_entries = 1'000;

std::optional<std::uint64_t> unsigned_field(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned()
               ? std::optional{found->get<std::uint64_t>()}
               : std::nullopt;
}

std::optional<evacuation_entry> decode_entry(const json& item)
{
    if (!item.is_object() || !item.contains("data_centre") || !item["data_centre"].is_string() ||
        !item.contains("evacuated") || !item["evacuated"].is_boolean() ||
        !item.contains("written") || !item["written"].is_boolean()) {
        return std::nullopt;
    }
    const auto era = unsigned_field(item, "era");
    const auto offset = unsigned_field(item, "offset");
    if (!era || !offset) {
        return std::nullopt;
    }
    return evacuation_entry{item["data_centre"].get<std::string>(),
                            item["evacuated"].get<bool>(),
                            {*era, *offset},
                            item["written"].get<bool>()};
}

} // namespace

bool evacuation_state::apply_listing(store_position next,
                                     const std::vector<evacuation_record>& records, time_point now)
{
    bool changed = observe_era(next.era, now);
    if (next < listed_) {
        // A listing can be out of date.
        return changed;
    }
    listed_ = next;
    std::set<std::string> present;
    for (const auto& record : records) {
        present.insert(record.data_centre);
        const evacuation_entry entry{
            record.data_centre, record.evacuated, {next.era, record.offset + 1}, false};
        changed = apply(entry, now) || changed;
    }
    std::vector<std::string> absent;
    for (const auto& [name, entry] : entries_) {
        if (!present.contains(name)) {
            absent.push_back(name);
        }
    }
    for (const auto& name : absent) {
        changed = apply({name, false, next, false}, now) || changed;
    }
    return changed;
}

bool evacuation_state::apply_records(std::uint64_t era,
                                     const std::vector<evacuation_record>& records, time_point now)
{
    bool changed = observe_era(era, now);
    for (const auto& record : records) {
        const evacuation_entry entry{
            record.data_centre, record.evacuated, {era, record.offset + 1}, true};
        changed = apply(entry, now) || changed;
    }
    return changed;
}

bool evacuation_state::merge(std::uint64_t era, const std::vector<evacuation_entry>& entries,
                             time_point now)
{
    bool changed = observe_era(era, now);
    for (const auto& entry : entries) {
        const bool is_new = !entries_.contains(entry.data_centre);
        if (is_new && entries_.size() >= max_entries) {
            continue;
        }
        changed = apply(entry, now) || changed;
        if (is_new && entry.as_of < listed_) {
            // The listing did not contain this data centre.
            changed = apply({entry.data_centre, false, listed_, false}, now) || changed;
        }
    }
    return changed;
}

bool evacuation_state::settle(time_point now)
{
    if (now < era_since_ + rewrite_time) {
        return false;
    }
    bool changed = false;
    for (const auto& [name, entry] : std::exchange(held_, {})) {
        changed = apply(entry, now) || changed;
    }
    return changed;
}

bool evacuation_state::observe_era(std::uint64_t era, time_point now)
{
    if (era <= era_) {
        return false;
    }
    era_ = era;
    era_since_ = now;
    return true;
}

bool evacuation_state::contradicts_without_proof(const evacuation_entry& known,
                                                 const evacuation_entry& entry,
                                                 time_point now) const
{
    return entry.evacuated != known.evacuated && entry.as_of.era > known.as_of.era &&
           !entry.written_in_era && now < era_since_ + rewrite_time;
}

bool evacuation_state::apply(const evacuation_entry& entry, time_point now)
{
    observe_era(entry.as_of.era, now);
    const auto [found, is_new] = entries_.try_emplace(entry.data_centre, entry);
    if (is_new) {
        return true;
    }
    auto& known = found->second;
    if (entry.as_of <= known.as_of) {
        const bool is_proof = entry.as_of == known.as_of && entry.written_in_era &&
                              !std::exchange(known.written_in_era, true);
        return is_proof;
    }
    if (contradicts_without_proof(known, entry, now)) {
        const auto held = held_.try_emplace(entry.data_centre, entry).first;
        if (held->second.as_of < entry.as_of) {
            held->second = entry;
        }
        return false;
    }
    known = entry;
    const auto held = held_.find(entry.data_centre);
    if (held != held_.end() && held->second.as_of <= entry.as_of) {
        held_.erase(held);
    }
    return true;
}

std::set<std::string> evacuation_state::evacuated() const
{
    std::set<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (entry.evacuated) {
            names.insert(name);
        }
    }
    return names;
}

std::vector<evacuation_entry> evacuation_state::entries() const
{
    std::vector<evacuation_entry> listed;
    for (const auto& [name, entry] : entries_) {
        listed.push_back(entry);
    }
    return listed;
}

std::uint64_t evacuation_state::digest() const
{
    if (era_ == 0 && entries_.empty()) {
        return 0;
    }
    const std::string text = encode_evacuations(*this);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash.data());
    std::uint64_t digest = 0;
    constexpr unsigned bits_per_byte = 8;
    for (std::size_t i = 0; i < sizeof digest; ++i) {
        digest = (digest << bits_per_byte) | hash.at(i);
    }
    return digest;
}

std::string encode_evacuations(const evacuation_state& state)
{
    json entries = json::array();
    for (const auto& entry : state.entries()) {
        entries.push_back({{"data_centre", entry.data_centre},
                           {"evacuated", entry.evacuated},
                           {"era", entry.as_of.era},
                           {"offset", entry.as_of.offset},
                           {"written", entry.written_in_era}});
    }
    return json{{entries_key, std::move(entries)}, {"era", state.era()}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::optional<decoded_evacuations> decode_evacuations(const std::string& text)
{
    const json parsed = parse_untrusted_json<json>(text);
    if (!parsed.is_object() || !parsed.contains(entries_key) || !parsed[entries_key].is_array()) {
        return std::nullopt;
    }
    const auto era = unsigned_field(parsed, "era");
    if (!era) {
        return std::nullopt;
    }
    decoded_evacuations decoded{*era, {}};
    for (const auto& item : parsed[entries_key]) {
        auto entry = decode_entry(item);
        if (!entry) {
            return std::nullopt;
        }
        decoded.entries.push_back(*std::move(entry));
    }
    return decoded;
}

} // namespace chestnutstand
