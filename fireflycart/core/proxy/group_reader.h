// Serves reads of one database group at the replicas in this VM's data centre,
// while another VM, in another data centre, owns the group.
//
//   GroupReader reader(spec, data_centre, &handler);
//   reader.SetUpstreams(records, &context);
//   reader.Submit(call, origin, &context);
//
// It answers a read only with the success of a replica that has all that the
// read must contain; see read_evidence.h. Every other read is returned, to be
// sent to the owner, which judges all failures. Nothing is lost with a reader,
// so it needs no hand-over, and two readers of a group do not disturb each
// other.
//
// Load pattern: a data centre asks for more than its own replicas can run.
// Reads that would wait here longer than DataCentreBalance allows leave at
// once.
//
// Limits: single reads that may run on a replica; at most kMaxQueuedReads wait.

#ifndef FIREFLYCART_CORE_PROXY_GROUP_READER_H_
#define FIREFLYCART_CORE_PROXY_GROUP_READER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/core/admission/connection_plan.h"
#include "fireflycart/core/admission/data_centre_balance.h"
#include "fireflycart/core/admission/service_times.h"
#include "fireflycart/core/proxy/read_evidence.h"
#include "fireflycart/core/proxy/upstream_pool.h"
#include "fireflycart/core/proxy/work_queue.h"

namespace fireflycart::proxy {

// Receives what a reader needs of others.
class ReadHandler {
 public:
  virtual ~ReadHandler() = default;
  virtual void OnReadDone(const WorkOrigin& origin, StatementReply reply) = 0;
  // The read was not served; its time limits are what is left of them.
  virtual void OnReadReturned(const WorkOrigin& origin, StatementCall call) = 0;
  // Asks the owner of the group for evidence; OnEvidence has the answer.
  virtual void RequestEvidence(const GroupId& group) = 0;
};

class GroupReader {
 public:
  static constexpr size_t kMaxQueuedReads = 200;
  // Interval of the requests for evidence while there are reads.
  static constexpr Duration kEvidencePeriod = Duration::Millis(200);
  // After this time without a read the reader closes its connections.
  static constexpr Duration kIdleTimeout = Duration::Seconds(3);
  // Share of an upstream's connections that its reader and the group's owner
  // may use, in percent. Most reads there are the reader's. Either uses two
  // thirds of its share at most, and half as long as an earlier one may have
  // connections open.
  static constexpr int kReaderShare = 60;
  static constexpr int kOwnerShare = 40;
  // An upstream has dropped the connections of an earlier reader by then.
  static constexpr Duration kSoleReaderTime = Duration::Seconds(5);

  GroupReader(GroupSpec spec, DataCentreId data_centre,
              const DataCentreBalanceOptions& options, ReadHandler* handler);

  void SetSpec(const GroupSpec& spec);
  void SetUpstreams(const std::vector<UpstreamRecord>& records,
                    ProxyContext* context);
  void SetListTime(TimePoint list_time) { pool_.SetListTime(list_time); }

  // Reads of a lower maximum age would find no evidence that is new enough.
  static constexpr Duration kMinMaxAge = Duration::Millis(800);
  // True if a reader may serve this statement.
  static bool IsServable(const StatementCall& call);
  // True if a reader in this data centre may send reads to the upstream.
  static bool IsUsable(const UpstreamRecord& record,
                       const DataCentreId& data_centre);

  // True if the read may be submitted here: evidence covers it, and it gains
  // nothing from leaving the data centre.
  bool MayServe(const StatementCall& call, ProxyContext* context);
  void Submit(StatementCall call, const WorkOrigin& origin,
              ProxyContext* context);
  // Cancels the read if it is queued here; false if it is not.
  bool CancelQueued(const SessionKey& session, const StatementId& id,
                    ProxyContext* context);
  // Returns all that is queued.
  void ReturnQueued(ProxyContext* context);

  // Evidence of the owner, which was asked at that time: a position, its age,
  // and how long a read waits there.
  void OnEvidence(TimePoint sent, const EvidenceReply& reply,
                  ProxyContext* context);
  void OnOpened(const UpstreamOpened& event, ProxyContext* context);
  void OnClosed(const UpstreamClosed& event, ProxyContext* context);
  void OnAnswered(const UpstreamAnswered& event, ProxyContext* context);
  void OnWake(ProxyContext* context);

  bool HasConnection(ConnectionId id) { return pool_.Find(id) != nullptr; }
  size_t work_count() const { return work_.size(); }
  size_t connection_count() const { return pool_.connection_count(); }

 private:
  // Faults of an upstream, after which it is sent nothing for a while.
  struct Avoidance {
    int faults = 0;  // Consecutive.
    TimePoint until;
  };

  // True if evidence covers all that the read must contain.
  bool IsFresh(const StatementCall& call, TimePoint now) const;
  LogPosition MinPositionFor(const StatementCall& call,
                             TimePoint arrived) const;
  bool IsAvailable(const PooledUpstream& upstream, TimePoint now) const;
  // How long one more read would wait here; false if no upstream is available.
  bool ExpectWait(TimePoint now, Duration* wait) const;
  bool MayStay(const StatementCall& call, ProxyContext* context);
  Duration RunLimit(const Work& work) const;
  void RequestEvidenceIfDue(ProxyContext* context);
  void Dispatch(ProxyContext* context);
  void PlanConnections(ProxyContext* context);
  // Null if no upstream can take the read now; may open a connection for it.
  PooledConnection* ConnectionFor(const Work& work, ProxyContext* context);
  void Start(Work* work, PooledConnection* connection, ProxyContext* context);
  void SendRead(Work* work, PooledConnection* connection,
                ProxyContext* context);
  void OnFault(const UpstreamId& upstream, const char* cause,
               ProxyContext* context);
  void OnConnectionLost(const PooledConnection& lost, ProxyContext* context);
  void CloseUnused(ProxyContext* context);
  void CheckTimes(ProxyContext* context);
  void Return(Work* work, const char* cause, ProxyContext* context);
  void Finish(Work* work, ProxyContext* context);
  Work* FindWork(StatementNumber number);

  GroupSpec spec_;
  DataCentreId data_centre_;
  ReadHandler* handler_;
  UpstreamPool pool_;
  ReadEvidence evidence_;
  DataCentreBalance balance_;
  ServiceTimes service_times_;
  WorkQueue queue_;
  TenantDemand demand_;
  ConnectionPlan connection_plan_;
  std::map<StatementNumber, std::unique_ptr<Work>> work_;
  std::map<UpstreamId, Avoidance> avoidances_;
  // Connections on which a returned read still runs, and until when they may.
  std::map<ConnectionId, TimePoint> given_up_;
  TimePoint used_since_;
  TimePoint last_used_;
  TimePoint next_evidence_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_GROUP_READER_H_
