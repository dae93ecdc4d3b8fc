import unittest
from types import SimpleNamespace

from fulmarward_router.mesh import PermitsGranted, TargetLimitReport
from fulmarward_router.mesh._limits import LimitExchange
from fulmarward_router.mesh._messages import LimitReport, PermitRequest

_LIMITED = TargetLimitReport(target="t", milli_per_s=1400, age_ms=0)


class _Limits:
    """The knowledge of an instance, which is the owner if `owner` is its name."""

    def __init__(self):
        self.owner = "own"
        self.merged, self.granted = [], []

    def make_reports(self):
        return ()

    def merge(self, reports, *, source, delay_s):
        self.merged.append((source, reports))

    def find_owner(self, target):
        return self.owner

    def grant(self, target, *, instance, number, milli_per_s):
        return PermitsGranted(number=number, count=1, wait_ms=0)

    def handle_granted(self, message):
        self.granted.append(message)


class LimitExchangeTest(unittest.TestCase):
    def setUp(self):
        self.limits = _Limits()
        self.sent = []
        self.exchange = LimitExchange(
            own=SimpleNamespace(name="own", boot=1),
            members=SimpleNamespace(
                find_address=lambda name: f"{name}:1",
                list_subscriptions=lambda now: ("hub:1",),
            ),
            limits=self.limits,
            list_links=lambda: [
                SimpleNamespace(connection=name, address=f"{name}:1")
                for name in ("hub", "b", "c")
            ],
            send=lambda connection, message: self.sent.append((connection, message)),
            read_clock=lambda: 0.0,
        )

    def receive(self, sequence, *, boot=5):
        self.sent.clear()
        report = LimitReport(
            origin="peer", boot=boot, sequence=sequence, limits=(_LIMITED,)
        )
        self.exchange.merge(report, delay_s=0.1, received_on="b")
        return [connection for connection, _ in self.sent]

    def test_report_is_relayed_once(self):
        """Guards against limits that instances send each other without end."""
        self.assertEqual(self.receive(1), ["hub", "c"])
        self.assertEqual(self.sent[0][1].limits[0].age_ms, 100)
        self.assertEqual(self.receive(1), [])
        self.assertEqual(self.receive(2), ["hub", "c"])
        self.assertEqual(self.receive(1), [])
        self.assertEqual(self.receive(1, boot=6), ["hub", "c"])
        self.assertEqual(self.receive(0), [])
        self.assertEqual(len(self.limits.merged), 4)

    def ask(self, *, is_relayed=False):
        request = PermitRequest(
            sender="peer",
            number=7,
            target="t",
            milli_per_s=1400,
            is_relayed=is_relayed,
        )
        self.exchange.handle_request(request, "b")

    def test_request_is_answered_by_the_owner(self):
        self.ask()
        answer = PermitsGranted(number=7, count=1, wait_ms=0)
        self.assertEqual(self.sent, [("b", answer)])

    def test_request_is_relayed_by_a_hub_once(self):
        """Guards against an instance without a link to the owner."""
        self.limits.owner = "c"
        self.ask()
        [(connection, relayed)] = self.sent
        self.assertEqual((connection, relayed.is_relayed), ("c", True))
        self.sent.clear()
        answer = PermitsGranted(number=relayed.number, count=2, wait_ms=0)
        self.exchange.handle_granted(answer)
        expected = PermitsGranted(number=7, count=2, wait_ms=0)
        self.assertEqual(self.sent, [("b", expected)])
        self.exchange.handle_granted(answer)
        self.assertEqual(self.limits.granted, [answer])

    def test_request_to_an_instance_that_is_not_the_owner_is_denied(self):
        """Guards against two instances that hand out permits of one target."""
        for owner, is_relayed in [("c", True), ("unknown", False), (None, False)]:
            self.sent.clear()
            self.limits.owner = owner
            self.ask(is_relayed=is_relayed)
            [(connection, answer)] = self.sent
            self.assertEqual((connection, answer.count), ("b", 0))
            self.assertGreater(answer.wait_ms, 0)

    def test_request_goes_to_a_hub_if_the_owner_is_not_linked(self):
        for owner, expected in [("c", "c"), ("far", "hub")]:
            self.sent.clear()
            number = self.exchange.request_permits(owner, target="t", milli_per_s=1400)
            [(connection, request)] = self.sent
            self.assertEqual((connection, request.number), (expected, number))
