"""The soak's check of what upstreams ran: each doctored list must be reported."""

import unittest

from soak.asked import Asked, Sender


def run_as(number, *statements, values=None):
    """Entries of the stand-in for plain statements, each as its id and text."""
    return [[i, text, "", number, values or {}, True] for i, text in statements]


class AskedTest(unittest.TestCase):
    """Callers that send ahead, and what upstreams say."""

    def setUp(self):
        self.asked = Asked()
        self.first, self.second = Sender(self.asked), Sender(self.asked)

    def send(self, sender, *statements):
        """Sends statements, each as its id and text."""
        for statement_id, text in statements:
            sender.sends(statement_id, text)

    def send_transaction(self, sender, prefix):
        """Sends a transaction; returns what of it an upstream runs."""
        statements = [(f"{prefix}1", "READ x"), (f"{prefix}2", f"WRITE {prefix} 2"),
                      (f"{prefix}3", "COMMIT")]
        self.send(sender, (f"{prefix}0", "BEGIN"), *statements)
        return statements

    def expect(self, start, ran, kept=()):
        """Expects a problem that starts like this, or none."""
        problems = self.asked.unasked(ran, kept)
        if start:
            self.assertTrue([p for p in problems if p.startswith(start)], problems)
        else:
            self.assertEqual(problems, [])

    def test_as_sent(self):
        """First statements, reads outside transactions and refused writes repeat."""
        a = self.send_transaction(self.first, "a")
        self.send(self.second, ("w", "WRITE w 1"), ("r", "READ x"))
        refused = run_as(0, ("w", "WRITE w 1"))
        refused[0][-1] = False
        self.expect("", [*run_as(1, a[0]), *run_as(2, *a), *run_as(3, a[0]), *refused,
                         *run_as(0, ("w", "WRITE w 1"), ("r", "READ x"), ("r", "READ x"))],
                    ["WRITE a 2", "WRITE w 1"])

    def test_commit_of_another_transaction(self):
        """The COMMIT of one caller ends the transaction of another."""
        a, b = self.send_transaction(self.first, "a"), self.send_transaction(self.second, "b")
        self.expect("mixed", run_as(1, a[0], a[1], b[2]))

    def test_commit_of_a_later_transaction(self):
        """The COMMIT of a caller's next transaction ends its last one."""
        a, b = self.send_transaction(self.first, "a"), self.send_transaction(self.first, "b")
        self.expect("mixed", run_as(1, a[0], a[1], b[2]))

    def test_transactions_joined(self):
        """Two callers' statements are in one transaction."""
        a, b = self.send_transaction(self.first, "a"), self.send_transaction(self.second, "b")
        self.expect("mixed", run_as(1, a[0], b[0]))

    def test_order(self):
        """A transaction runs in another order."""
        a = self.send_transaction(self.first, "a")
        self.expect("mixed", run_as(1, a[1], a[0], a[2]))

    def test_part_committed(self):
        """A transaction is committed without one of its statements."""
        a = self.send_transaction(self.first, "a")
        self.expect("mixed", run_as(1, a[0], a[2]))

    def test_statement_repeated(self):
        """A statement runs twice in one transaction."""
        a = self.send_transaction(self.first, "a")
        self.expect("mixed", run_as(1, a[0], a[1], a[1], a[2]))

    def test_transaction_repeated(self):
        """A transaction runs twice, the first time not to its end."""
        a = self.send_transaction(self.first, "a")
        self.expect("twice", [*run_as(1, *a[:2]), *run_as(2, *a)])

    def test_write_repeated(self):
        """A write takes effect twice."""
        self.send(self.first, ("w", "WRITE w 1"))
        self.expect("twice", 2 * run_as(0, ("w", "WRITE w 1")))

    def test_commit_behind_malformed(self):
        """The rest of a transaction is committed without a malformed statement."""
        self.send(self.first, ("0", "BEGIN"), ("1", "WRITE x 1"), ("2", "WRITE"),
                  ("3", "COMMIT"))
        self.expect("mixed", run_as(1, ("1", "WRITE x 1"), ("3", "COMMIT")))
        self.expect("unasked", [], ["WRITE x 1"])

    def test_behind_refused_prepare(self):
        """EXEC runs the statement that was prepared before."""
        for text in ("PREPARE s READ ", "PREPARE s", "PREPARE", "FORGET", "FORGET s x"):
            self.send(self.first, ("1", "PREPARE s WRITE q"), ("2", text), ("3", "EXEC s x 1"))
            ran = [["3", "x 1", "WRITE q", 0, {}, True]]
            self.expect("unasked", ran)
            self.send(self.first, ("4", "PREPARE s WRITE q"), ("3", "EXEC s x 1"))
            self.expect("", ran)
            self.asked.statements.clear()

    def test_behind_refused_set(self):
        """Statements run with the values that were set before."""
        for text in ("SET u", "SET u ", "SET"):
            self.send(self.first, ("1", "SET u 1"), ("2", text), ("3", "WRITE x 1"))
            ran = run_as(0, ("3", "WRITE x 1"), values={"u": "1"})
            is_value = text == "SET u "  # An empty one.
            self.expect("unasked", ran, [])
            self.expect("" if is_value else "unasked", [], ["WRITE x 1"])
            self.send(self.first, ("4", "SET u 1"), ("3", "WRITE x 1"))
            self.expect("unasked" if text == "SET" else "", ran, ["WRITE x 1"])
            self.asked.statements.clear()

    def test_behind_refused_begin(self):
        """A statement runs alone, and a set-up that a failed transaction refuses counts."""
        self.send(self.first, ("1", "SET u 1"), ("2", "BEGIN now"), ("3", "WRITE x 1"),
                  ("4", "SET u 2"), ("5", "ROLLBACK"), ("6", "READ x"))
        self.expect("unasked", run_as(0, ("3", "WRITE x 1"), values={"u": "1"}))
        for value in "12":
            self.expect("unasked", run_as(0, ("6", "READ x"), values={"u": value}))


if __name__ == "__main__":
    unittest.main()
