"""Takes each mechanism out once and shows whether the random test finds it.

Usage: mutants.py [--seeds N] [--jobs N] [NAME ...]

Each mutant is a change of the committed sources in a scratch copy, built and
run until the first failing seed. Prints a table; exits with 1 if a mutant
survived. The sources in the working tree are not touched.
"""

import argparse
import concurrent.futures
import os
import re
import subprocess
import sys
import tempfile
from dataclasses import dataclass

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
RANDOM_TEST = "standins/testing/fireflycart_random_test"
FOCUSED_TESTS = ("core/testing/fireflycart_core_test",
                 "standins/testing/fireflycart_failure_test")
SESSION_RANDOM_TEST = "standins/testing/fireflycart_session_random_test"
SESSION_FOCUSED_TESTS = ("core/testing/fireflycart_core_test",
                         "standins/testing/fireflycart_session_load_test",
                         "standins/testing/fireflycart_session_failure_test",
                         "standins/testing/fireflycart_session_return_test",
                         "standins/testing/fireflycart_session_single_upstream_test",
                         "standins/testing/fireflycart_session_store_test",
                         "standins/testing/fireflycart_session_takeover_test")


@dataclass(frozen=True)
class Mutant:
    """One mechanism, and the change that takes it out."""

    name: str
    file: str
    before: str
    after: str


