#include "chestnutstand/tenancy/tenant_directory.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace chestnutstand {
namespace {

/// Returns nullopt if OpenSSL fails, for instance for want of memory; the key is then unknown.
std::optional<key_digest> digest_of(std::string_view key)
{
    key_digest digest{};
    unsigned int length = 0;
    if (EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1 ||
        length != digest.size()) {
        return std::nullopt;
    }
    return digest;
}

std::uint64_t key_id_of(const key_digest& digest)
{
    constexpr std::size_t id_bytes = 8;
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < id_bytes; ++i) {
        id = (id << 8U) | digest.at(i);
    }
    return id;
}

} // namespace

bool digests_equal(const key_digest& left, const key_digest& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

tenant_directory::tenant_directory(const std::vector<tenant_keys>& tenants)
{
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        names_.push_back(tenants[i].name);
        for (const std::string& key : tenants[i].keys) {
            if (const auto digest = digest_of(key)) {
                entries_.push_back({key_id_of(*digest), *digest, i});
            }
        }
    }
    std::sort(entries_.begin(), entries_.end(), [](const entry& left, const entry& right) {
        return std::tie(left.key_id, left.digest, left.tenant) <
               std::tie(right.key_id, right.digest, right.tenant);
    });
    remove_shared_keys();
}

void tenant_directory::remove_shared_keys()
{
    std::vector<entry> kept;
    std::set<std::size_t> sharing;
    for (auto first = entries_.begin(); first != entries_.end();) {
        const auto last = std::find_if(first, entries_.end(), [&](const entry& other) {
            return other.digest != first->digest;
        });
        const bool is_shared = std::prev(last)->tenant != first->tenant;
        if (is_shared) {
            std::for_each(first, last, [&](const entry& listed) { sharing.insert(listed.tenant); });
        }
        else {
            kept.push_back(*first);
        }
        first = last;
    }
    entries_ = std::move(kept);
    for (const std::size_t tenant : sharing) {
        shared_.push_back(names_[tenant]);
    }
}

std::optional<api_key_owner> tenant_directory::find(std::string_view key) const
{
    const auto digest = digest_of(key);
    if (!digest) {
        return std::nullopt;
    }
    const std::uint64_t id = key_id_of(*digest);
    auto candidate = std::lower_bound(
        entries_.begin(), entries_.end(), id,
        [](const entry& listed, std::uint64_t wanted) { return listed.key_id < wanted; });
    for (; candidate != entries_.end() && candidate->key_id == id; ++candidate) {
        if (digests_equal(candidate->digest, *digest)) {
            return api_key_owner{candidate->tenant, id};
        }
    }
    return std::nullopt;
}

bool tenant_directory::owns(std::string_view tenant, std::uint64_t key_id) const
{
    auto candidate = std::lower_bound(
        entries_.begin(), entries_.end(), key_id,
        [](const entry& listed, std::uint64_t wanted) { return listed.key_id < wanted; });
    for (; candidate != entries_.end() && candidate->key_id == key_id; ++candidate) {
        if (names_[candidate->tenant] == tenant) {
            return true;
        }
    }
    return false;
}

} // namespace chestnutstand
