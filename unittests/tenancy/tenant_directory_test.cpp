#include "chestnutstand/tenancy/tenant_directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

std::optional<std::size_t> owner_of(const tenant_directory& directory, const std::string& key)
{
    const auto found = directory.find(key);
    return found ? std::optional{found->tenant} : std::nullopt;
}

// Guards against a rotation of keys during which one of the two is refused.
TEST(tenant_directory, all_keys_of_a_tenant_are_valid_at_once)
{
    const tenant_directory directory{{{"acme", {"old-key", "new-key"}}, {"bolt", {"bolt-key"}}}};
    EXPECT_EQ(owner_of(directory, "old-key"), 0U);
    EXPECT_EQ(owner_of(directory, "new-key"), 0U);
    EXPECT_EQ(owner_of(directory, "bolt-key"), 1U);
    EXPECT_EQ(directory.key_count(), 3U);
}

// Guards against admitting a key that only resembles a listed one.
TEST(tenant_directory, unknown_keys_belong_to_nobody)
{
    const tenant_directory directory{{{"acme", {"acme-key"}}, {"idle", {}}}};
    for (const char* key : {"", "acme", "acme-key ", "ACME-KEY", "acme-key2"}) {
        EXPECT_FALSE(directory.find(key)) << key;
    }
    EXPECT_FALSE(tenant_directory{{}}.find("acme-key"));
}

// Guards against requests that are attributed to one of two tenants with the same key, and against
// a key that is refused because its tenant lists it twice.
TEST(tenant_directory, key_of_two_tenants_belongs_to_neither)
{
    const tenant_directory directory{{{"acme", {"shared", "acme-key", "acme-key"}},
                                      {"bolt", {"bolt-key"}},
                                      {"crane", {"shared"}}}};
    EXPECT_FALSE(directory.find("shared"));
    EXPECT_EQ(owner_of(directory, "acme-key"), 0U);
    EXPECT_EQ(owner_of(directory, "bolt-key"), 1U);
    EXPECT_EQ(directory.tenants_with_shared_keys(), (std::vector<std::string>{"acme", "crane"}));
}

// Guards against a key id that another tenant's key or a removed key satisfies.
TEST(tenant_directory, key_id_is_owned_by_the_tenant_of_the_key)
{
    const tenant_directory before{{{"acme", {"old-key", "new-key"}}, {"bolt", {"bolt-key"}}}};
    const std::uint64_t old_id = before.find("old-key")->key_id;
    EXPECT_TRUE(before.owns("acme", old_id));
    EXPECT_FALSE(before.owns("bolt", old_id));
    EXPECT_FALSE(before.owns("", old_id));
    const tenant_directory after{{{"bolt", {"bolt-key"}}, {"acme", {"new-key"}}}};
    EXPECT_FALSE(after.owns("acme", old_id));
    EXPECT_TRUE(after.owns("acme", before.find("new-key")->key_id));
}

// Guards against a comparison that ends at the first difference or ignores a part of the digest.
TEST(tenant_directory, digests_that_differ_in_any_bit_are_different)
{
    key_digest digest{};
    EXPECT_TRUE(digests_equal(digest, key_digest{}));
    for (std::size_t bit = 0; bit < digest.size() * 8; ++bit) {
        key_digest other = digest;
        other.at(bit / 8) ^= static_cast<std::uint8_t>(1U << (bit % 8));
        EXPECT_FALSE(digests_equal(digest, other)) << bit;
    }
}

// Guards against lists of tenants for which the sorted index gives another answer than a search of
// the lists.
RC_GTEST_PROP(tenant_directory, finds_what_a_search_of_the_lists_finds, ())
{
    const auto numbers = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12)));
    std::vector<tenant_keys> tenants;
    std::map<std::string, std::set<std::size_t>> owners;
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        tenants.push_back({"tenant-" + std::to_string(i), {}});
        for (const int number : numbers[i]) {
            tenants.back().keys.push_back("key-" + std::to_string(number));
            owners[tenants.back().keys.back()].insert(i);
        }
    }
    const tenant_directory directory{tenants};
    for (int number = 0; number < 12; ++number) {
        const std::string key = "key-" + std::to_string(number);
        const auto& listed = owners[key];
        RC_ASSERT(owner_of(directory, key) ==
                  (listed.size() == 1 ? std::optional{*listed.begin()} : std::nullopt));
    }
}

} // namespace
} // namespace chestnutstand
