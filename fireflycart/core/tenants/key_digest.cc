// BLAKE2b of libsodium. A digest reveals nothing useful of its key, so hash
// tables may index digests; the comparison takes constant time all the same.

#include "fireflycart/core/tenants/key_digest.h"

#include <sodium.h>

#include <cstring>

namespace fireflycart {

static_assert(KeyDigest::kBytes == crypto_generichash_BYTES,
              "size of the digest");

KeyDigest KeyDigest::Of(const std::string& key) {
  KeyDigest digest;
  digest.is_empty_ = false;
  crypto_generichash(digest.bytes_.data(), digest.bytes_.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  return digest;
}

bool KeyDigest::FromHex(const std::string& hex, KeyDigest* digest) {
  KeyDigest decoded;
  size_t size = 0;
  int status = sodium_hex2bin(decoded.bytes_.data(), decoded.bytes_.size(),
                              hex.data(), hex.size(), nullptr, &size, nullptr);
  if (status != 0 || size != kBytes || hex.size() != 2 * kBytes) return false;
  decoded.is_empty_ = false;
  *digest = decoded;
  return true;
}

std::string KeyDigest::ToHex() const {
  std::array<char, 2 * kBytes + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), bytes_.data(), bytes_.size());
  return std::string(hex.data());
}

bool KeyDigest::operator==(const KeyDigest& o) const {
  return is_empty_ == o.is_empty_ &&
         sodium_memcmp(bytes_.data(), o.bytes_.data(), kBytes) == 0;
}

size_t KeyDigest::Hash::operator()(const KeyDigest& digest) const {
  size_t hash = 0;
  std::memcpy(&hash, digest.bytes_.data(), sizeof(hash));
  return hash;
}

}  // namespace fireflycart
