// Taking a block is a read and a checked write of one row. If the answer to the
// write is lost, the block may or may not be taken; it is given up and a new
// one is asked for, so no ordinal is ever used twice.

#include "fireflycart/core/ordinal_keeper.h"

#include <cstdlib>
#include <string>

#include "fireflycart/core/term_source.h"

namespace fireflycart {
namespace {

constexpr char kOrdinalKey[] = "ordinals/next";
constexpr uint64_t kBlock = 4;
constexpr Duration kPlatformTimeout = Duration::Millis(1500);
constexpr Duration kLoanTimeout = Duration::Millis(500);
constexpr Duration kRetryPause = Duration::Millis(200);
constexpr Duration kRefillPause = Duration::Seconds(10);

}  // namespace

void OrdinalKeeper::OnTick(const Membership& membership, Context* context) {
  if (HasEnough() || context->now() < next_try_) return;
  bool busy = read_call_ != CallId() || grant_call_ != CallId();
  if (!busy) {
    read_call_ = context->NextCall();
    context->Emit(
        CallPlatform{read_call_, kPlatformTimeout, ReadRowCall{kOrdinalKey}});
  }
  std::vector<MemberUpdate> peers;
  bool borrows =
      ordinal_ == Ordinal() && loan_call_ == CallId() && failures_ > 0;
  if (borrows) peers = membership.Peers();
  if (!peers.empty()) {
    const MemberUpdate& peer = peers[context->Random(peers.size())];
    loan_call_ = context->NextCall();
    context->Emit(CallPeer{loan_call_, peer.vm, peer.address, kLoanTimeout,
                           SpareOrdinalCall{}});
  }
  next_try_ = context->now() + context->Jitter(kRetryPause);
}

Ordinal OrdinalKeeper::Lend() {
  if (spare_.empty()) return Ordinal();
  Ordinal lent = spare_.back();
  spare_.pop_back();
  return lent;
}

bool OrdinalKeeper::OnPeerReplied(const PeerReplied& reply) {
  if (loan_call_ == CallId() || reply.call != loan_call_) return false;
  loan_call_ = CallId();
  const auto* body = std::get_if<SpareOrdinalReply>(&reply.body);
  bool lent = reply.error == PeerCallError::kNone && body != nullptr &&
              body->ordinal != Ordinal();
  if (!lent) return true;
  if (ordinal_ == Ordinal()) {
    ordinal_ = body->ordinal;
  } else {
    spare_.push_back(body->ordinal);
  }
  return true;
}

bool OrdinalKeeper::OnPlatformReplied(const PlatformReplied& reply,
                                      Context* context) {
  const PlatformReply& body = reply.reply;
  if (read_call_ != CallId() && reply.call == read_call_) {
    read_call_ = CallId();
    bool answered =
        body.code == PlatformCode::kOk || body.code == PlatformCode::kNotFound;
    if (!answered) {
      Fail(context);
      return true;
    }
    uint64_t version = 0;
    granting_ = 1;
    if (!body.rows.empty()) {
      version = body.rows.front().version;
      granting_ = std::strtoull(body.rows.front().value.c_str(), nullptr, 10);
    }
    grant_call_ = context->NextCall();
    TransactCall grant;
    grant.checks.push_back({kOrdinalKey, version});
    grant.writes.push_back({kOrdinalKey, std::to_string(granting_ + kBlock)});
    context->Emit(CallPlatform{grant_call_, kPlatformTimeout, grant});
    return true;
  }
  if (grant_call_ == CallId() || reply.call != grant_call_) return false;
  grant_call_ = CallId();
  bool valid = granting_ > 0 && granting_ + kBlock <= kMaxOrdinal;
  if (body.code != PlatformCode::kOk || !valid) {
    Fail(context);
    return true;
  }
  failures_ = 0;
  for (uint64_t i = 0; i < kBlock; i++) {
    Ordinal granted(granting_ + i);
    if (ordinal_ == Ordinal()) {
      ordinal_ = granted;
    } else {
      spare_.push_back(granted);
    }
  }
  return true;
}

bool OrdinalKeeper::HasEnough() const {
  return ordinal_ != Ordinal() && !spare_.empty();
}

void OrdinalKeeper::Fail(Context* context) {
  failures_++;
  Duration pause = ordinal_ == Ordinal() ? kRetryPause : kRefillPause;
  next_try_ = context->now() + context->Jitter(pause);
}

}  // namespace fireflycart
