"""An instance's decisions from heartbeats to targets, with an explicit clock."""

import asyncio
import json
from types import SimpleNamespace
from unittest import mock

from aiohttp.test_utils import make_mocked_request

from fulmarward_core.catalogue import KnownRow
from fulmarward_core.fleet import ServiceSpec, TargetRecord
from fulmarward_core.isolation import ContactTable
from fulmarward_core.quotas import RetryBudget
from fulmarward_core.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
    Team,
)
from fulmarward_router.exchange import (
    CallerHandler,
    PlainService,
    ServiceContext,
    StopGate,
)
from fulmarward_router.ports import AnswerFacts, CallerFacts, Row
from fulmarward_router.tests._coroutines import run_at_once
from fulmarward_router.tests._poison import make_crash_monitor, make_poison_knowledge
from fulmarward_router.tests._target_limits import (
    make_leaving_targets,
    make_target_limits,
)
from fulmarward_router.tests.test_instance_state import Peer

#: Seconds from an acknowledged change until requests must be handled by it.
CONFIGURATION_S = 3.0

#: Seconds after an acknowledged leaving in which a target still takes requests.
DRAIN_S = 3.0

_LIMITS = CallerLimits(header_bytes=9999, body_bytes=9999, header_s=1.0, idle_s=9.0)


def make_configuration_row(version):
    """Return version `version`: the route `/v<version>/` and the key `k<version>`."""
    return Row(key="config", value=str(version).encode(), version=version)


def _decode_configuration(row):
    yield
    version = int(row.value)
    routes = tuple(
        Route(
            name=prefix,
            host="",
            prefix=prefix,
            kind=RouteKind.IDEMPOTENT,
            timeout_s=5.0,
            objective_s=0.5,
            pause_s=0.1,
            priority=0,
            shares=(ServiceShare(service="plain", weight=1.0),),
            most_attempts=2,
            is_public=is_public,
            is_resumable=False,
        )
        for prefix, is_public in ((f"/v{version}/", True), ("/keyed/", False))
    )
    return RoutingConfiguration(
        version=version,
        routes={"": routes},
        services={"plain": ServiceSpec(name="plain", engine=None)},
        limits=_LIMITS,
        teams_by_key={f"k{version}": Team(name="team", priority=None)},
        requires_team_key=True,
    )


def make_target_row(name, version, *, is_leaving=False):
    """Return the row of a plain target as the store holds it."""
    value = json.dumps([name, is_leaving]).encode()
    return Row(key=name, value=value, version=version)


class _Dialect:
    """Formats of a target that runs every request."""

    def read_caller(self, headers):
        return CallerFacts(
            request_id="a",
            deadline_s=5.0,
            key=headers.get("X-Key"),
            last_event=None,
            prompt_tokens=0,
            max_answer_tokens=0,
            hinted_answer_tokens=None,
            relayed_by=None,
            runs_before=0,
            is_last_resort=False,
        )

    def read_answer(self, status, headers):
        return AnswerFacts(
            request_id="a",
            is_signed=True,
            is_not_run=False,
            address_at_fault=None,
            is_misdirected=False,
            is_plain=True,
        )

    def select_answer_headers(self, headers):
        return []


class _Client:
    """Delivers each request to its target at once."""

    def __init__(self):
        #: Names of the targets in the order in which requests reached them.
        self.reached = []

    async def open(self, state, call):
        self.reached.append(call.target)
        return mock.Mock(status=200, headers={})

    async def read_body(self, response):
        return b""


class RoutingPeer(Peer):
    """A `Peer` that also serves callers, by its real decisions."""

    def __init__(self, name, *, now=100.0):
        super().__init__(name, decode=_decode_configuration)
        self.now = now
        self.client = _Client()
        self.stop_gate = StopGate()
        budget = RetryBudget(ratio=0.2, slack=100.0, window_s=10.0)
        context = ServiceContext(
            poison=make_poison_knowledge(),
            target_limits=make_target_limits(),
            leaving_targets=make_leaving_targets(),
            client=self.client,
            dialect=_Dialect(),
            catalogue=self.catalogue,
            suspicions=self.suspicions,
            contacts=ContactTable(),
            paces=self.paces,
            ledger=self.ledger,
            find_budget=lambda service: budget,
            find_share=lambda: 1.0,
            is_large=lambda: False,
            instance=name,
            data_centre="a",
            read_clock=lambda: self.now,
            stop_gate=self.stop_gate,
        )
        self.handler = CallerHandler(
            dialect=context.dialect,
            configuration=self.configuration,
            engines=SimpleNamespace(),
            plain=PlainService(
                context=context,
                failure_detector=mock.Mock(),
                forwarder=mock.Mock(),
                relay=mock.Mock(is_needed=lambda state: False),
                crash_monitor=make_crash_monitor(context, mock.Mock()),
            ),
            find_budget=context.find_budget,
            read_clock=lambda: self.now,
            is_stopping=lambda: False,
            observe=lambda state, outcome, took_s: None,
            stop_gate=self.stop_gate,
        )

    @staticmethod
    def _decode_row(row, *, now):
        if row.value is None:
            return KnownRow(
                name=row.key,
                version=row.version,
                value=None,
                record=None,
                heard_at=now,
            )
        name, is_leaving = json.loads(row.value)
        record = TargetRecord(
            name=name,
            service="plain",
            address=f"{name}:1",
            data_centre="a",
            is_leaving=is_leaving,
            slots=8,
            remaining_warmup_s=0.0,
            started_ms=1,
            kind="",
            layers=None,
        )
        return KnownRow(
            name=row.key,
            version=row.version,
            value=row.value,
            record=record,
            heard_at=now,
        )

    def read_targets(self, rows, version):
        """Apply an answer of the store that is given and received now."""
        decoded = [self._decode_row(row, now=self.now) for row in rows]
        self.catalogue.apply_changes(decoded, version, now=self.now)

    def read_configuration(self, row):
        """Apply the store's row, confirmed now."""
        self.configuration.record_confirmation(at=self.now)
        run_at_once(self.configuration.apply_row(row, source="store"))

    def request(self, path, *, key=None):
        """Return the status of a caller's request, and the targets that it reached."""
        headers = {"Host": ""} if key is None else {"Host": "", "X-Key": key}
        reached = len(self.client.reached)
        request = make_mocked_request("POST", path, headers=headers)
        status = asyncio.run(self.handler.handle(request)).status
        return status, self.client.reached[reached:]
