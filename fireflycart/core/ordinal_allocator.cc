// A block is allocated by a read and a conditional write of one row. If the
// reply to the write is lost, the block may or may not be allocated; it is
// abandoned and a new one is requested, so no ordinal is ever used twice.

#include "fireflycart/core/ordinal_allocator.h"

#include <cstdlib>
#include <string>

#include "fireflycart/core/term_source.h"

namespace fireflycart {
namespace {

constexpr char kOrdinalKey[] = "ordinals/next";
constexpr uint64_t kBlockSize = 4;
constexpr Duration kPlatformTimeout = Duration::Millis(1500);
constexpr Duration kSpareOrdinalTimeout = Duration::Millis(500);
constexpr Duration kRetryDelay = Duration::Millis(200);
constexpr Duration kRefillRetryDelay = Duration::Seconds(10);

}  // namespace

void OrdinalAllocator::OnTick(const Membership& membership, Context* context) {
  if (HasEnough() || context->now() < next_try_) return;
  bool busy = read_call_ != CallId() || grant_call_ != CallId();
  if (!busy) {
    read_call_ = context->NextCall();
    context->Emit(
        CallPlatform{read_call_, kPlatformTimeout, ReadRowCall{kOrdinalKey}});
  }
  std::vector<MemberUpdate> peers;
  bool asks_peer =
      ordinal_ == Ordinal() && spare_call_ == CallId() && failures_ > 0;
  if (asks_peer) peers = membership.Peers();
  if (!peers.empty()) {
    const MemberUpdate& peer = peers[context->Random(peers.size())];
    spare_call_ = context->NextCall();
    context->Emit(CallPeer{spare_call_, peer.vm, peer.address,
                           kSpareOrdinalTimeout, SpareOrdinalCall{}});
  }
  next_try_ = context->now() + context->Jitter(kRetryDelay);
}

Ordinal OrdinalAllocator::TakeSpare() {
  if (spare_.empty()) return Ordinal();
  Ordinal granted = spare_.back();
  spare_.pop_back();
  return granted;
}

bool OrdinalAllocator::OnPeerReplied(const PeerReplied& reply) {
  if (spare_call_ == CallId() || reply.call != spare_call_) return false;
  spare_call_ = CallId();
  const auto* body = std::get_if<SpareOrdinalReply>(&reply.body);
  bool granted = reply.error == PeerCallError::kNone && body != nullptr &&
                 body->ordinal != Ordinal();
  if (!granted) return true;
  if (ordinal_ == Ordinal()) {
    ordinal_ = body->ordinal;
  } else {
    spare_.push_back(body->ordinal);
  }
  return true;
}

bool OrdinalAllocator::OnPlatformReplied(const PlatformReplied& reply,
                                         Context* context) {
  const PlatformReply& body = reply.reply;
  if (read_call_ != CallId() && reply.call == read_call_) {
    read_call_ = CallId();
    bool answered =
        body.code == PlatformCode::kOk || body.code == PlatformCode::kNotFound;
    if (!answered) {
      ScheduleRetry(context);
      return true;
    }
    uint64_t version = 0;
    pending_block_start_ = 1;
    if (!body.rows.empty()) {
      version = body.rows.front().version;
      pending_block_start_ =
          std::strtoull(body.rows.front().value.c_str(), nullptr, 10);
    }
    grant_call_ = context->NextCall();
    TransactCall grant;
    grant.checks.push_back({kOrdinalKey, version});
    grant.writes.push_back(
        {kOrdinalKey, std::to_string(pending_block_start_ + kBlockSize)});
    context->Emit(CallPlatform{grant_call_, kPlatformTimeout, grant});
    return true;
  }
  if (grant_call_ == CallId() || reply.call != grant_call_) return false;
  grant_call_ = CallId();
  bool valid = pending_block_start_ > 0 &&
               pending_block_start_ + kBlockSize <= kMaxOrdinal;
  if (body.code != PlatformCode::kOk || !valid) {
    ScheduleRetry(context);
    return true;
  }
  failures_ = 0;
  for (uint64_t i = 0; i < kBlockSize; i++) {
    Ordinal granted(pending_block_start_ + i);
    if (ordinal_ == Ordinal()) {
      ordinal_ = granted;
    } else {
      spare_.push_back(granted);
    }
  }
  return true;
}

bool OrdinalAllocator::HasEnough() const {
  return ordinal_ != Ordinal() && !spare_.empty();
}

void OrdinalAllocator::ScheduleRetry(Context* context) {
  failures_++;
  Duration pause = ordinal_ == Ordinal() ? kRetryDelay : kRefillRetryDelay;
  next_try_ = context->now() + context->Jitter(pause);
}

}  // namespace fireflycart
