"""What callers asked for, compared with what upstreams ran.

Callers note every statement before they send it. An upstream may run a statement
only with its id, text, prepared statement, session values and inside a transaction
or not, as it was sent; and it may keep a write of a transaction only if the caller
has sent COMMIT. What depends on a statement that was refused does not run.

A transaction at an upstream consists of the first statements of one caller's
transaction, in order; if it was committed, of all of them. Repeats that the proxy
may make: reads outside transactions, writes that an upstream refused, and the
first statement of a transaction, elsewhere, where it is never committed.
"""

import collections
import re
import typing

PLAIN = ""  # In place of a prepared statement.
WELL_FORMED = re.compile(
    "BEGIN( READ)?|COMMIT|ROLLBACK|READ .+|WRITE .+|SET [^ ]+ .*|FORGET [^ ]+|"
    "PREPARE [^ ]+ (READ|WRITE) .+|EXEC [^ ]+ .+")


class Sent(typing.NamedTuple):
    """A statement as a caller sent it, or as an upstream ran it."""

    text: str             # Of a prepared statement: what follows its name.
    prepared: str | None  # "READ SHAPE" or "WRITE SHAPE"; None: no such name.
    in_transaction: bool
    values: dict          # Session values; None: refused, so it must not run.


class Transaction:
    """A caller's transaction, or a single write."""

    def __init__(self, is_committed):
        self.is_committed = is_committed  # Whether that was asked for.
        self.is_broken = False  # A statement in it was malformed.
        self.ids = []           # Of its statements that an upstream has to run.


class Asked:
    """Statements of all callers."""

    def __init__(self):
        self.statements = collections.defaultdict(list)  # By id.
        self.transactions = {}  # By the ids of their statements.
        self.writes = {}  # Text as upstreams keep it: its transaction.

    def unasked(self, ran, kept):
        """What upstreams ran, and which writes they kept, though nobody asked."""
        problems = []
        at_upstreams = collections.defaultdict(list)  # Transactions by number.
        done = collections.Counter()  # Writes outside transactions, by id.
        for statement_id, text, prepared, number, values, is_done in ran:
            statement = Sent(text, prepared, number != 0, values)
            sent = self.statements.get(statement_id)
            if number:
                is_commit = is_done and prepared == PLAIN and text == "COMMIT"
                at_upstreams[number].append((statement_id, is_commit))
            elif is_done and (prepared or text).startswith("WRITE "):
                done[statement_id] += 1
            if sent is None:
                problems.append(f"unasked: {statement_id} {statement}, no caller sent this id")
            elif statement not in sent:
                fields = [name for name in Sent._fields
                          if getattr(statement, name) != getattr(sent[0], name)]
                problems.append(f"unasked: {statement_id} ran with other "
                                f"{' '.join(fields)}: {statement}, sent {sent[0]}")
        for text in kept:
            if text not in self.writes:
                problems.append(f"unasked: {text} was kept, no caller sent it")
            elif not self.writes[text].is_committed:
                problems.append(f"unasked: {text} was committed, no caller sent COMMIT")
        problems += [f"twice: {statement_id} took effect {count} times"
                     for statement_id, count in done.items()
                     if count > len(self.statements.get(statement_id, [])) > 0]
        return problems + self.mixed(at_upstreams)

    def mixed(self, at_upstreams):
        """Transactions at upstreams that are not one caller's."""
        problems, numbers = [], {}
        for number, ran in at_upstreams.items():
            ids = [statement_id for statement_id, _ in ran]
            transaction = self.transactions.get(ids[0], Transaction(False))
            sent = transaction.ids
            if ids != sent[:len(ids)]:
                problems.append(f"mixed: transaction {number} ran {ids}, sent {sent}")
            elif ran[-1][1] and ids != sent:
                problems.append(f"mixed: transaction {number} committed {ids}, sent {sent}")
            if len(ids) > 1 and numbers.setdefault(transaction, number) != number:
                problems.append(f"twice: {sent} ran in transactions "
                                f"{numbers[transaction]} and {number}")
        return problems


class Sender:
    """What one session has sent so far."""

    def __init__(self, asked):
        self.asked = asked
        self.names = {}   # Prepared statements: mode and shape, by name; None: refused.
        self.values = {}  # None: refused; under "" if it is not known which.
        self.transaction = None
        self.unanswered = 0

    def sends(self, statement_id, text):
        """Notes a statement that is about to be sent."""
        self.unanswered += 1
        word, _, rest = text.partition(" ")
        name, _, arguments = rest.partition(" ")
        is_broken = self.transaction is not None and self.transaction.is_broken
        is_well_formed = WELL_FORMED.fullmatch(text) is not None
        if not is_well_formed:
            self.break_transaction(statement_id, word)
        if not is_well_formed or (is_broken and text not in ("COMMIT", "ROLLBACK")):
            self.void(word, name if is_well_formed or word in ("SET", "PREPARE") else "")
        if not is_well_formed:
            return
        if word == "BEGIN":
            self.transaction = self.transaction if is_broken else Transaction(False)
        elif word == "ROLLBACK":
            self.transaction = None
        elif word == "EXEC":
            self.note(statement_id, arguments, self.names.get(name))
        elif word in ("READ", "WRITE", "COMMIT"):
            self.note(statement_id, text, PLAIN)
        elif is_broken:
            return
        elif word == "SET":
            self.values[name] = arguments
        elif word == "PREPARE":
            self.names[name] = arguments
        else:
            self.names.pop(name, None)

    def break_transaction(self, statement_id, word):
        """A malformed statement fails the transaction that it is in or was to begin."""
        if self.transaction is None and word.upper() == "BEGIN":
            self.transaction = Transaction(False)
        if self.transaction:
            self.transaction.is_broken = True
            self.transaction.ids.append(statement_id)

    def void(self, word, name):
        """After a refused set-up, what was in force before is not what callers mean."""
        if word.upper() == "SET":
            self.values[name] = None
        elif word.upper() in ("PREPARE", "FORGET"):
            for voided in [name] if name else list(self.names):
                self.names[voided] = None

    def note(self, statement_id, text, prepared):
        """Notes a statement that an upstream runs."""
        is_commit = prepared == PLAIN and text == "COMMIT"
        if self.transaction:
            if is_commit:
                self.transaction.is_committed = not self.transaction.is_broken
            self.transaction.ids.append(statement_id)
            self.asked.transactions[statement_id] = self.transaction
        self.asked.statements[statement_id].append(
            Sent(text, prepared, self.transaction is not None, dict(self.values)))
        if (prepared or text).startswith("WRITE "):
            write = text if prepared == PLAIN else f"WRITE {text}"
            may_run = None not in self.values.values()
            self.asked.writes[write] = self.transaction or Transaction(may_run)
        if is_commit:
            self.transaction = None

    def was_answered(self, state):
        """An answer came, with this state of the session."""
        self.unanswered -= 1
        if self.unanswered == 0 and state == "I":
            self.transaction = None
