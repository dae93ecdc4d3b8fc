"""Assembles an instance from its settings and runs it until it is stopped."""

import asyncio
import logging
import random
import signal
import ssl
import time
from collections.abc import Coroutine
from functools import partial

import aiohttp
from aiohttp import web

from fulmarward._instance import Instance
from fulmarward._lifecycle import Lifecycle
from fulmarward._secret_files import watch_secrets
from fulmarward._stop import fail_open_answers, list_open_answers
from fulmarward.callers import make_caller_app
from fulmarward.configuration import (
    answer_body,
    answer_head,
    run_adoption,
    run_readiness,
)
from fulmarward.health import (
    answer_leaving,
    answer_leaving_sync,
    answer_summaries,
    run_gossip,
    run_summaries,
    watch_drains,
)
from fulmarward.http import (
    BoundedAppRunner,
    ConnectionBudget,
    ResponseGuard,
    start_bounded,
)
from fulmarward.keys import (
    answer_forwarded_call,
    answer_forwarded_completion,
    answer_record,
    answer_takeover,
    answer_update,
    sweep_claims,
)
from fulmarward.membership import (
    announce_leaving,
    answer_members,
    answer_ping,
    answer_probe,
    answer_sync,
    run_membership,
)
from fulmarward.observability import (
    TraceHandler,
    count_frame,
    log_event,
    make_metrics,
    start_logging,
)
from fulmarward.operators import make_operator_app
from fulmarward.peers import (
    BodyRequest,
    ForwardCall,
    ForwardCompletion,
    HeadRequest,
    InFlightRequest,
    LeavingSync,
    LeavingUpdate,
    MembersRequest,
    OutcomesRequest,
    PeerHandlers,
    PeerLinks,
    Ping,
    ProbeRequest,
    RecordAttempt,
    ShareDemand,
    SummaryExchange,
    SyncMembers,
    TakeKey,
    UpdateKeyRecord,
    serve_peers,
)
from fulmarward.placement import answer_in_flight, answer_outcomes, run_placement
from fulmarward.platform import Platform
from fulmarward.requests import run_admission
from fulmarward.settings import InstanceSettings, Secrets
from fulmarward.shares import answer_demand, run_shares
from fulmarward.targets import follow_targets
from fulmarward_core.configuration import EMPTY_SNAPSHOT
from fulmarward_core.membership import (
    Member,
    MemberState,
    MemberTable,
    merge_member,
)

#: Maximum number of open connections to all targets together.
MAX_CONNECTIONS = 10_000

#: Seconds between two checks for open requests during a stop.
STOP_CHECK_INTERVAL_S = 0.05

#: Seconds for peers and callers to learn that this instance is leaving, before it
#: refuses new requests: a little more than one heartbeat interval.
LEAVING_NOTICE_S = 1.5

#: Seconds for which a closing server waits for its handlers before it cancels them, and
#: once more for their last word.
HANDLER_WAIT_S = 0.5


def _make_tls(settings: InstanceSettings) -> ssl.SSLContext | None:
    if settings.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls.certificate_file, settings.tls.key_file)
    return context


def _count_alive(table: MemberTable) -> int:
    """Return the number of live instances, including this one."""
    states = [member.state for member in table.members.values()]
    return states.count(MemberState.ALIVE)


def make_instance(
    settings: InstanceSettings,
    secrets: Secrets,
    session: aiohttp.ClientSession,
    traces: TraceHandler,
) -> Instance:
    """Return the state of a new instance; requires a running event loop."""
    member = Member(
        name=settings.name,
        boot=int(time.time() * 1000),
        version=1,
        state=MemberState.ALIVE,
        data_centre=settings.data_centre,
        peer_address=settings.peer_address,
        caller_address=settings.caller_address,
    )
    members = MemberTable(own_name=settings.name)
    merge_member(members, member, now=time.monotonic())
    platform = Platform(
        count_instances=lambda: _count_alive(members),
        session=session,
        address=settings.platform_address,
        token=secrets.platform_token,
        timeout_s=settings.limits.platform_ms / 1000,
    )
    return Instance(
        settings=settings,
        secrets=secrets,
        read_clock=time.monotonic,
        read_wall_clock=time.time,
        generator=random.Random(),
        session=session,
        platform=platform,
        metrics=make_metrics(),
        traces=traces,
        lifecycle=Lifecycle(),
        member=member,
        members=members,
        snapshot=EMPTY_SNAPSHOT,
        tls=_make_tls(settings),
    )


def _make_links(instance: Instance) -> PeerLinks:
    def count_bytes(direction: str, number: int) -> None:
        count_frame(instance.metrics, direction, number)

    return PeerLinks(
        read_own=lambda: instance.member,
        read_secrets=lambda: instance.secrets.peer_secrets,
        count_bytes=count_bytes,
    )


