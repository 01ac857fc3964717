#include "chestnutstand/membership/cluster_id.h"

#include <openssl/sha.h>

#include <array>
#include <cstring>
#include <string>

namespace chestnutstand {

std::uint64_t cluster_id(std::string_view secret)
{
    if (secret.empty()) {
        return 0;
    }
    // The prefix separates this value from other digests of the secret.
    const std::string text = "gossip\n" + std::string{secret};
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::uint64_t id = 0;
    std::memcpy(&id, digest.data(), sizeof id);
    return id;
}

} // namespace chestnutstand
