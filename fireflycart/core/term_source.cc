// Raising the counter by one is enough for a term above any given one, and the
// ordinal in the low bits keeps two sources apart.

#include "fireflycart/core/term_source.h"

#include "fireflycart/core/error.h"

namespace fireflycart {

Term TermSource::Next(Term above) const {
  CheckInvariant(ready(), "make term", "no ordinal was granted");
  CheckInvariant(ordinal_.value() <= kMaxOrdinal, "make term",
                 "ordinal out of range");
  uint64_t counter = above.value() >> kOrdinalBits;
  return Term(((counter + 1) << kOrdinalBits) | ordinal_.value());
}

}  // namespace fireflycart