def _make_handlers(instance: Instance, links: PeerLinks) -> PeerHandlers:
    answers = {
        Ping: answer_ping,
        MembersRequest: answer_members,
        SyncMembers: answer_sync,
        ProbeRequest: partial(answer_probe, links),
        HeadRequest: answer_head,
        BodyRequest: answer_body,
        ShareDemand: answer_demand,
        LeavingUpdate: answer_leaving,
        LeavingSync: answer_leaving_sync,
        SummaryExchange: answer_summaries,
        OutcomesRequest: answer_outcomes,
        InFlightRequest: answer_in_flight,
        ForwardCompletion: answer_forwarded_completion,
        ForwardCall: answer_forwarded_call,
        RecordAttempt: answer_record,
        TakeKey: answer_takeover,
        UpdateKeyRecord: answer_update,
    }

    def bind(answer):  # noqa: ANN001, ANN202
        return lambda peer, message: answer(instance, peer, message)

    return {kind: bind(answer) for kind, answer in answers.items()}


async def _listen(
    instance: Instance, app: web.Application, address: str, budget: ConnectionBudget
) -> web.AppRunner:
    runner = BoundedAppRunner(app, budget=budget, shutdown_timeout=HANDLER_WAIT_S)
    await runner.setup()
    await start_bounded(runner, address, ssl_context=instance.tls)
    return runner


async def _stop_gracefully(instance: Instance, expedited: asyncio.Event) -> None:
    """Announce the stop, then wait for open requests until `stop_ms` has passed."""
    announce_leaving(instance)
    log_event("shutdown_started", open_requests=len(instance.answers))
    await _wait_unless_expedited(expedited, LEAVING_NOTICE_S)
    instance.lifecycle.begin_stop()
    deadline = instance.read_clock() + instance.settings.limits.stop_ms / 1000
    while list_open_answers(instance) and instance.read_clock() < deadline:
        if expedited.is_set():
            break
        await asyncio.sleep(STOP_CHECK_INTERVAL_S)
    cut_off = len(list_open_answers(instance))
    instance.lifecycle.finish_stop()
    await fail_open_answers(instance)
    log_event("instance_stopped", cut_off=cut_off)


async def _wait_unless_expedited(expedited: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await expedited.wait()
    except TimeoutError:
        return


async def run_daemon(settings: InstanceSettings, secrets: Secrets) -> bool:
    """Run an instance until SIGTERM, SIGINT or an operator's drain.

    A signal during the stop ends it without waiting for open requests. Returns whether
    the stop was requested, and not caused by a background task that failed.
    """
    traces = start_logging(instance=settings.name, level=settings.log_level)
    guard = ResponseGuard()
    connector_options = {"limit": MAX_CONNECTIONS}
    async with guard.make_session(connector_options=connector_options) as session:
        instance = make_instance(settings, secrets, session, traces)
        links = instance.links = _make_links(instance)
        stop, expedited = instance.stop_requested, asyncio.Event()
        _watch_signals(stop, expedited)
        server = await serve_peers(instance, _make_handlers(instance, links))
        budget = ConnectionBudget()
        runners = [
            await _listen(instance, app, address, budget)
            for app, address in (
                (make_caller_app(instance), settings.caller_address),
                (make_operator_app(instance), settings.operator_address),
            )
        ]
        log_event("instance_started", boot=instance.member.boot)
        tasks = [
            _start_task("membership", run_membership(instance, links), stop),
            _start_task("adoption", run_adoption(instance, links), stop),
            _start_task("targets", follow_targets(instance), stop),
            _start_task("gossip", run_gossip(instance, links), stop),
            _start_task("summaries", run_summaries(instance), stop),
            _start_task("drains", watch_drains(instance), stop),
            _start_task("secrets", watch_secrets(instance), stop),
            _start_task("placement", run_placement(instance, links), stop),
            _start_task("claims", sweep_claims(instance), stop),
            _start_task("readiness", run_readiness(instance, links), stop),
            _start_task("shares", run_shares(instance, links), stop),
            _start_task("admission", run_admission(instance), stop),
            _start_task("connections", budget.run(), stop),
        ]
        await stop.wait()
        await _stop_gracefully(instance, expedited)
        has_failed = any(task.done() and task.exception() for task in tasks)
        for task in [*tasks, *instance.tasks]:
            task.cancel()
        await asyncio.gather(*(runner.cleanup() for runner in runners))
        await links.close()
        server.close()
        await server.wait_closed()
        return not has_failed


def _start_task(
    name: str, coroutine: Coroutine[None, None, None], stop: asyncio.Event
) -> asyncio.Task:
    """Start a background task; if it fails, the whole instance stops.

    An instance that runs only part of its tasks would mislead peers and callers.
    """

    def handle_end(task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log_event(
                "background_task_failed",
                level=logging.CRITICAL,
                duty=name,
                exc_info=task.exception(),
            )
            stop.set()

    task = asyncio.create_task(coroutine, name=name)
    task.add_done_callback(handle_end)
    return task


def _watch_signals(stop: asyncio.Event, expedited: asyncio.Event) -> None:
    def handle_signal() -> None:
        if stop.is_set():
            expedited.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
