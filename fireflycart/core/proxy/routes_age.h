// How old a VM's knowledge of the routes and of the tenants' keys is, and what
// follows from it.
//
//   RoutesAge age(options.apply_limit(), options.key_age_limit());
//   age.Confirm(start_of_read);      // the table reflects all changes before
//   if (!age.IsYoung(now)) AskTheStore();
//   if (!age.MayServeKeys(now)) Refuse();
//
// A configuration must be in force within a limit, and a key that was taken
// away must not be accepted after another. So the age counts from the start of
// the newest read of the store that the table is known to reflect, whoever made
// it, and not from the table's arrival.
//
// Limits: clocks of two VMs are not comparable; what a peer tells is an age,
// which the caller counts from before it asked the peer.

#ifndef FIREFLYCART_CORE_PROXY_ROUTES_AGE_H_
#define FIREFLYCART_CORE_PROXY_ROUTES_AGE_H_

#include "fireflycart/core/clock.h"

namespace fireflycart::proxy {

class RoutesAge {
 public:
  // Refusing starts this much before the limit: clocks run at slightly
  // different rates, and times are cut to whole milliseconds.
  static constexpr Duration kMargin = Duration::Millis(100);

  // Limits of zero are none. That of the keys counts while the routes name
  // tenants.
  RoutesAge(Duration apply_limit, Duration key_limit)
      : apply_limit_(apply_limit), key_limit_(key_limit) {}

  void SetHasKeys(bool has_keys) { has_keys_ = has_keys; }

  bool has_limit() const { return limit() != Duration(); }

  // The table reflects every change that was acknowledged before then.
  void Confirm(TimePoint at);
  bool is_confirmed() const { return confirmed_at_ != TimePoint(); }
  Duration Age(TimePoint now) const { return now - confirmed_at_; }

  // True if callers with keys may be served.
  bool MayServeKeys(TimePoint now) const;
  // True for the age of any VM in a healthy fleet. A VM whose peers know
  // nothing younger asks the store itself.
  bool IsYoung(Duration age) const;
  bool IsYoung(TimePoint now) const {
    return is_confirmed() && IsYoung(Age(now));
  }

  // Period of the readers' calls to the store, and of a VM's questions to
  // peers. A reader's knowledge is a read period old at most, that of a VM
  // that asks a reader an ask period more, and that of a VM that asks such a
  // one yet an ask period more: a third of the limit in all. What remains is
  // for calls that fail, and for the time for which a VM that was cut off must
  // go on serving.
  Duration read_period() const;
  Duration ask_period() const;

 private:
  // The shorter of those that count; zero if none does.
  Duration limit() const;

  Duration apply_limit_;
  Duration key_limit_;
  bool has_keys_ = false;
  TimePoint confirmed_at_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_ROUTES_AGE_H_
