// Digest of a caller's key. Keys are digested where they enter the process, so
// that no log, metric, error or message to a peer can contain one.
//
//   KeyDigest digest = KeyDigest::Of("rbn4ryrbbkf83fgfwrz5");
//   if (table.count(digest) != 0) Accept();
//
// Limits: protects keys that cannot be guessed, such as random ones of 16 and
// more characters; it is not a password hash.

#ifndef FIREFLYCART_CORE_TENANTS_KEY_DIGEST_H_
#define FIREFLYCART_CORE_TENANTS_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <string>

namespace fireflycart {

class KeyDigest {
 public:
  static constexpr size_t kBytes = 32;

  // Of no key: equal to no digest of a key.
  KeyDigest() = default;

  static KeyDigest Of(const std::string& key);
  // Returns false unless the text is the ToHex() of a digest.
  static bool FromHex(const std::string& hex, KeyDigest* digest);
  std::string ToHex() const;

  bool is_empty() const { return is_empty_; }
  // Takes the same time wherever two digests differ.
  bool operator==(const KeyDigest& o) const;
  bool operator!=(const KeyDigest& o) const { return !(*this == o); }

  // For hash tables.
  struct Hash {
    size_t operator()(const KeyDigest& digest) const;
  };

 private:
  bool is_empty_ = true;
  std::array<unsigned char, kBytes> bytes_{};
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_KEY_DIGEST_H_
