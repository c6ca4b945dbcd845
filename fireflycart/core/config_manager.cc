// A submission reads the pointer row, stores the document as an object named by
// its digest, and then writes the pointer and an audit record in one table
// transaction that checks the row's version. If a reply is lost, the
// submission is retried from the start. The pointer then names either the
// submission's own document on its own base, which means that it was accepted,
// or another document, which is a conflict.
//
// A version from any source comes into force only if it is higher than the one
// in force, so no VM reverts to an older configuration.

#include "fireflycart/core/config_manager.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflycart/core/error.h"

namespace fireflycart {
namespace {

constexpr char kPointerKey[] = "config/current";
constexpr char kObjectPrefix[] = "config-document/";
constexpr char kAuditPrefix[] = "audit/";
constexpr size_t kMaxRetainedSteps = 32;
constexpr Duration kPlatformTimeout = Duration::Millis(1500);
constexpr Duration kFetchTimeout = Duration::Millis(1000);
constexpr Duration kAnnounceTimeout = Duration::Millis(500);
constexpr Duration kSubmitTimeout = Duration::Seconds(8);
constexpr Duration kSubmitRetryDelay = Duration::Millis(150);
// VMs that are not readers poll after this many poll periods without a message
// from a peer.
constexpr int64_t kPollPeriodsWithoutPeers = 4;
// Number of changes listed in a conflict report.
constexpr int kMaxReportedChanges = 20;
constexpr int kAuditKeyDigits = 12;

std::string AuditKey(ConfigVersion version) {
  std::string number = std::to_string(version.value());
  size_t width = static_cast<size_t>(kAuditKeyDigits);
  std::string padding(width > number.size() ? width - number.size() : 0, '0');
  return kAuditPrefix + padding + number;
}

struct AuditRecord {
  ConfigVersion version;
  ConfigVersion base;
  std::string digest;
  std::string operator_name;
};

AuditRecord DecodeAuditRecord(const std::string& text) {
  try {
    nlohmann::json json = nlohmann::json::parse(text);
    AuditRecord record;
    record.version = ConfigVersion(json.at("version").get<uint64_t>());
    record.base = ConfigVersion(json.at("base").get<uint64_t>());
    record.digest = json.at("digest").get<std::string>();
    record.operator_name = json.at("operator").get<std::string>();
    return record;
  } catch (const nlohmann::json::exception& e) {
    throw Error(ErrorCode::kProtocol, "read audit record", "platform",
                e.what());
  }
}

}  // namespace

std::string EncodeConfigPointer(const ConfigPointer& pointer) {
  nlohmann::json json = {{"version", pointer.version.value()},
                         {"base", pointer.base.value()},
                         {"digest", pointer.digest},
                         {"base_digest", pointer.base_digest},
                         {"operator", pointer.operator_name}};
  return json.dump();
}

ConfigPointer DecodeConfigPointer(const std::string& text) {
  try {
    nlohmann::json json = nlohmann::json::parse(text);
    ConfigPointer pointer;
    pointer.version = ConfigVersion(json.at("version").get<uint64_t>());
    pointer.base = ConfigVersion(json.at("base").get<uint64_t>());
    pointer.digest = json.at("digest").get<std::string>();
    pointer.base_digest = json.at("base_digest").get<std::string>();
    pointer.operator_name = json.at("operator").get<std::string>();
    return pointer;
  } catch (const nlohmann::json::exception& e) {
    throw Error(ErrorCode::kProtocol, "read configuration pointer", "platform",
                e.what());
  }
}

void ConfigManager::OnTick(bool is_reader, Context* context) {
  SendDueRetries(context);
  if (context->now() < next_poll_) return;
  Duration period = context->options().config_poll_period();
  next_poll_ = context->now() + context->Jitter(period);
  Duration since_peer_contact = context->now() - last_peer_contact_;
  bool no_peer_contact =
      since_peer_contact >= period * kPollPeriodsWithoutPeers;
  bool has_no_version = version_ == ConfigVersion();
  if (is_reader || no_peer_contact || has_no_version) Poll(context);
}

void ConfigManager::OnPeerVersion(const VmId& peer, const std::string& address,
                                  ConfigVersion version, Context* context) {
  last_peer_contact_ = context->now();
  if (version <= version_) return;
  bool fetch_in_progress = fetch_call_ != CallId() &&
                           context->now() - fetch_started_ < kFetchTimeout;
  if (fetch_in_progress) return;
  fetch_call_ = context->NextCall();
  fetch_peer_ = peer;
  fetch_started_ = context->now();
  context->Emit(CallPeer{
      fetch_call_, peer, address, kFetchTimeout,
      ConfigFetchCall{fetch_full_document_ ? ConfigVersion() : version_}});
}

ConfigFetchReply ConfigManager::AnswerFetch(const ConfigFetchCall& call) const {
  ConfigFetchReply reply;
  reply.version = version_;
  reply.digest = digest_;
  if (call.installed_version >= version_) return reply;
  bool retains_steps =
      !steps_.empty() &&
      steps_.front().version.value() <= call.installed_version.value() + 1;
  if (!retains_steps || call.installed_version == ConfigVersion()) {
    reply.document = document_;
    return reply;
  }
  for (const ConfigStep& step : steps_) {
    if (step.version > call.installed_version) reply.steps.push_back(step);
  }
  return reply;
}

void ConfigManager::Submit(HandleId handle, const SubmitConfigCall& call,
                           Context* context) {
  ConfigurationResult parsed = ParseConfiguration(call.document);
  if (!parsed.problems.empty()) {
    SubmitReply reply;
    reply.code = SubmitCode::kInvalid;
    reply.version = version_;
    reply.problems = parsed.problems;
    context->Emit(AnswerOperator{handle, reply});
    return;
  }
  Submission submission;
  submission.handle = handle;
  submission.call = call;
  submission.canonical = parsed.canonical;
  submission.digest = ConfigurationDigest(parsed.canonical);
  submission.deadline = context->now() + kSubmitTimeout;
  CallPlatformFor(&submission, ReadRowCall{kPointerKey}, context);
}

bool ConfigManager::OnPeerReplied(const PeerReplied& reply, Context* context) {
  if (fetch_call_ == CallId() || reply.call != fetch_call_) return false;
  fetch_call_ = CallId();
  const auto* body = std::get_if<ConfigFetchReply>(&reply.body);
  if (reply.error != PeerCallError::kNone || body == nullptr) return true;
  if (body->version <= version_) return true;
  try {
    std::string document = body->document;
    if (document.empty()) {
      document = document_;
      for (const ConfigStep& step : body->steps) {
        if (step.version <= version_) continue;
        document = ApplyDifference(document, step.difference);
      }
    }
    if (ConfigurationDigest(document) != body->digest) {
      throw Error(ErrorCode::kProtocol, "fetch configuration",
                  fetch_peer_.value(), "document does not match its digest");
    }
    Install(body->version, document);
    fetch_full_document_ = false;
    LogInstalled(context);
  } catch (const Error& e) {
    context->Log(LogLevel::kWarning, "config", e.what());
    fetch_full_document_ = true;
    Poll(context);
  }
  return true;
}

bool ConfigManager::OnPlatformReplied(const PlatformReplied& reply,
                                      Context* context) {
  bool answered = reply.reply.code != PlatformCode::kUnavailable;
  bool handled = true;
  CallId call = reply.call;
  if (call == poll_call_) {
    poll_call_ = CallId();
    if (answered) last_platform_reply_ = context->now();
    OnPointerRead(reply.reply, context);
  } else if (call == document_call_) {
    document_call_ = CallId();
    ConfigVersion before = version_;
    OnDocumentRead(reply.reply);
    if (version_ > before) LogInstalled(context);
  } else if (submissions_.count(call) != 0) {
    AdvanceSubmission(call, reply.reply, context);
  } else {
    handled = false;
  }
  return handled;
}

bool ConfigManager::TakeInstalled() { return std::exchange(installed_, false); }

void ConfigManager::Poll(Context* context) {
  poll_call_ = context->NextCall();
  context->Emit(
      CallPlatform{poll_call_, kPlatformTimeout, ReadRowCall{kPointerKey}});
}

void ConfigManager::OnPointerRead(const PlatformReply& reply,
                                  Context* context) {
  if (reply.code != PlatformCode::kOk || reply.rows.empty()) return;
  try {
    ConfigPointer pointer = DecodeConfigPointer(reply.rows.front().value);
    if (pointer.version <= version_) return;
    pending_pointer_ = pointer;
    document_call_ = context->NextCall();
    context->Emit(CallPlatform{document_call_, kPlatformTimeout,
                               ReadObjectCall{kObjectPrefix + pointer.digest}});
  } catch (const Error& e) {
    context->Log(LogLevel::kWarning, "config", e.what());
  }
}

void ConfigManager::OnDocumentRead(const PlatformReply& reply) {
  if (reply.code != PlatformCode::kOk) return;
  if (ConfigurationDigest(reply.body) != pending_pointer_.digest) return;
  Install(pending_pointer_.version, reply.body);
}

// Puts a version into force if it is newer than the one in force.
void ConfigManager::Install(ConfigVersion version,
                            const std::string& canonical) {
  if (version <= version_) return;
  ConfigurationResult parsed = ParseConfiguration(canonical);
  if (!parsed.problems.empty()) {
    const ConfigurationProblem& first = parsed.problems.front();
    throw Error(ErrorCode::kProtocol, "install configuration", "",
                first.path + ": expected " + first.allowed);
  }
  bool is_next_version =
      version.value() == version_.value() + 1 && version_ != ConfigVersion();
  if (!is_next_version) steps_.clear();
  std::string digest = ConfigurationDigest(canonical);
  if (is_next_version) {
    steps_.push_back(ConfigStep{
        version, ConfigurationDifference(document_, canonical), digest});
  }
  if (steps_.size() > kMaxRetainedSteps) steps_.pop_front();
  version_ = version;
  document_ = canonical;
  digest_ = digest;
  configuration_ = parsed.configuration;
  installed_ = true;
}

void ConfigManager::LogInstalled(Context* context) {
  context->Log(LogLevel::kInfo, "config",
               "Version " + std::to_string(version_.value()) + " is in force.");
}

void ConfigManager::CallPlatformFor(Submission* submission,
                                    PlatformCallBody body, Context* context) {
  CallId call = context->NextCall();
  submissions_[call] = *submission;
  context->Emit(CallPlatform{call, kPlatformTimeout, std::move(body)});
}

void ConfigManager::AdvanceSubmission(CallId call, const PlatformReply& reply,
                                      Context* context) {
  Submission submission = submissions_[call];
  submissions_.erase(call);
  bool base_missing = reply.code == PlatformCode::kNotFound &&
                      submission.step == SubmitStep::kReadBase;
  if (reply.code == PlatformCode::kUnavailable ||
      reply.code == PlatformCode::kConflict || base_missing) {
    ScheduleRetry(submission, context);
    return;
  }
  switch (submission.step) {
    case SubmitStep::kReadPointer:
      OnSubmitPointer(&submission, reply, context);
      return;
    case SubmitStep::kPutObject:
      Transact(&submission, context);
      return;
    case SubmitStep::kTransact: {
      ConfigVersion accepted(submission.pointer.version.value() + 1);
      Install(accepted, submission.canonical);
      LogInstalled(context);
      SubmitReply done;
      done.code = SubmitCode::kAccepted;
      done.version = accepted;
      EndSubmission(submission, done, context);
      return;
    }
    case SubmitStep::kReadBase:
      submission.base_document = reply.body;
      PutObject(&submission, context);
      return;
    case SubmitStep::kReadChanges:
      OnSubmitChanges(submission, reply, context);
      return;
  }
}

void ConfigManager::OnSubmitPointer(Submission* submission,
                                    const PlatformReply& reply,
                                    Context* context) {
  ConfigPointer pointer;
  submission->row_version = 0;
  if (reply.code == PlatformCode::kOk && !reply.rows.empty()) {
    pointer = DecodeConfigPointer(reply.rows.front().value);
    submission->row_version = reply.rows.front().version;
  }
  submission->pointer = pointer;
  bool same_change = pointer.version != ConfigVersion() &&
                     pointer.digest == submission->digest &&
                     pointer.base == submission->call.base &&
                     pointer.operator_name == submission->call.operator_name;
  if (same_change) {
    Install(pointer.version, submission->canonical);
    SubmitReply done;
    done.code = submission->attempts > 0 ? SubmitCode::kAccepted
                                         : SubmitCode::kAlreadyAccepted;
    done.version = pointer.version;
    EndSubmission(*submission, done, context);
    return;
  }
  if (pointer.version != submission->call.base) {
    submission->step = SubmitStep::kReadChanges;
    CallPlatformFor(submission, ScanRowsCall{kAuditPrefix, kMaxReportedChanges},
                    context);
    return;
  }
  if (pointer.version != version_) {
    submission->step = SubmitStep::kReadBase;
    CallPlatformFor(submission, ReadObjectCall{kObjectPrefix + pointer.digest},
                    context);
    return;
  }
  submission->base_document = document_;
  PutObject(submission, context);
}

// The pointer names a version other than the base: either another change was
// accepted first, or this one was accepted and others followed. The audit
// trail shows which.
void ConfigManager::OnSubmitChanges(const Submission& submission,
                                    const PlatformReply& reply,
                                    Context* context) {
  SubmitReply answer;
  answer.code = SubmitCode::kConflict;
  answer.version = submission.pointer.version;
  for (const Row& row : reply.rows) {
    AuditRecord record = DecodeAuditRecord(row.value);
    if (record.version <= submission.call.base) continue;
    answer.changes.push_back(row.value);
    bool same_change = record.base == submission.call.base &&
                       record.digest == submission.digest &&
                       record.operator_name == submission.call.operator_name;
    if (!same_change) continue;
    answer.code = SubmitCode::kAlreadyAccepted;
    answer.version = record.version;
  }
  EndSubmission(submission, answer, context);
}

void ConfigManager::PutObject(Submission* submission, Context* context) {
  submission->step = SubmitStep::kPutObject;
  CallPlatformFor(
      submission,
      PutObjectCall{kObjectPrefix + submission->digest, submission->canonical},
      context);
}

void ConfigManager::Transact(Submission* submission, Context* context) {
  ConfigPointer next;
  next.version = ConfigVersion(submission->pointer.version.value() + 1);
  next.base = submission->call.base;
  next.digest = submission->digest;
  next.base_digest = submission->pointer.digest;
  next.operator_name = submission->call.operator_name;
  nlohmann::json audit = {
      {"version", next.version.value()},
      {"base", next.base.value()},
      {"operator", next.operator_name},
      {"submitted_at", submission->call.submitted_at},
      {"digest", next.digest},
      {"difference", nlohmann::json::parse(ConfigurationDifference(
                         submission->base_document, submission->canonical))}};
  TransactCall transaction;
  transaction.checks.push_back({kPointerKey, submission->row_version});
  transaction.writes.push_back({kPointerKey, EncodeConfigPointer(next)});
  transaction.writes.push_back({AuditKey(next.version), audit.dump()});
  submission->step = SubmitStep::kTransact;
  CallPlatformFor(submission, transaction, context);
}

// Schedules a retry from the start after a lost reply or a write conflict.
// Ends the submission with an unknown outcome once its deadline has passed.
void ConfigManager::ScheduleRetry(Submission submission, Context* context) {
  if (context->now() >= submission.deadline) {
    SubmitReply unknown;
    unknown.code = SubmitCode::kUnknown;
    unknown.version = version_;
    EndSubmission(submission, unknown, context);
    return;
  }
  submission.attempts++;
  submission.step = SubmitStep::kReadPointer;
  submission.retry_at = context->now() + context->Jitter(kSubmitRetryDelay);
  retry_queue_.push_back(std::move(submission));
}

void ConfigManager::SendDueRetries(Context* context) {
  std::vector<Submission> queued = std::exchange(retry_queue_, {});
  for (Submission& submission : queued) {
    if (submission.retry_at > context->now()) {
      retry_queue_.push_back(std::move(submission));
      continue;
    }
    CallPlatformFor(&submission, ReadRowCall{kPointerKey}, context);
  }
}

void ConfigManager::EndSubmission(const Submission& submission,
                                  SubmitReply reply, Context* context) {
  context->Emit(AnswerOperator{submission.handle, std::move(reply)});
}

}  // namespace fireflycart
