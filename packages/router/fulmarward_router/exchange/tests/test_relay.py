import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

import orjson

from fulmarward_core.isolation import ContactEvent, ContactTable, RelayPeer
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.results import ResultCode
from fulmarward_core.routes import RouteKind
from fulmarward_router.exchange import (
    CrashMonitor,
    PeerRelay,
    RequestState,
    ServiceContext,
)
from fulmarward_router.exchange._request_state import RejectedRequest
from fulmarward_router.exchange._send import AnswerLost, NotSent
from fulmarward_router.ports import AnswerFacts
from fulmarward_router.tests._poison import make_crash_monitor, make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)

_REJECTIONS = {
    code: orjson.dumps({"error": {"code": int(code)}})
    for code in (
        ResultCode.TARGET_UNREACHABLE,
        ResultCode.STOPPING,
        ResultCode.QUEUE_FULL,
    )
}


class _Dialect:
    def make_relay_headers(self, headers, **values):
        return [(name, str(value)) for name, value in values.items()]

    def read_answer(self, status, headers):
        return AnswerFacts(
            request_id="r1",
            is_signed=status == 200,
            is_not_run=False,
            address_at_fault=None,
            is_misdirected=False,
            is_plain=True,
        )

    def select_answer_headers(self, headers):
        return list(headers.items())