# Mechanisms of sessions on the prepared platform.
SESSION_MUTANTS = [
    Mutant(
        "read at a primary that is not proven current",
        "proxy/group_dispatch.cc",
        "return leadership_.IsUnchallengedSince(oldest) ||\n"
        "         leadership_.IsConfirmedSince(work.arrived.sequence);",
        "return true;",
    ),
    Mutant(
        "leaving for an unknown time taken for just leaving",
        "proxy/upstream_times.cc",
        "  return found == times_.end() ? TimePoint() : found->second.leaving_since;",
        "  return TimePoint::FromMillis(1LL << 40);",
    ),
    Mutant(
        "commit passed on though other VMs may not know its replica",
        "proxy/group_commits.cc",
        "bool suffices = is_lasting && has_received && counts_single &&",
        "if (has_received) return true;\n"
        "    bool suffices = is_lasting && has_received && counts_single &&",
    ),
    Mutant(
        "restart of a replica not noticed",
        "proxy/upstream_pool.cc",
        "return !may_have_restarted;",
        "return true;",
    ),
    Mutant(
        "promotion before all replicas hold",
        "proxy/failover.cc",
        "if (!HoldReplicas(pool, context)) {",
        "HoldReplicas(pool, context);\n  if (false) {",
    ),
    Mutant(
        "successor with the shortest log",
        "proxy/failover.cc",
        "bool is_better = lasts != best_lasts ? lasts : best < received || wins_tie;",
        "bool is_better = lasts != best_lasts ? lasts : received < best || wins_tie;",
    ),
    Mutant(
        "lost write sent again by the owner",
        "proxy/group_answers.cc",
        "bool may_repeat = !was_sent || work->call.access == Access::kRead;",
        "bool may_repeat = true;\n  (void)was_sent;",
    ),
    Mutant(
        "lost write sent again by the entry",
        "proxy/forwarder.cc",
        "bool is_safe_to_retry = !was_sent || call.access == Access::kRead ||",
        "bool is_safe_to_retry = true || !was_sent || call.access == Access::kRead ||",
    ),
    Mutant(
        "lost commit taken for rolled back",
        "proxy/group_answers.cc",
        "Fail(work, is_outcome_unknown ? Outcome::kUnknown : Outcome::kAborted,",
        "(void)is_outcome_unknown;\n    Fail(work, Outcome::kAborted,",
    ),
    Mutant(
        "session values of the last user kept",
        "proxy/upstream_pool.cc",
        "if (call.values.count(value.first) == 0) has_surplus = true;",
        "(void)value;",
    ),
    Mutant(
        "replica read without a floor",
        "proxy/group_dispatch.cc",
        "is_primary ? MinPositionAtPrimary(*work) : MinPositionFor(*work);",
        "is_primary ? MinPositionAtPrimary(*work) : LogPosition();",
    ),
    Mutant(
        "own writes not asked for",
        "proxy/group_dispatch.cc",
        "bool needs_own_writes = work.call.consistency == ReadConsistency::kOwnWrites;",
        "bool needs_own_writes = false;",
    ),
    Mutant(
        "positions count without a proof",
        "proxy/leadership_tracker.cc",
        "    if (sample.sent.sequence > confirmed_.sequence) break;\n"
        "    if (sample.sent.time >= time) return sample.position;",
        "    if (sample.sent.time >= time) return sample.position;",
    ),
    Mutant(
        "promotion without a token of its own",
        "proxy/failover.cc",
        "return is_fleet_reachable_ && lease_.MayUseOldToken(term_);",
        "return true;",
    ),
    Mutant(
        "old token used without asking the other VMs",
        "proxy/failover.cc",
        "return is_fleet_reachable_ && lease_.MayUseOldToken(term_);",
        "return lease_.MayUseOldToken(term_);",
    ),
    Mutant(
        "old token used beside a hold with a newer one",
        "proxy/failover.cc",
        "if (!lease_.has_token() && IsAnyHoldNewer(*pool)) {",
        "if (false) {",
    ),
    Mutant(
        "loss of the store not told to the next readers",
        "proxy/proxy_reducer.cc",
        "fleet_.NotifyStoreReaders(&context_);",
        "",
    ),
    Mutant(
        "readers of the store not watched",
        "proxy/fleet.cc",
        "  ProbeWatchedReader(context);",
        "",
    ),
    Mutant(
        "store not followed when no VM is known to have an answer",
        "proxy/store_follower.cc",
        "  SetFollowing(is_reader_, true, \"store_age\", context);",
        "",
    ),
    Mutant(
        "reads sent to replicas that lag too far",
        "proxy/group_dispatch.cc",
        "return now - lag < leadership_.ReachedAt(min_position);",
        "return lag < Duration();",
    ),
    Mutant(
        "few groups placed on weak VMs",
        "proxy/group_placement.cc",
        "return groups <= kMaxGroupsPerStrongVm * strong.size() ? strong : vms;",
        "return groups > kMaxGroupsPerStrongVm * 1000 * strong.size() ? strong : vms;",
    ),
    Mutant(
        "held replicas are not resumed",
        "proxy/failover.cc",
        "if (item.first != old_primary_) resuming_.insert(item.first);",
        "",
    ),
    Mutant(
        "order to resume without the lease",
        "proxy/failover.cc",
        "return lease_.has_token() &&\n"
        "         age + UpstreamPool::kResumeMaxTransit <",
        "return true ||\n"
        "         age + UpstreamPool::kResumeMaxTransit <",
    ),
    Mutant(
        "replicas resumed while the successor may lead unseen",
        "proxy/failover.cc",
        "if (IsOrderSettled(*pool)) {",
        "if (true) {",
    ),
    Mutant(
        "longest log passed over while its entry is missing",
        "proxy/failover.cc",
        "return is_replica && IsHeld(upstream);",
        "return is_replica && IsHeld(upstream) && upstream.is_registered;",
    ),
    Mutant(
        "promotion ordered by a list of any age",
        "proxy/failover.cc",
        "if (lease_.has_token() && is_list_old) return;",
        "(void)is_list_old;",
    ),
    Mutant(
        "no change of the primary for late replicas",
        "proxy/group_load.cc",
        "if (decision.reason != LagReliefReason::kRelieves) return;",
        "if (lag_relief_.change_time() > Duration()) return;",
    ),
    Mutant(
        "fixed wait before a refusal",
        "admission/queue_outlook.cc",
        "    if (end_ms > static_cast<double>(time_left.millis())) {",
        "    if (end_ms < 0) {",
    ),
    Mutant(
        "positions of a primary that has not applied its log",
        "proxy/group_owner.cc",
        "if (upstream == primary_ && HasAppliedLog(event.answer.position)) {",
        "if (upstream == primary_) {",
    ),
    Mutant(
        "reads that an upstream failed are not repeated",
        "proxy/group_answers.cc",
        "constexpr int kMaxFailedRuns = 2;",
        "constexpr int kMaxFailedRuns = 1;",
    ),
    Mutant(
        "statements of a group that is cut off wait",
        "proxy/group_load.cc",
        "if (IsCutOff(context)) return 0;",
        "",
    ),
    Mutant(
        "VM without tables is marked down",
        "proxy/forwarder.cc",
        "  result.has_call_failed = false;",
        "  result.has_call_failed = true;",
    ),
    Mutant(
        "acknowledgement of a replaced primary passed on",
        "proxy/failover.cc",
        "  return !(held_position_ < position);",
        "  return true;",
    ),
    Mutant(
        "hold of a restarted replica still counted",
        "proxy/failover.cc",
        "  return upstream.is_status_of_this_connection() &&",
        "  return upstream.has_status &&",
    ),
    Mutant(
        "successor of a leaving primary not awaited",
        "proxy/failover.cc",
        "if (!HasCaughtUp(pool, context)) return;",
        "",
    ),
    Mutant(
        "rolled back connection reused with its transaction",
        "proxy/group_answers.cc",
        "  pool_.Send(connection, {rollback}, StatementNumber(), context);",
        "  connection->is_rolling_back = false;",
    ),
    Mutant(
        "routes not taken from peers",
        "proxy/store_follower.cc",
        'ApplyRoutes(reply.routes, "peer", context);',
        "",
    ),
]

