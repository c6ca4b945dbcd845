// Version of the platform's store. The store may come back from an older copy;
// a new era then begins, and numbers that were used before are given out again.
//
//   StoreVersion version{StoreEra(2), 530};
//   if (version < known) ...          // Of an older era, or older in this one.
//
// Limits: numbers of different eras say nothing about each other, so a change
// "after" a version exists only within its era.

#ifndef FIREFLYCART_CORE_PROXY_STORE_VERSION_H_
#define FIREFLYCART_CORE_PROXY_STORE_VERSION_H_

#include <cstdint>
#include <string>

#include "fireflycart/core/ids.h"

namespace fireflycart::proxy {

// Counts the restores of the store. 0: the store does not tell.
using StoreEra = StrongId<struct StoreEraTag, uint64_t>;

struct StoreVersion {
  StoreEra era;
  uint64_t number = 0;  // 0: none; as an expected version: no such row.

  bool operator==(const StoreVersion& o) const {
    return era == o.era && number == o.number;
  }
  bool operator!=(const StoreVersion& o) const { return !(*this == o); }
  bool operator<(const StoreVersion& o) const {
    return era != o.era ? era < o.era : number < o.number;
  }
  bool operator>(const StoreVersion& o) const { return o < *this; }
};

// For log records: "ERA/NUMBER".
inline std::string FormatVersion(const StoreVersion& version) {
  return std::to_string(version.era.value()) + "/" +
         std::to_string(version.number);
}

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STORE_VERSION_H_
