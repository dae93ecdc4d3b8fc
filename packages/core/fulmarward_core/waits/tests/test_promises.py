import math
import unittest
from dataclasses import replace

from fulmarward_core.poison import compute_fingerprint
from fulmarward_core.waits import (
    MAX_OPEN_PROMISES,
    PromiseLedger,
    ReturnStatus,
    shorten_fingerprint,
)

_DIGEST = b"8 bytes."


def _promise(ledger, due_at, *, fingerprint=_DIGEST, urgency=0, kv=10.0, now=0.0):
    return ledger.promise(fingerprint, "s", urgency, kv, due_at=due_at, now=now)


class PromiseLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger, self.peer = PromiseLedger(source="a"), PromiseLedger(source="b")

    def find_status(self, now, ledger=None):
        return (ledger or self.ledger).find(_DIGEST, now=now).status

    def test_status_by_time(self):
        _promise(self.ledger, 2.0)
        cases = [
            (0.0, ReturnStatus.EARLY),
            (1.69, ReturnStatus.EARLY),
            (1.7, ReturnStatus.DUE),
            (5.0, ReturnStatus.DUE),
            (5.01, ReturnStatus.UNKNOWN),
        ]
        for now, expected in cases:
            with self.subTest(now=now):
                self.assertEqual(self.find_status(now), expected)
        self.assertEqual((self.ledger.counts.expired, len(self.ledger)), (1, 0))

    def test_equal_requests_have_a_promise_each(self):
        """Guards against a caller that uses up the promise of another one."""
        _promise(self.ledger, 2.0)
        _promise(self.ledger, 1.0)
        self.assertEqual(self.ledger.redeem(_DIGEST, 1.0).due_at, 1.0)
        self.assertEqual(self.find_status(1.0), ReturnStatus.EARLY)
        self.assertEqual(self.ledger.redeem(_DIGEST, 2.0).due_at, 2.0)
        self.assertIsNone(self.ledger.redeem(_DIGEST, 2.0))
        self.assertEqual((self.ledger.counts.made, self.ledger.counts.kept), (2, 2))

    def test_promise_that_is_not_needed_reserves_nothing(self):
        _promise(self.ledger, 2.0)
        self.ledger.redeem(_DIGEST, 0.5)
        counts = self.ledger.counts
        self.assertEqual((counts.kept, counts.unneeded), (0, 1))
        self.assertEqual(self.ledger.sum_kv("s", now=2.0, due_within_s=1.0), {})

    def test_sums_by_urgency_and_due_time(self):
        for due_at, urgency in [(1.0, 0), (1.2, 1), (1.3, 1), (4.0, 0)]:
            _promise(self.ledger, due_at, urgency=urgency)
        cases = [
            # now, seconds, sums
            (0.0, 0.5, {}),
            (1.0, 0.25, {0: 10.0, 1: 10.0}),
            (1.05, 0.3, {0: 10.0, 1: 20.0}),
            # Capacity is not held any more for the callers that gave up.
            (1.25, 0.3, {1: 20.0}),
            (1.7, 0.3, {}),
            (3.7, 0.3, {0: 10.0}),
        ]
        for now, due_within_s, expected in cases:
            found = self.ledger.sum_kv("s", now=now, due_within_s=due_within_s)
            with self.subTest(now=now):
                self.assertEqual(found, expected)
        promised = self.ledger.find_promised_before("s", at=9.0)
        self.assertEqual(promised, {0: 20.0, 1: 20.0})
        self.assertEqual(self.ledger.find_promised_before("other", at=9.0), {})

    def test_peers_promise_outlives_it_and_is_redeemed_once(self):
        """Guards against losing promises with their instance, and using them twice."""
        promise = _promise(self.peer, 1.0)
        third = PromiseLedger(source="c")
        for ledger in (self.ledger, third):
            self.assertEqual(ledger.merge([promise, promise], now=0.1), 1)
        redeemed = self.ledger.redeem(_DIGEST, 1.0)
        self.assertEqual(third.merge_redeemed([redeemed.key], now=1.1), 1)
        third.merge([promise], now=1.2)
        self.assertEqual(self.find_status(1.2, third), ReturnStatus.UNKNOWN)
        self.assertEqual(third.counts.expired, 0)

    def test_redemption_may_arrive_before_its_promise(self):
        promise = _promise(self.peer, 1.0)
        self.ledger.merge_redeemed([promise.key], now=0.5)
        self.assertEqual(self.ledger.merge([promise], now=0.6), 0)

    def test_promise_of_a_restarted_instance_is_another_one(self):
        old = _promise(self.peer, 1.0)
        new = _promise(PromiseLedger(source="b, restarted"), 2.0)
        self.assertEqual(self.ledger.merge([old, new], now=0.0), 2)

    def test_invalid_promises_are_ignored(self):
        promise = _promise(self.peer, 1.0)
        changes = [
            {"kv": math.nan},
            {"kv": math.inf},
            {"kv": -1.0},
            {"urgency": -1},
            {"due_at": math.nan},
            {"due_at": 7.0},
            {"due_at": -4.0},
            {"fingerprint": b"short"},
        ]
        for change in changes:
            with self.subTest(change):
                invalid = replace(promise, **change)
                self.assertEqual(self.ledger.merge([invalid], now=0.0), 0)

    def test_number_of_open_promises_is_bounded(self):
        for number in range(MAX_OPEN_PROMISES):
            _promise(self.ledger, 1.0, fingerprint=number.to_bytes(8))
        self.assertIsNone(_promise(self.ledger, 1.0))
        self.assertEqual(self.ledger.merge([_promise(self.peer, 1.0)], now=0.0), 0)
        self.assertEqual(self.ledger.counts.declined, 1)
        self.assertIsNotNone(_promise(self.ledger, 6.0, now=5.0), "the others expired")

    def test_fingerprints(self):
        found = shorten_fingerprint(compute_fingerprint("00ff00ff", b"body"))
        self.assertEqual(len(found), 8)
        with self.assertRaises(ValueError):
            shorten_fingerprint("no digest")