MUTANTS = [
    Mutant(
        "acknowledge at the primary",
        "group_replies.cc",
        "Position held = view_.QuorumPosition(term_);",
        "Position held;\n  if (const auto* s = view_.Find(primary_)) held = s->held;",
    ),
    Mutant(
        "no majority seen for reads",
        "group_replies.cc",
        "uint64_t confirmed = view_.QuorumSequence(term_);",
        "uint64_t confirmed = UINT64_MAX;",
    ),
    Mutant(
        "no floor after a takeover",
        "group_control.cc",
        "sessions_.RaiseFloor(takeover_.first_entry());",
        "sessions_.RaiseFloor(Position());",
    ),
    Mutant(
        "no positions of sessions",
        "group_replies.cc",
        "sessions_.Record(work->request.session, work->written);",
        "",
    ),
    Mutant(
        "positions counted without the term of the last entry",
        "replication_view.cc",
        "status != nullptr && status->term == term && status->entry_term == term;",
        "status != nullptr && status->term == term;",
    ),
    Mutant(
        "any fenced upstream is promoted",
        "replication_view.cc",
        "if (!best.empty() && end < best_end) continue;",
        "if (!best.empty()) continue;",
    ),
    Mutant(
        "absent key counts before the term is held",
        "group_control.cc",
        "view_.QuorumPosition(term_) >= takeover_.first_entry();",
        "true;",
    ),
    Mutant(
        "broken connection taken for not run",
        "group_replies.cc",
        "      StartResolving(work);\n    } else if (type == RequestType::kRollback) {",
        "      Finish(work->id, Outcome::kNotRun, Reason::kConnectionBroken);\n"
        "    } else if (type == RequestType::kRollback) {",
    ),
    Mutant(
        "no request key at the upstream",
        "group_dispatch.cc",
        "if (is_write) call.key = work.request.key;",
        "",
    ),
    Mutant(
        "hand-over offer stays good",
        "group_coordinator.cc",
        "RenewTerm(primary_);",
        "phase_ = GroupPhase::kServing;",
    ),
    Mutant(
        "broken transaction's connection reused",
        "group_replies.cc",
        "if (end == TransactionEnd::kBroken) links_.Close(connection->id, context_);",
        "",
    ),
    Mutant(
        "configuration installed without comparing versions",
        "config_manager.cc",
        "  if (version <= version_) return;\n  ConfigurationResult parsed",
        "  ConfigurationResult parsed",
    ),
    Mutant(
        "accepted age ignored",
        "group_dispatch.cc",
        "return age && *age <= *work.request.max_age;",
        "return true;",
    ),
    Mutant(
        "replica's answer checked by its last known status",
        "group_replies.cc",
        "!HasData(reply.status, *work)",
        "!ReplicaHasData(connection.upstream, *work)",
    ),
    Mutant(
        "terms not unique to their proposer",
        "term_source.cc",
        "((counter + 1) << kOrdinalBits) | ordinal_.value()",
        "((counter + 1) << kOrdinalBits) | 1",
    ),
    Mutant(
        "callers' VM forgets that a write may have run",
        "request_router.cc",
        "if (sent && !HasNoLastingEffect(request)) pending.maybe_run = true;",
        "",
    ),
    Mutant(
        "coordinator calls an open write not run",
        "group_replies.cc",
        "bool open = work->maybe_run && outcome == Outcome::kNotRun;",
        "bool open = false;",
    ),
    Mutant(
        "no floor under dropped sessions",
        "session_positions.cc",
        "RaiseFloor(applied_by_all);",
        "",
    ),
    Mutant(
        "hand-over trusted though another led in between",
        "group_control.cc",
        "predecessor_ && takeover_.prior_entry_term() == predecessor_->term;",
        "predecessor_.has_value();",
    ),
    Mutant(
        "reachable leader is deposed without asking",
        "group_control.cc",
        "bool led = !predecessor_ && holder",
        "bool led = false && holder",
    ),
    Mutant(
        "connection with an unanswered call reused",
        "group_replies.cc",
        "if (serves) links_.Close(work.connection, context_);",
        "if (serves) links_.EndCall(connection, context_->now());",
    ),
    Mutant(
        "leaving primary is not switched",
        "group_control.cc",
        "if (link == nullptr || !link->leaving) return;",
        "return;",
    ),
    Mutant(
        "planned stop gives groups up at once",
        "reducer.cc",
        "group.HandOverTo(successor, AddressOf(successor));",
        'group.StepDown("stopping", successor);',
    ),
    Mutant(
        "no backoff after being overtaken",
        "group_control.cc",
        "earliest_takeover_ = context_->now() + context_->Jitter(takeover_backoff_);",
        "",
    ),
]


