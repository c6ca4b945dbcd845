// Raising the counter by one is enough for a term above any given one, and the
// ordinal in the low bits makes the terms of two sources distinct.

#include "fireflycart/core/term_source.h"

#include "fireflycart/core/error.h"

namespace fireflycart {

Term TermSource::Next(Term above) const {
  CheckInvariant(ready(), "generate term", "no ordinal was granted");
  CheckInvariant(ordinal_.value() <= kMaxOrdinal, "generate term",
                 "ordinal is above the maximum of 2^24 - 1");
  uint64_t counter = above.value() >> kOrdinalBits;
  return Term(((counter + 1) << kOrdinalBits) | ordinal_.value());
}

}  // namespace fireflycart
