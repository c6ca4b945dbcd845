"""What callers asked for, compared with what upstreams ran.

Callers note every statement before they send it. An upstream may run a statement
more than once, but only with its id, text, prepared statement, session values and
inside a transaction or not, as it was sent; and it may keep a write of a
transaction only if the caller has sent COMMIT.
"""

import collections
import typing

PLAIN = ""  # In place of a prepared statement.


class Sent(typing.NamedTuple):
    """A statement as a caller sent it, or as an upstream ran it."""

    text: str             # Of a prepared statement: what follows its name.
    prepared: str | None  # "READ SHAPE" or "WRITE SHAPE"; None: no such name.
    in_transaction: bool
    values: dict          # Session values.


class Transaction:
    """A caller's transaction, or a single write."""

    def __init__(self, is_committed):
        self.is_committed = is_committed  # Whether that was asked for.


class Asked:
    """Statements of all callers."""

    def __init__(self):
        self.statements = collections.defaultdict(list)  # By id.
        self.writes = {}  # Text as upstreams keep it: its transaction.

    def unasked(self, ran, kept):
        """What upstreams ran, and which writes they kept, though nobody asked."""
        problems = []
        for statement_id, *what in ran:
            statement, sent = Sent(*what), self.statements.get(statement_id)
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
        return problems


class Sender:
    """What one session has sent so far."""

    def __init__(self, asked):
        self.asked = asked
        self.names = {}   # Prepared statements: mode and shape, by name.
        self.values = {}
        self.transaction = None
        self.unanswered = 0

    def sends(self, statement_id, text):
        """Notes a statement that is about to be sent."""
        self.unanswered += 1
        word, _, rest = text.partition(" ")
        name, _, arguments = rest.partition(" ")
        if word == "BEGIN":
            self.transaction = Transaction(False)
        elif word == "SET":
            self.values[name] = arguments
        elif word == "PREPARE":
            self.names[name] = arguments
        elif word == "FORGET":
            self.names.pop(rest, None)
        elif word == "ROLLBACK":
            self.transaction = None
        elif word == "EXEC":
            self.note(statement_id, arguments, self.names.get(name))
        else:
            self.note(statement_id, text, PLAIN)

    def note(self, statement_id, text, prepared):
        """Notes a statement that an upstream runs."""
        if text == "COMMIT" and self.transaction:
            self.transaction.is_committed = True
        self.asked.statements[statement_id].append(
            Sent(text, prepared, self.transaction is not None, dict(self.values)))
        if (prepared or text).startswith("WRITE "):
            write = text if prepared == PLAIN else f"WRITE {text}"
            self.asked.writes[write] = self.transaction or Transaction(True)
        if text == "COMMIT":
            self.transaction = None

    def was_answered(self, state):
        """An answer came, with this state of the session."""
        self.unanswered -= 1
        if self.unanswered == 0 and state == "I":
            self.transaction = None