def run(mutant, directory, seeds):
    """Builds and runs one mutant; returns the line of the table."""
    tree = os.path.join(directory, re.sub(r"\W+", "-", mutant.name))
    os.makedirs(tree)
    committed = subprocess.run(
        ["git", "-C", ROOT, "archive", "HEAD"], check=True, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", tree], input=committed.stdout, check=True)
    path = os.path.join(tree, "fireflycart", "core", mutant.file)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    # Line breaks of the formatter do not count.
    pattern = r"\s+".join(re.escape(part) for part in mutant.before.split())
    changed, count = re.subn(pattern, lambda _: mutant.after, text)
    if count != 1:
        return mutant.name, "not applied", f"{count} places match"
    with open(path, "w", encoding="utf-8") as file:
        file.write(changed)
    build = os.path.join(tree, "build")
    configure = ["cmake", "-S", tree, "-B", build, "-G", "Ninja"]
    subprocess.run(configure, check=True, capture_output=True)
    is_session = mutant.file.startswith(("proxy/", "admission/"))
    focused_tests = SESSION_FOCUSED_TESTS if is_session else FOCUSED_TESTS
    random_test = SESSION_RANDOM_TEST if is_session else RANDOM_TEST
    targets = [os.path.basename(t) for t in (*focused_tests, random_test)]
    made = subprocess.run(
        ["cmake", "--build", build, "-j", "2", "--target", *targets],
        capture_output=True,
        check=False,
    )
    if made.returncode != 0:
        return mutant.name, "not built", made.stdout.decode()[-300:]
    for name in focused_tests:
        focused = subprocess.run(
            [os.path.join(build, "fireflycart", name)], capture_output=True, check=False
        )
        if focused.returncode != 0:
            names = re.findall(r"Test name: .*::(\w+)", focused.stderr.decode())
            return mutant.name, "found", "test " + ", ".join(names[:2])
    found = subprocess.run(
        [os.path.join(build, "fireflycart", random_test), "--seed=1",
         f"--runs={seeds}", "--stop_at_failure"],
        capture_output=True,
        check=False,
    )
    if found.returncode == 0:
        return mutant.name, "SURVIVED", f"{seeds} seeds"
    lines = found.stdout.decode().split("\n")
    first = next((line for line in lines if "FAILED" in line), lines[0])
    return mutant.name, "found", first or f"exit code {found.returncode}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    everything = SESSION_MUTANTS + MUTANTS
    chosen = [m for m in everything if not options.names or m.name in options.names]
    survived = 0
    with tempfile.TemporaryDirectory() as directory:
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            jobs = [pool.submit(run, m, directory, options.seeds) for m in chosen]
            for job in jobs:
                name, verdict, detail = job.result()
                survived += verdict != "found"
                print(f"{name:55} {verdict:12} {detail}", flush=True)
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
