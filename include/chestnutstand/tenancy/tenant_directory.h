#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// SHA-256 digest of an API key.
using key_digest = std::array<std::uint8_t, 32>;

/// Compares in constant time, so that the time of a request does not tell a caller how much of a
/// digest it has matched.
bool digests_equal(const key_digest& left, const key_digest& right);

/// Name and API keys of one tenant.
struct tenant_keys {
    std::string name;
    std::vector<std::string> keys;
};

/// Owner of an API key.
struct api_key_owner {
    /// Position of the tenant in the list from which the directory was built.
    std::size_t tenant = 0;
    /// Identifies the key to other nodes without containing it: the first 64 bits of its digest.
    std::uint64_t key_id = 0;
};

/// Index from API keys to tenants. Immutable, so that it can be used by any thread; it is built
/// once for each document. It holds digests of the keys, not the keys. A key that is listed for two
/// tenants belongs to neither.
class tenant_directory {
public:
    explicit tenant_directory(const std::vector<tenant_keys>& tenants);

    /// Returns the owner of a key, or nullopt if no tenant or more than one lists it.
    std::optional<api_key_owner> find(std::string_view key) const;

    /// Returns whether a tenant of that name owns a key with that id.
    bool owns(std::string_view tenant, std::uint64_t key_id) const;

    /// Number of keys that belong to exactly one tenant.
    std::size_t key_count() const { return entries_.size(); }

    /// Names of the tenants that list a key that another tenant lists too, in the order of the
    /// list.
    const std::vector<std::string>& tenants_with_shared_keys() const { return shared_; }

private:
    struct entry {
        std::uint64_t key_id = 0;
        key_digest digest{};
        std::size_t tenant = 0;
    };

    void remove_shared_keys();

    std::vector<std::string> names_;
    /// Sorted by key id, then by digest. The search by key id compares the prefix of a digest,
    /// which a caller cannot choose; the comparison of the whole digest takes constant time.
    std::vector<entry> entries_;
    std::vector<std::string> shared_;
};

} // namespace chestnutstand
