#include "chestnutstand/support/compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <string>

namespace chestnutstand {
namespace {

RC_GTEST_PROP(compression, restores_each_text, (const std::string& text))
{
    const auto restored = decompress(compress(text), text.size());
    RC_ASSERT(restored.ok());
    RC_ASSERT(*restored == text);
}

// Guards against damaged input of a peer that is taken for a document, or that ends the process.
RC_GTEST_PROP(compression, refuses_damaged_input, (const std::string& damaged))
{
    const auto size = *rc::gen::arbitrary<std::size_t>();
    const auto result = decompress(damaged, size);
    if (result.ok()) {
        RC_ASSERT(result->size() == size);
    }
}

// Guards against a peer whose message takes far more memory than it has bytes.
TEST(compression, refuses_an_impossible_size)
{
    const std::string text = compress("document");
    EXPECT_FALSE(decompress(text, std::numeric_limits<std::size_t>::max()).ok());
    EXPECT_FALSE(decompress(text, 9).ok());
    EXPECT_FALSE(decompress(text, 7).ok());
}

} // namespace
} // namespace chestnutstand
