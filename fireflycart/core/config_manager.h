// Holds the configuration in force at this VM, fetches newer versions from the
// platform or from peers, and submits changes.
//
// The platform's table has one row that names the version in force; the object
// store holds the documents. Only a few VMs, the readers, poll the row. The
// others receive the number of a new version from their peers and fetch the
// difference.
//
//   manager.OnTick(is_reader, &context);
//   manager.OnPeerVersion(peer, address, version, &context);
//   manager.Submit(handle, call, &context);
//   if (manager.TakeInstalled()) ApplyConfiguration(manager.current());
//
// Limits: the last kMaxRetainedSteps differences are retained for peers; a VM
// with an older version receives the whole document. The version in force
// never decreases.

#ifndef FIREFLYCART_CORE_CONFIG_MANAGER_H_
#define FIREFLYCART_CORE_CONFIG_MANAGER_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/configuration.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

// The row in the platform's table that names the version in force.
struct ConfigPointer {
  ConfigVersion version;
  ConfigVersion base;       // Version on which the change was made.
  std::string digest;       // Digest of the document of the version.
  std::string base_digest;  // Digest of the document of the base.
  std::string operator_name;
};

std::string EncodeConfigPointer(const ConfigPointer& pointer);
// Throws Error if the text is malformed.
ConfigPointer DecodeConfigPointer(const std::string& text);

class ConfigManager {
 public:
  // Polls the platform and retries submissions when these are due. Readers
  // always poll, other VMs only after some poll periods without a message from
  // a peer or as long as they have no configuration.
  void OnTick(bool is_reader, Context* context);

  // Handles the report of a peer that it has this version in force. Fetches
  // the version from the peer if it is newer.
  void OnPeerVersion(const VmId& peer, const std::string& address,
                     ConfigVersion version, Context* context);
  ConfigFetchReply AnswerFetch(const ConfigFetchCall& call) const;

  void Submit(HandleId handle, const SubmitConfigCall& call, Context* context);

  // Handle replies to calls that this class emitted. Return false for any
  // other call.
  bool OnPeerReplied(const PeerReplied& reply, Context* context);
  bool OnPlatformReplied(const PlatformReplied& reply, Context* context);

  ConfigVersion version() const { return version_; }
  const std::string& document() const { return document_; }
  const Configuration& current() const { return configuration_; }
  // Time of the platform's last reply to a poll.
  TimePoint last_platform_reply() const { return last_platform_reply_; }
  // Returns true once after a new version has come into force.
  bool TakeInstalled();

 private:
  enum class SubmitStep {
    kReadPointer,
    kReadBase,  // If the base is not in force at this VM.
    kPutObject,
    kTransact,
    kReadChanges,  // After a conflict.
  };
  struct Submission {
    HandleId handle;
    SubmitConfigCall call;
    std::string canonical;
    std::string digest;
    std::string base_document;
    SubmitStep step = SubmitStep::kReadPointer;
    uint64_t row_version = 0;
    ConfigPointer pointer;
    int attempts = 0;
    TimePoint deadline;
    TimePoint retry_at;  // Set while in the retry queue.
  };

  void Poll(Context* context);
  void OnPointerRead(const PlatformReply& reply, Context* context);
  void OnDocumentRead(const PlatformReply& reply);
  void Install(ConfigVersion version, const std::string& canonical);
  void LogInstalled(Context* context);
  void CallPlatformFor(Submission* submission, PlatformCallBody body,
                       Context* context);
  void AdvanceSubmission(CallId call, const PlatformReply& reply,
                         Context* context);
  void OnSubmitPointer(Submission* submission, const PlatformReply& reply,
                       Context* context);
  void OnSubmitChanges(const Submission& submission, const PlatformReply& reply,
                       Context* context);
  void PutObject(Submission* submission, Context* context);
  void Transact(Submission* submission, Context* context);
  void ScheduleRetry(Submission submission, Context* context);
  void SendDueRetries(Context* context);
  void EndSubmission(const Submission& submission, SubmitReply reply,
                     Context* context);

  ConfigVersion version_;
  std::string document_;
  std::string digest_;
  Configuration configuration_;
  std::deque<ConfigStep> steps_;
  bool installed_ = false;

  TimePoint next_poll_;
  TimePoint last_platform_reply_;
  TimePoint last_peer_contact_;
  CallId poll_call_;
  CallId document_call_;
  ConfigPointer pending_pointer_;
  CallId fetch_call_;
  VmId fetch_peer_;
  TimePoint fetch_started_;
  // Set after a fetched difference was invalid.
  bool fetch_full_document_ = false;
  std::map<CallId, Submission> submissions_;
  std::vector<Submission> retry_queue_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CONFIG_MANAGER_H_
