import time
import unittest
from types import SimpleNamespace

from fulmarward_core.codec import MessageCodec
from fulmarward_core.poison import compute_fingerprint
from fulmarward_core.waits import MAX_OPEN_PROMISES, ReturnStatus
from fulmarward_router.mesh import (
    LossReport,
    MemberTable,
    Mesh,
    ReturnPromises,
    SupportsCompression,
    decode_message,
    encode_message,
    name_process,
)
from fulmarward_router.mesh._messages import MESSAGES
from fulmarward_router.mesh._promises import MAX_PER_MESSAGE, PromiseExchange
from fulmarward_router.mesh.tests.test_members import make_heartbeat
from fulmarward_router.state import PromisedReturns
from fulmarward_router.tests._poison import make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)


class _Fleet:
    """Instances that are all linked, and the messages between them."""

    def __init__(self, names):
        self.now = 100.0
        self.timers, self.sent = [], []
        self.lost = frozenset()
        self.returns, self.exchanges = {}, {}
        for name in names:
            self.start(name, boot=1)

    def start(self, name, *, boot):
        self.exchanges.pop(name, None)
        self.returns[name] = returns = PromisedReturns(
            source=name_process(name, boot),
            read_clock=lambda: self.now,
            notify_peers=lambda: self.exchanges[name].notify(),
        )
        self.exchanges[name] = PromiseExchange(
            own=SimpleNamespace(name=name, boot=boot),
            promises=returns,
            list_links=lambda: [
                SimpleNamespace(connection=peer)
                for peer in self.exchanges
                if peer != name
            ],
            send=lambda peer, message: self.send(name, peer, message),
            call_later=lambda delay_s, function: self.timers.append(
                (self.now + delay_s, function)
            ),
        )

    def send(self, sender, receiver, message):
        data = encode_message(message)
        self.sent.append((sender, receiver, data))
        if receiver not in self.lost:
            self.exchanges[receiver].merge(
                decode_message(data), delay_s=0.05, received_on=sender
            )

    def advance(self, seconds):
        self.now += seconds
        due = [function for at, function in self.timers if at <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for function in due:
            function()

    def promise(self, name, body=b"body", return_s=1.0):
        fingerprint = compute_fingerprint("0", body)
        return self.returns[name].promise(
            fingerprint, "s", 0, 10.5, return_s=return_s, request_id="r"
        )

    def find_status(self, name, body=b"body"):
        return self.returns[name].find(compute_fingerprint("0", body)).status

    def redeem(self, name, body=b"body"):
        fingerprint = compute_fingerprint("0", body)
        return self.returns[name].redeem(fingerprint, request_id="r")


class PromiseExchangeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = _Fleet(["a", "b", "c"])

    def list_statuses(self):
        return [self.fleet.find_status(name) for name in self.fleet.returns]

    def test_promise_is_known_and_redeemed_once_everywhere(self):
        """Guards against capacity that two instances give for one promise."""
        self.fleet.promise("a")
        self.fleet.advance(0.1)
        self.assertEqual(self.list_statuses(), [ReturnStatus.EARLY] * 3)
        self.fleet.advance(0.8)
        self.assertEqual(self.list_statuses(), [ReturnStatus.DUE] * 3)
        self.assertEqual(self.fleet.returns["c"].sum_kv("s", due_within_s=0.3), {0: 11})
        self.assertIsNotNone(self.fleet.redeem("b"))
        self.fleet.advance(0.1)
        self.assertEqual(self.list_statuses(), [ReturnStatus.UNKNOWN] * 3)
        # Two changes, each sent on two links and relayed on one by each receiver.
        self.assertEqual(len(self.fleet.sent), 8)

    def test_promise_outlives_its_instance(self):
        self.fleet.promise("a")
        self.fleet.advance(0.1)
        del self.fleet.exchanges["a"], self.fleet.returns["a"]
        self.fleet.advance(0.9)
        self.assertIsNotNone(self.fleet.redeem("c"))
        self.fleet.advance(0.1)
        self.assertEqual(self.list_statuses(), [ReturnStatus.UNKNOWN] * 2)

    def test_caller_whose_promise_was_lost_counts_as_new(self):
        self.fleet.lost = frozenset("c")
        self.fleet.promise("a")
        self.fleet.advance(1.0)
        self.assertEqual(self.fleet.find_status("c"), ReturnStatus.UNKNOWN)
        self.assertIsNone(self.fleet.redeem("c"))

    def test_restarted_instance_gets_the_promises_that_are_due_first(self):
        """Guards against a link that is filled with all promises of a large fleet."""
        for number in range(2 * MAX_PER_MESSAGE):
            body = number.to_bytes(2)
            self.fleet.promise("a", body, return_s=5.0 - number / 1000)
        self.fleet.promise("c")
        self.fleet.advance(0.1)
        self.fleet.start("c", boot=2)
        self.fleet.exchanges["b"].send_all("c")
        self.fleet.advance(0.9)
        found = self.fleet.returns["c"].make_reports(MAX_OPEN_PROMISES)
        self.assertEqual(len(found), MAX_PER_MESSAGE)
        self.assertEqual(self.fleet.find_status("c"), ReturnStatus.DUE)
        self.fleet.redeem("c")
        self.fleet.promise("c", b"new", return_s=2.0)
        self.fleet.advance(0.1)
        self.assertEqual(self.fleet.find_status("b"), ReturnStatus.UNKNOWN)
        self.assertEqual(self.fleet.find_status("b", b"new"), ReturnStatus.EARLY)

    def test_messages_are_batched_and_bounded(self):
        for number in range(1000):
            self.fleet.promise("a", number.to_bytes(2))
        self.assertEqual(self.fleet.sent, [])
        self.fleet.advance(0.1)
        sizes = [len(data) for name, peer, data in self.fleet.sent if peer == "b"]
        self.assertEqual(len(sizes), 4)
        self.assertLess(max(sizes), 10_000)


class OlderReleaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_older_release_ignores_the_message(self):
        """Guards against links that break during a rolling update."""
        start = {"origin": "a", "boot": 1, "sequence": 1}
        for message in (
            ReturnPromises(**start, promises=(), redeemed=()),
            LossReport(**start, losses=()),
        ):
            with self.subTest(type(message)):
                await self._send_to_older_release(message)

    async def _send_to_older_release(self, message):
        recorded = []
        own = make_heartbeat("own").sender
        number = MESSAGES.index(type(message))
        mesh = Mesh(
            poison=make_poison_knowledge(),
            limits=make_target_limits(),
            leaving=make_leaving_targets(),
            own=own,
            members=MemberTable(own=own),
            state=SimpleNamespace(record_supports_compression=recorded.append),
            read_clock=time.monotonic,
            count_bytes=lambda direction, size: None,
            decode=MessageCodec(messages=MESSAGES[:number]).decode,
        )
        later = SupportsCompression(sender="a", boot=1)

        async def receive():
            for item in (message, later):
                yield encode_message(item)

        await mesh.accept(receive())
        self.assertEqual(recorded, [later])
