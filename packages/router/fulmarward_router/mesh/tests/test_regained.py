import unittest
from types import SimpleNamespace

from fulmarward_router.mesh import (
    RegainedTargetReport,
    decode_message,
    encode_message,
)
from fulmarward_router.mesh._messages import RegainedReport
from fulmarward_router.mesh._regained import RegainedExchange


class RegainedExchangeTest(unittest.TestCase):
    def setUp(self):
        self.merged, self.sent = [], []
        self.exchange = RegainedExchange(
            own=SimpleNamespace(name="own", boot=1),
            state=SimpleNamespace(merge_regained=self.merge),
            list_links=lambda: [
                SimpleNamespace(connection=name) for name in ("hub", "b", "c")
            ],
            send=lambda connection, message: self.sent.append((connection, message)),
        )

    def merge(self, reports, *, source, delay_s):
        self.merged.append((reports, source, delay_s))

    def receive(self, sequence):
        self.sent.clear()
        report = RegainedReport(
            origin="peer",
            boot=5,
            sequence=sequence,
            targets=(RegainedTargetReport(target="t", age_ms=30),),
        )
        message = decode_message(encode_message(report))
        self.exchange.merge(message, delay_s=0.1, received_on="b")
        return [connection for connection, _ in self.sent]

    def test_report_is_relayed_once_with_its_age(self):
        """Guards against reports that instances send each other without end."""
        self.assertEqual(self.receive(1), ["hub", "c"])
        self.assertEqual(self.sent[0][1].targets[0].age_ms, 130)
        self.assertEqual(self.receive(1), [])
        self.assertEqual(self.receive(2), ["hub", "c"])
        self.assertEqual(len(self.merged), 2)

    def test_own_report_is_sent_to_all_and_ignored_when_it_returns(self):
        self.exchange.notify([RegainedTargetReport(target="t", age_ms=0)])
        self.assertEqual([name for name, _ in self.sent], ["hub", "b", "c"])
        own = self.sent[0][1]
        self.sent.clear()
        self.exchange.merge(own, delay_s=0.0, received_on="hub")
        self.assertEqual((self.sent, self.merged), ([], []))
