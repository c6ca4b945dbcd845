// Generates terms that no other VM can generate.
//
// A term is a counter in the high bits and an ordinal in the low bits. The
// platform granted the ordinal to this start of this VM alone, so a failover
// needs no call to the platform.
//
//   TermSource source(ordinal);
//   Term next = source.Next(highest_seen);
//
// Limits: 2^24 starts and 2^29 takeovers of one group. Terms stay below 2^53,
// the largest whole number that every JSON reader keeps exact.

#ifndef FIREFLYCART_CORE_TERM_SOURCE_H_
#define FIREFLYCART_CORE_TERM_SOURCE_H_

#include "fireflycart/core/ids.h"

namespace fireflycart {

constexpr int kOrdinalBits = 24;
constexpr uint64_t kMaxOrdinal = (uint64_t{1} << kOrdinalBits) - 1;

class TermSource {
 public:
  TermSource() = default;
  explicit TermSource(Ordinal ordinal) : ordinal_(ordinal) {}

  // True if an ordinal was granted; without one no term can be generated.
  bool ready() const { return ordinal_ != Ordinal(); }
  Ordinal ordinal() const { return ordinal_; }

  // The lowest term of this source above the given one.
  Term Next(Term above) const;

 private:
  Ordinal ordinal_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TERM_SOURCE_H_
