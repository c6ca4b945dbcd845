// The part of the tenants' limits that one lender may lend, by the votes that
// it has.

#ifndef FIREFLYCART_CORE_TENANTS_LIMIT_SHARE_H_
#define FIREFLYCART_CORE_TENANTS_LIMIT_SHARE_H_

#include <cstddef>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class LimitShare {
 public:
  virtual ~LimitShare() = default;
  // From 0 to 1, with so many votes of all voters.
  virtual double Share(size_t votes, size_t voters, TimePoint now) const = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_LIMIT_SHARE_H_
