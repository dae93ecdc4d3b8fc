import unittest
from types import SimpleNamespace

from fulmarward_router.mesh import (
    LossReport,
    LostTargetReport,
    decode_message,
    encode_message,
)
from fulmarward_router.mesh._losses import (
    MAX_MESSAGES_PER_S,
    MAX_PER_MESSAGE,
    LossExchange,
)


def _make_loss(target):
    return LostTargetReport(target=target, for_ms=2000, age_ms=5, is_closed=True)


class LossExchangeTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.merged, self.sent, self.timers = [], [], []
        links = [SimpleNamespace(connection=name) for name in ("hub", "b", "c")]
        self.exchange = LossExchange(
            own=SimpleNamespace(name="own", boot=1),
            state=SimpleNamespace(
                merge_losses=lambda losses, **facts: self.merged.extend(losses),
                make_loss_reports=lambda targets: list(map(_make_loss, targets)),
            ),
            list_links=lambda: links,
            send=lambda connection, message: self.sent.append((connection, message)),
            send_time=lambda link: self.sent.append((link.connection, "time")),
            call_later=lambda delay_s, function: self.timers.append(function),
            read_clock=lambda: self.now,
        )

    def receive(self, *targets, origin="peer", sequence=1, delay_s=0.1):
        """Receive a report; return what is sent to the hub."""
        self.sent.clear()
        losses = tuple(map(_make_loss, targets))
        report = LossReport(origin=origin, boot=5, sequence=sequence, losses=losses)
        message = decode_message(encode_message(report))
        self.exchange.merge(message, delay_s=delay_s, received_on="b")
        return self.list_sent()

    def find(self, *targets):
        """Find losses here, and let their batch end; return what is sent to the hub."""
        self.sent.clear()
        for target in targets:
            self.exchange.notify(target)
        self.timers.pop()()
        self.assertEqual(self.timers, [], "one batch")
        return self.list_sent()

    def list_sent(self):
        return [
            [loss.target for loss in message.losses]
            for connection, message in self.sent
            if connection == "hub" and message != "time"
        ]

    def test_report_is_relayed_once_with_its_age(self):
        """Guards against reports that instances send each other without end."""
        self.assertEqual(self.receive("t", delay_s=float("inf")), [], "age unknown")
        self.assertEqual(self.merged, [])
        self.assertEqual(self.receive("t"), [["t"]])
        self.assertEqual([name for name, _ in self.sent], ["hub", "hub", "c", "c"])
        self.assertEqual(self.sent[0][1], "time")
        [loss] = self.sent[1][1].losses
        self.assertEqual((loss.for_ms, loss.age_ms), (1900, 105))
        self.assertEqual(self.receive("t"), [])
        self.assertEqual(self.receive("t", origin="other"), [], "known everywhere")
        self.assertEqual(self.receive("t", "u", origin="third"), [["u"]])
        self.now += 1.0
        self.assertEqual(self.receive("t", sequence=2), [["t"]])

    def test_messages_are_bounded_in_size_and_rate(self):
        """Guards against links that are full when a data centre is lost."""
        names = [f"target-{number:03}" for number in range(MAX_PER_MESSAGE + 1)]
        self.assertEqual(self.find(*names), [names[:-1], names[-1:]])
        self.assertLess(max(len(encode_message(m)) for _, m in self.sent[1::2]), 2048)
        sent = 2
        for number in range(2 * MAX_MESSAGES_PER_S):
            sent += len(self.find("t"))
            sent += len(self.receive(f"u{number}", sequence=number + 1))
        self.assertEqual(sent, MAX_MESSAGES_PER_S)
        self.assertEqual(len(self.merged), 2 * MAX_MESSAGES_PER_S)
        self.now += 1.0
        self.assertEqual(self.find("t"), [["t"]])
