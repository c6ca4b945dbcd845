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
TEST = "fireflycart/standins/testing/fireflycart_random_test"


@dataclass(frozen=True)
class Mutant:
    """One mechanism, and the change that takes it out."""

    name: str
    file: str
    before: str
    after: str


MUTANTS = [
    Mutant(
        "acknowledge at the primary",
        "group_replies.cc",
        "Position held = view_.AckPosition(term_);",
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
        "view_.AckPosition(term_) >= takeover_.first_entry();",
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
        "if (is_write) call.key = work->request.key;",
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
        "config_keeper.cc",
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
        "entry_router.cc",
        "if (sent && !IsHarmless(request)) pending.maybe_run = true;",
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
        "predecessor_ && takeover_.inherited_term() == predecessor_->term;",
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
        "next_takeover_ = context_->now() + context_->Jitter(overtaken_pause_);",
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
    made = subprocess.run(
        ["cmake", "--build", build, "-j", "2", "--target", "fireflycart_random_test",
         "fireflycart_failure_test", "fireflycart_core_test"],
        capture_output=True,
        check=False,
    )
    if made.returncode != 0:
        return mutant.name, "not built", made.stdout.decode()[-300:]
    for name in ("core/testing/fireflycart_core_test",
                 "standins/testing/fireflycart_failure_test"):
        focused = subprocess.run(
            [os.path.join(build, "fireflycart", name)], capture_output=True, check=False
        )
        if focused.returncode != 0:
            names = re.findall(r"Test name: .*::(\w+)", focused.stderr.decode())
            return mutant.name, "found", "test " + ", ".join(names[:2])
    found = subprocess.run(
        [os.path.join(build, TEST), "--seed=1", f"--runs={seeds}", "--stop_at_failure"],
        capture_output=True,
        check=False,
    )
    first = found.stdout.decode().split("\n")[0]
    if found.returncode == 0:
        return mutant.name, "SURVIVED", f"{seeds} seeds"
    return mutant.name, "found", first or f"exit code {found.returncode}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    chosen = [m for m in MUTANTS if not options.names or m.name in options.names]
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