class _Client:
    """Peers that answer in turn, as listed: an exception, or a status and a body."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.asked = []

    async def open_relay(self, state, address, headers):
        self.asked.append((address, dict(headers)["is_last_resort"]))
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        status, self.body = outcome
        return mock.Mock(status=status, headers={"Retry-After": "3"})

    async def read_body(self, response):
        return self.body


class PlainRelayTest(unittest.IsolatedAsyncioTestCase):
    async def relay(
        self, outcomes, *, kind, relayed_by=None, peers=3, runs=0, is_certain=True
    ):
        """Relay a request; return its status or result code, and the peers asked."""
        self.client = _Client(outcomes)
        self.contacts = ContactTable()
        since = time.monotonic() - (60.0 if is_certain else 0.0)
        self.contacts.apply("plain", ContactEvent.NO_ANSWER, now=since)
        self.budget = RetryBudget(ratio=0.0, slack=10.0, window_s=10.0)
        context = ServiceContext(
            poison=make_poison_knowledge(),
            target_limits=make_target_limits(),
            leaving_targets=make_leaving_targets(),
            client=self.client,
            dialect=_Dialect(),
            catalogue=None,
            suspicions=None,
            contacts=self.contacts,
            paces=None,
            ledger=None,
            find_budget=lambda service: self.budget,
            find_share=lambda: 1.0,
            is_large=lambda: False,
            instance="one",
            data_centre="a",
            read_clock=time.monotonic,
        )
        monitor = mock.Mock()
        relay = PeerRelay(
            context=context,
            contact_monitor=monitor,
            forwarder=None,
            crash_monitor=make_crash_monitor(context, None),
            list_peers=lambda: [
                RelayPeer(name=f"p{n}", data_centre="a", address=f"p{n}:1")
                for n in range(peers)
            ],
            count_relay=mock.Mock(),
        )
        route = SimpleNamespace(
            kind=kind, most_attempts=3, may_retry=kind is RouteKind.IDEMPOTENT
        )
        now = time.monotonic()
        self.state = state = RequestState(
            request=mock.MagicMock(get=lambda name: None),
            headers={},
            body=b"",
            facts=SimpleNamespace(
                request_id="r1",
                relayed_by=relayed_by,
                is_last_resort=False,
                shared_parts=(),
            ),
            configuration=None,
            route=route,
            team=None,
            service="plain",
            urgency=0,
            class_urgency=0,
            arrived_at=now,
            deadline=now + 60.0,
            runs=runs,
        )
        try:
            answer = await relay.serve(state)
        except RejectedRequest as rejection:
            self.retry_after_s = rejection.retry_after_s
            self.cause = rejection.cause
            return rejection.code, len(self.client.asked)
        if answer is None:
            return None, len(self.client.asked)
        self.answer = answer
        return answer.status, len(self.client.asked)

    async def test_rejection_does_not_quote_the_failure_of_a_peer(self):
        """Guards against an address of a peer in the message for a caller."""
        for failure in (AnswerLost("192.0.2.7:1"), NotSent("192.0.2.7:1")):
            with self.subTest(failure):
                self.cause = None
                await self.relay([failure] * 3, kind=RouteKind.NON_IDEMPOTENT)
                self.assertNotIn("192.0.2.7", self.cause)

    def count_retries(self):
        return self.budget.count(share=1.0, now=time.monotonic()).used

    async def test_outcomes_at_peers(self):
        """Guards against a request that may run twice, or is lost without need."""
        once, again = RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT
        served = (200, b"whole")
        isolated = (503, _REJECTIONS[ResultCode.TARGET_UNREACHABLE])
        stopping = (503, _REJECTIONS[ResultCode.STOPPING])
        full = (503, _REJECTIONS[ResultCode.QUEUE_FULL])
        cases = [
            # kind, outcomes at the peers, result, peers asked, retries consumed
            (once, [served], 200, 1, 0),
            (once, [NotSent(""), served], 200, 2, 0),
            (once, [isolated, served], 200, 2, 0),
            (once, [stopping, served], 200, 2, 0),
            (once, [AnswerLost(""), served], ResultCode.OUTCOME_UNKNOWN, 1, 0),
            (again, [AnswerLost(""), served], 200, 2, 1),
            (again, [full, served], 503, 1, 0),
            (once, [isolated] * 3 + [served], 200, 4, 0),
            (once, [isolated] * 6, ResultCode.TARGET_UNREACHABLE, 6, 0),
            (once, [NotSent("")] * 3, ResultCode.TARGET_UNREACHABLE, 3, 0),
        ]
        for kind, outcomes, result, asked, retries in cases:
            with self.subTest(kind=kind, outcomes=outcomes):
                found = await self.relay(outcomes, kind=kind)
                self.assertEqual(found, (result, asked))
                self.assertEqual(self.count_retries(), retries)

    async def test_request_that_is_ended_at_a_peer_may_have_run(self):
        """Guards against a promise that a request has not run which a peer runs."""
        ended = mock.patch.object(
            _Client, "open_relay", side_effect=asyncio.CancelledError
        )
        with ended, self.assertRaises(asyncio.CancelledError):
            await self.relay([], kind=RouteKind.NON_IDEMPOTENT)
        self.assertEqual(self.state.runs, 1)

    async def test_request_that_became_blocked_is_not_sent_to_the_next_peer(self):
        """Guards against a request that crashes a target behind each peer."""
        blocked = RejectedRequest(ResultCode.REQUEST_CRASHED, cause="")
        with mock.patch.object(CrashMonitor, "check", side_effect=[None, blocked]):
            found = await self.relay(
                [AnswerLost(""), (200, b"whole")], kind=RouteKind.IDEMPOTENT
            )
        self.assertEqual(found, (ResultCode.REQUEST_CRASHED, 1))

    async def test_peer_that_rejected_is_asked_again_as_the_last_resort(self):
        """Guards against a peer in doubt that is asked before one that is not."""
        isolated = (503, _REJECTIONS[ResultCode.TARGET_UNREACHABLE])
        outcomes = [isolated, isolated, (200, b"whole")]
        await self.relay(outcomes, kind=RouteKind.IDEMPOTENT, peers=2)
        self.assertEqual(
            [last for _, last in self.client.asked], [*["False"] * 2, "True"]
        )

    async def test_rejection_of_a_peer_keeps_its_retry_delay(self):
        full = (503, _REJECTIONS[ResultCode.QUEUE_FULL])
        await self.relay([full], kind=RouteKind.IDEMPOTENT)
        self.assertEqual(self.answer.headers["Retry-After"], "3")

    async def test_relayed_request_is_not_relayed_again(self):
        """Guards against a request that goes round among isolated instances."""
        for runs in (0, 1):
            found = await self.relay(
                [], kind=RouteKind.IDEMPOTENT, relayed_by="two", runs=runs
            )
            self.assertEqual(found, (ResultCode.TARGET_UNREACHABLE, 0))
            self.assertGreater(self.retry_after_s, 0.0)

    async def test_targets_are_tried_until_it_is_certain_that_none_answers(self):
        """Guards against refusals everywhere when all targets are slow for a moment."""
        isolated = (503, _REJECTIONS[ResultCode.TARGET_UNREACHABLE])
        for outcomes, peers in (([], 0), ([isolated, NotSent(""), isolated], 2)):
            found = await self.relay(
                outcomes, kind=RouteKind.IDEMPOTENT, peers=peers, is_certain=False
            )
            self.assertEqual(found, (None, len(outcomes)))

    async def test_request_is_refused_at_once_without_peers(self):
        found = await self.relay([], kind=RouteKind.IDEMPOTENT, peers=0)
        self.assertEqual(found, (ResultCode.TARGET_UNREACHABLE, 0))
        self.assertGreater(self.retry_after_s, 0.0)
