#include "chestnutstand/keys/idempotency_key.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chestnutstand {
namespace {

constexpr std::string_view secret = "test secret";

idempotency_key sample_key()
{
    return {{7, "10.0.0.1", 4000},
            {{8, "10.0.0.2", 4001}, {9, "::1", 65535}},
            42,
            milliseconds{1234},
            "refund-desk"};
}

// Guards against a field that is lost between the owner and the executors.
TEST(idempotency_key, decodes_to_what_was_encoded)
{
    const auto decoded = decode(encode(sample_key(), secret), secret);
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, sample_key());
}

// Guards against keys that were forged or altered without the secret.
TEST(idempotency_key, refuses_every_changed_character)
{
    const std::string text = encode(sample_key(), secret);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        EXPECT_FALSE(decode(changed, secret).ok()) << "at " << i;
        EXPECT_FALSE(decode(text.substr(0, i), secret).ok()) << "cut at " << i;
    }
    EXPECT_FALSE(decode(text, "other secret").ok());
}

// Guards against two texts of the same key: a table indexed by text would run the key twice.
TEST(idempotency_key, accepts_only_the_canonical_text)
{
    const std::string text = encode(sample_key(), secret);
    for (const char* suffix : {"=", "==", " ", "\n", ".", "A"}) {
        EXPECT_FALSE(decode(text + suffix, secret).ok()) << suffix;
    }
    EXPECT_FALSE(decode(" " + text, secret).ok());
}

// Guards against keys with a valid MAC whose content no executor can use.
TEST(idempotency_key, refuses_invalid_content)
{
    auto no_candidates = sample_key();
    no_candidates.candidates.clear();
    auto too_many = sample_key();
    too_many.candidates.resize(max_key_candidates + 1, {8, "10.0.0.2", 4001});
    auto no_instance = sample_key();
    no_instance.owner.instance = 0;
    auto no_service = sample_key();
    no_service.service.clear();
    for (const auto& key : {no_candidates, too_many, no_instance, no_service}) {
        EXPECT_FALSE(decode(encode(key, secret), secret).ok());
    }
}

// Guards against arbitrary input that crashes decode() or is accepted.
TEST(idempotency_key, refuses_arbitrary_text)
{
    EXPECT_TRUE(
        rc::check([] { RC_ASSERT(!decode(*rc::gen::arbitrary<std::string>(), secret).ok()); }));
}

// Guards against the same fingerprint for requests whose parts concatenate to the same bytes, and
// against a fingerprint that depends on headers.
TEST(request_fingerprint, depends_on_the_boundaries_of_parts_but_not_on_headers)
{
    EXPECT_NE(request_fingerprint({"POST", "/a", {}, "bc"}),
              request_fingerprint({"POST", "/ab", {}, "c"}));
    EXPECT_NE(request_fingerprint({"POST", "/a", {}, ""}),
              request_fingerprint({"POST/a", "", {}, ""}));
    EXPECT_EQ(request_fingerprint({"POST", "/a", {{"Via", "x"}}, "b"}),
              request_fingerprint({"POST", "/a", {}, "b"}));
}

} // namespace
} // namespace chestnutstand
