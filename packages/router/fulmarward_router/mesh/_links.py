"""Dials and accepts the links to other instances and dispatches their messages."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection, broadcast
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException
from websockets.frames import CloseCode
from websockets.protocol import State

from fulmarward.http import ACCEPTED_PER_TURN, WAITING_CONNECTIONS, listen_bounded
from fulmarward.observability import log_event
from fulmarward_core.codec import InvalidMessageError, OversizedMessageError
from fulmarward_core.spread import DEFER_DURATION_S
from fulmarward_core.transit import TransitClock
from fulmarward_router._supervision import log_failure
from fulmarward_router.mesh._accepted_connection import (
    HANDSHAKE_TIMEOUT_S,
    AcceptedConnection,
)
from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._eras import remove_eras
from fulmarward_router.mesh._heartbeats import (
    HeartbeatSender,
    PeerLink,
    make_send_time,
)
from fulmarward_router.mesh._leaving import LeavingExchange
from fulmarward_router.mesh._limits import LimitExchange
from fulmarward_router.mesh._loans import LoanExchange, NoLoans
from fulmarward_router.mesh._losses import LossExchange
from fulmarward_router.mesh._members import HEARTBEAT_INTERVAL_S, MemberTable
from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    DemandReport,
    FetchInstances,
    FetchLimits,
    FetchPoison,
    FetchTargets,
    FleetLoads,
    FleetReport,
    Heartbeat,
    InstanceIdentity,
    Introduction,
    LeavingReport,
    LeavingTargetReport,
    LimitReport,
    LoadUpdate,
    LossReport,
    PatternReport,
    PermitRequest,
    PermitsGranted,
    PoisonReport,
    PoisonSnapshot,
    RegainedReport,
    RegainedTargetReport,
    RetryLoanAnswer,
    RetryLoanRequest,
    ReturnPromises,
    SendTime,
    Subscription,
    SupportsCompression,
    SupportsSendTimes,
    SupportsStoreEras,
    TargetChanges,
    TargetLimitReport,
    TeamReport,
)
from fulmarward_router.mesh._promises import NoPromises, PromiseExchange
from fulmarward_router.mesh._regained import RegainedExchange
from fulmarward_router.mesh._state import (
    Fetch,
    LeavingSource,
    LimitSource,
    LoanSource,
    MeshState,
    PoisonSource,
    PromiseSource,
    Revisions,
)

#: Seconds in which a link must open, and in which a message must be sent.
OPEN_TIMEOUT_S = 0.6
SEND_TIMEOUT_S = 1.0

#: Seconds between pings of a link that a peer dialled. Missing heartbeats reveal a
#: silent peer long before.
ACCEPTED_PING_INTERVAL_S = 20.0

#: Seconds between two fetches of the list of instances.
FETCH_INSTANCES_INTERVAL_S = 0.5

#: Seconds after which a link that is not wanted is closed. A seed introduces the other
#: instances on such a link.
UNWANTED_DURATION_S = 1.0

#: Seconds before a failed link is dialled again; doubled up to the maximum.
RETRY_S = 0.2
MAX_RETRY_INTERVAL_S = 2.0

#: Seconds after its start before an instance may be a hub, as it knows no others yet.
HUB_DELAY_S = 1.0

#: How often a seed is dialled while no instance is known at its address.
SEED_ATTEMPTS = 5

#: Seconds in transit from which on a peer's messages are logged as late.
LOGGED_DELAY_S = 0.25

MAX_MESSAGE_BYTES = 4 << 20


@dataclass(kw_only=True, eq=False)
class _LinkReceiver:
    """The state of the receiving side of a link."""

    connection: Connection
    #: Whether the peer dialled the link.
    is_accepted: bool
    #: Names of the instances that sent heartbeats.
    senders: set[str] = field(default_factory=set)
    #: Whether the peer has sent a `Subscription`.
    subscribes: bool = False
    #: Measures the transit of the peer's messages; `None` unless it sends `SendTime`.
    transit: TransitClock | None = None
    #: When the latest messages were sent at the earliest, in seconds on the clock here;
    #: `None` if the peer does not send `SendTime`.
    sent_at: float | None = None
    #: Whether the peer reads and sends versions that name eras of the store.
    supports_eras: bool = False
    #: Whether these messages were logged as late.
    is_late: bool = False
    #: The sending side of a dialled link, or of one to a subscriber.
    link: PeerLink | None = None

    def find_delay_s(self, *, now: float) -> float:
        """Return for how many seconds at most a message was on its way until now."""
        return 0.0 if self.sent_at is None else now - self.sent_at

    def find_heard_at(self, *, now: float) -> float:
        """Return when the peer was certainly alive; now if the transit is unknown."""
        delay_s = self.find_delay_s(now=now)
        return now if delay_s == float("inf") else now - delay_s


def _call_later(delay_s: float, function: Callable[[], None]) -> None:
    """Call a function of the running event loop after some seconds."""
    asyncio.get_running_loop().call_later(delay_s, function)


async def _run_once(duty: str, begin: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the coroutine that `begin` makes; an error ends it."""
    await begin()


class Mesh:
    """The links that this instance dials and accepts, with one task for each."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        state: MeshState,
        poison: PoisonSource,
        limits: LimitSource,
        leaving: LeavingSource,
        read_clock: Callable[[], float],
        count_bytes: Callable[[str, int], None],
        count_message: Callable[[str], None] = lambda kind: None,
        promises: PromiseSource | None = None,
        loans: LoanSource | None = None,
        decode: Callable[[bytes], object] = decode_message,
        encode: Callable[[object], bytes] = encode_message,
        supervise: Callable[
            [str, Callable[[], Coroutine[Any, Any, None]]], Coroutine[Any, Any, None]
        ] = _run_once,
        record_failure: Callable[..., object] = log_failure,
    ) -> None:
        #: Records an unforeseen error in a duty.
        self._record_failure = record_failure
        self._own = own
        #: Keeps the coroutines of a named duty running.
        self._supervise = supervise
        self._members = members
        self._state = state
        self._poison = poison
        self._read_clock = read_clock
        self._count_bytes = count_bytes
        #: Counts a received message, by the name of its type.
        self._count_message = count_message
        self._decode = decode
        self._encode = encode
        self._sender = HeartbeatSender(
            data_centre=own.data_centre,
            members=members,
            state=state,
            encode=encode,
            read_clock=read_clock,
            count_bytes=count_bytes,
            record_failure=record_failure,
        )
        self._limits = LimitExchange(
            own=own,
            members=members,
            limits=limits,
            list_links=self._sender.list_links,
            send=self._send_nowait,
            read_clock=read_clock,
        )
        self._leaving = LeavingExchange(
            own=own,
            leaving=leaving,
            list_links=self._sender.list_links,
            send=self._send_nowait,
        )
        self._regained = RegainedExchange(
            own=own,
            state=state,
            list_links=self._sender.list_links,
            send=self._send_nowait,
        )
        self._losses = LossExchange(
            own=own,
            state=state,
            list_links=self._sender.list_links,
            send=self._send_nowait,
            send_time=self._send_time_nowait,
            call_later=_call_later,
            read_clock=read_clock,
        )
        self._promises = PromiseExchange(
            own=own,
            promises=NoPromises() if promises is None else promises,
            list_links=self._sender.list_links,
            send=self._send_nowait,
            call_later=_call_later,
        )
        self._loans = LoanExchange(
            loans=NoLoans() if loans is None else loans,
            list_links=self._sender.list_links,
            is_hub=lambda: self._sender.is_hub,
            send=self._send_nowait,
        )
        self._dial_tasks: dict[str, asyncio.Task] = {}
        #: Tasks that repeat deferred fetches.
        self._repeat_tasks: set[asyncio.Task] = set()
        #: Tasks that close links.
        self._closing_tasks: set[asyncio.Task] = set()
        #: Peer addresses to maintain links to.
        self._wanted: frozenset[str] = frozenset()
        #: Since when each open link has not been wanted.
        self._unwanted_since: dict[str, float] = {}
        #: Start time in ms since 1970 of each instance that sends `SendTime`, and the
        #: transit of messages on all its links. Never evicted: one entry per instance
        #: ever linked.
        self._transits: dict[str, tuple[int, TransitClock]] = {}
        #: Handlers by type of message.
        self._handlers: dict[type, Callable[..., Awaitable[None]]] = {
            Introduction: self._handle_introduction,
            Heartbeat: self._handle_heartbeat,
            FleetReport: self._handle_fleet_report,
            FleetLoads: self._handle_fleet_loads,
            LoadUpdate: self._handle_load_update,
            DemandReport: self._handle_demand_report,
            Subscription: self._handle_subscription,
            FetchInstances: self._handle_fetch_instances,
            DataCentreReport: self._handle_data_centre_report,
            CompressedConfiguration: self._handle_compressed_configuration,
            ConfigurationSnapshot: self._handle_snapshot,
            TargetChanges: self._handle_snapshot,
            SupportsCompression: self._handle_supports_compression,
            SupportsSendTimes: self._handle_supports_send_times,
            SendTime: self._handle_send_time,
            ConfigurationDeferred: self._handle_deferred,
            ConfigurationReceived: self._handle_received,
            PoisonReport: self._handle_poison_report,
            FetchPoison: self._handle_fetch_poison,
            PoisonSnapshot: self._handle_poison_snapshot,
            LimitReport: self._handle_limit_report,
            FetchLimits: self._handle_fetch_limits,
            PermitRequest: self._handle_permit_request,
            PermitsGranted: self._handle_permits_granted,
            LeavingReport: self._handle_leaving_report,
            RegainedReport: self._handle_regained_report,
            LossReport: self._handle_loss_report,
            SupportsStoreEras: self._handle_supports_store_eras,
            ReturnPromises: self._handle_return_promises,
            TeamReport: self._handle_team_report,
            RetryLoanRequest: self._handle_retry_loan_request,
            RetryLoanAnswer: self._handle_retry_loan_answer,
        }
        self._fetched_instances_at = float("-inf")
        self._started_at = read_clock()

    def notify(self) -> None:
        """Send heartbeats now, to report an urgent change."""
        self._sender.notify()

    def notify_loads(self) -> None:
        """Send the loads soon, as some have changed."""
        self._sender.notify_loads()

    def notify_poison(self, patterns: Sequence[str]) -> None:
        """Send the records of crashes under these patterns to all peers."""
        self._relay_poison(patterns, except_to=None)

    def notify_limits(self, reports: Sequence[TargetLimitReport]) -> None:
        """Send limits that changed here to all instances."""
        self._limits.notify(reports)

    def notify_leaving(self, reports: Sequence[LeavingTargetReport]) -> None:
        """Send to all instances which targets said here that they leave."""
        self._leaving.notify(reports)

    def notify_regained(self, reports: Sequence[RegainedTargetReport]) -> None:
        """Send to all instances which silent targets answer again."""
        self._regained.notify(reports)

    def notify_lost(self, target: str) -> None:
        """Send to all instances soon that a target was found unreachable here."""
        self._losses.notify(target)

    def notify_promises(self) -> None:
        """Send soon which promises were made or redeemed here."""
        self._promises.notify()

    def notify_kept(self) -> None:
        """Send which targets stay as known here although the store's copy differs."""
        kept = self._state.make_kept_changes()
        for link in self._sender.list_links():
            if kept is not None and link.supports_eras:
                self._send_nowait(link.connection, kept)

    def request_permits(
        self, owner: str, *, target: str, milli_per_s: int
    ) -> int | None:
        """Request permits for a target from its owner.

        Returns the number that its answer has, `None` if there is no link to it.
        """
        return self._limits.request_permits(
            owner, target=target, milli_per_s=milli_per_s
        )

    def list_lenders(self) -> list[str]:
        """Return the peer addresses of the instances that may be asked for retries."""
        return self._loans.list_lenders()

    def request_retries(self, lender: str, request: RetryLoanRequest) -> None:
        """Request retries from the instance at an address."""
        self._loans.request(lender, request)

    def fetch_poison(self) -> None:
        """Request the records of crashes from all peers."""
        for link in self._sender.list_links():
            self._send_nowait(link.connection, FetchPoison(sender=self._own.name))

    def _relay_poison(
        self, patterns: Sequence[str], *, except_to: Connection | None
    ) -> None:
        """Send records on all links but the one on which they arrived."""
        report = PoisonReport(
            sender=self._own.name, patterns=self._poison.make_reports(patterns)
        )
        data = self._encode(report)
        for link in self._sender.list_links():
            if link.connection is not except_to:
                self._count_bytes("out", len(data))
                broadcast([link.connection], data)

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Maintain the links to other instances, until cancelled."""
        for seed in seeds:
            if seed != self._own.peer_address:
                self._dial(seed, is_seed=True)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._supervise("heartbeats", self._sender.run))
            group.create_task(self._supervise("loads", self._sender.run_loads))
            group.create_task(self._supervise("links", self._follow_members))

    async def _follow_members(self) -> None:
        while True:
            self._choose_links(self._read_clock())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _choose_links(self, now: float) -> None:
        """Dial the instances chosen as peers, and close other links after a while."""
        self._members.forget_silent(now=now)
        # An instance that has just started knows no others yet and would be a hub.
        may_be_hub = now - self._started_at >= HUB_DELAY_S
        if not may_be_hub and self._sender.list_links():
            # Links chosen before the other instances are known would soon be unwanted.
            return
        links = self._members.list_links(may_be_hub=may_be_hub, now=now)
        self._wanted = links - {self._own.peer_address, ""}
        is_hub = self._members.is_hub(may_be_hub=may_be_hub, now=now)
        if is_hub != self._sender.is_hub:
            self._sender.is_hub = is_hub
            log_event("hub_role_changed", is_hub=is_hub, links=len(self._wanted))
        for address in self._wanted:
            self._dial(address, is_seed=False)
        self._close_unwanted(now)
        hubs = self._members.list_subscriptions(now=now)
        if not hubs:
            self._members.clear_reported()
        for link in self._sender.list_links():
            if link.is_dialled:
                self._subscribe(link, hubs)

    def _subscribe(self, link: PeerLink, hubs: Sequence[str]) -> None:
        """Send a subscription on a dialled link if it has changed."""
        is_hub = link.address in hubs
        subscription = Subscription(
            sender=self._own.name,
            boot=self._own.boot,
            wants_heartbeats=is_hub,
            wants_reports=is_hub and link.address == hubs[0],
        )
        if subscription != link.subscription:
            link.subscription = subscription
            self._send_nowait(link.connection, subscription)

    def _send_nowait(self, connection: Connection, message: object) -> None:
        """Send a small message without waiting for the write buffer to drain."""
        data = self._encode(message)
        self._count_bytes("out", len(data))
        broadcast([connection], data)

    def _send_time_nowait(self, link: PeerLink) -> None:
        """Send the time on a link if its peer reads it."""
        if link.transit is not None:
            sent = make_send_time(link.transit, now=self._read_clock())
            self._send_nowait(link.connection, sent)

    def _close_unwanted(self, now: float) -> None:
        """Close dialled links that have been unwanted for `UNWANTED_DURATION_S`."""
        links = self._sender.list_links()
        open_addresses = {link.address for link in links if link.is_dialled}
        self._unwanted_since = {
            address: self._unwanted_since.get(address, now)
            for address in open_addresses - self._wanted
        }
        for address, since in self._unwanted_since.items():
            if now - since > UNWANTED_DURATION_S and address in self._dial_tasks:
                log_event("peer_link_closed", peer=address)
                self._close_dialled(address)

    def _close_dialled(self, address: str) -> None:
        """Close a dialled link with a closing handshake.

        Without one the peer would take this instance for dead.
        """
        for link in self._sender.list_links():
            if link.is_dialled and link.address == address:
                closing = asyncio.create_task(link.connection.close())
                self._closing_tasks.add(closing)
                closing.add_done_callback(self._closing_tasks.discard)

    async def close(self) -> None:
        """Close all dialled links with a closing handshake, and end their tasks.

        A task that is cancelled first reports an internal error to its peer, which then
        takes this instance for dead.
        """
        links = [link for link in self._sender.list_links() if link.is_dialled]
        closing = [link.connection.close(CloseCode.GOING_AWAY) for link in links]
        try:
            await asyncio.gather(*closing, return_exceptions=True)
        finally:
            for task in [*self._dial_tasks.values(), *self._repeat_tasks]:
                task.cancel()

    def _dial(self, address: str, *, is_seed: bool) -> None:
        if address in self._dial_tasks:
            return
        task = asyncio.create_task(self._maintain_link(address, is_seed=is_seed))
        self._dial_tasks[address] = task
        task.add_done_callback(lambda _: self._dial_tasks.pop(address, None))

    async def _maintain_link(self, address: str, *, is_seed: bool) -> None:
        """Keep a link to an address open while it is wanted; redial after a failure."""
        pause_s = RETRY_S
        attempts = 0
        while address in self._wanted or (is_seed and attempts < SEED_ATTEMPTS):
            try:
                async with connect(
                    f"ws://{address}",
                    open_timeout=OPEN_TIMEOUT_S,
                    # `HeartbeatSender` sends the pings.
                    ping_interval=None,
                    close_timeout=0.2,
                    max_size=MAX_MESSAGE_BYTES,
                    compression=None,
                    proxy=None,
                ) as link:
                    log_event("peer_link_opened", peer=address)
                    pause_s, attempts = RETRY_S, SEED_ATTEMPTS
                    await self._run_dialled_link(link, address)
            except (OSError, TimeoutError, WebSocketException) as error:
                log_event("peer_link_lost", peer=address, cause=repr(error))
            except Exception as error:
                self._record_failure("links", error, peer=address)
            attempts += 1
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_INTERVAL_S, pause_s * 2)

    async def _run_dialled_link(self, connection: Connection, address: str) -> None:
        """Introduce this instance, then send and receive until the link closes."""
        await self._send(connection, self._make_introduction(is_answer=False))
        supports = SupportsCompression(sender=self._own.name, boot=self._own.boot)
        await self._send(connection, supports)
        await self._send(connection, self._make_supports_send_times())
        await self._send(connection, SupportsStoreEras(sender=self._own.name))
        if self._must_fetch_instances():
            await self._send(connection, FetchInstances())
        await self._exchange_poison(connection)
        self._limits.open_link(connection)
        self._leaving.send_all(connection)
        self._promises.send_all(connection)
        link = PeerLink(connection=connection, address=address)
        hubs = self._members.list_subscriptions(now=self._read_clock())
        self._subscribe(link, hubs)
        self._sender.add(link)
        receiver = _LinkReceiver(connection=connection, is_accepted=False, link=link)
        try:
            await self._receive(receiver)
        except (OSError, WebSocketException):
            self._record_link_lost(receiver)
            raise
        finally:
            self._sender.remove(link)
            for name in receiver.senders:
                self._state.handle_link_closed(name)

    async def _exchange_poison(self, connection: Connection) -> None:
        """Send all records of crashes to a peer, and request those that it has.

        Those recorded while there was no link are included.
        """
        reports = self._poison.make_reports()
        if reports:
            report = PoisonReport(sender=self._own.name, patterns=reports)
            await self._send(connection, report)
        await self._send(connection, FetchPoison(sender=self._own.name))

    def _make_supports_send_times(self) -> SupportsSendTimes:
        return SupportsSendTimes(sender=self._own.name, boot=self._own.boot)

    def _make_introduction(self, *, is_answer: bool) -> Introduction:
        """Return the first message of a link, or the answer to `FetchInstances`.

        In a large fleet, only an answer lists the known instances.
        """
        known: tuple[InstanceIdentity, ...] = ()
        if is_answer or not self._members.is_large:
            known = tuple(member.identity for member in self._members.list_all())
        return Introduction(sender=self._own, known=known)

    def _must_fetch_instances(self) -> bool:
        """Return whether a fetch of the instances that a peer knows is due."""
        now = self._read_clock()
        if now - self._fetched_instances_at < FETCH_INSTANCES_INTERVAL_S:
            return False
        self._fetched_instances_at = now
        return True

    async def _receive(self, receiver: _LinkReceiver) -> None:
        """Handle the messages of a link until it closes."""
        async for data in receiver.connection:
            self._count_bytes("in", len(data))
            try:
                message = self._decode(data)
                self._count_message(type(message).__name__)
                await self._handle_message(receiver, message)
            except InvalidMessageError as error:
                log_event("peer_message_refused", cause=str(error))
                # Another release may send messages that are unknown here, but none
                # of that size.
                if isinstance(error, OversizedMessageError):
                    await receiver.connection.close(CloseCode.MESSAGE_TOO_BIG)
            except (OSError, TimeoutError, WebSocketException):
                # The link has failed, not the message.
                raise
            except Exception as error:
                peer = str(receiver.connection.remote_address)
                self._record_failure("messages", error, peer=peer)

    async def _handle_message(self, receiver: _LinkReceiver, message: object) -> None:
        handle = self._handlers.get(type(message))
        if handle is not None:
            await handle(receiver, message)
        elif isinstance(message, Fetch):
            has_numbers = isinstance(message, FetchTargets)
            answer = (
                self._state.answer_without_eras(message)
                if has_numbers and not receiver.supports_eras
                else self._state.answer(message)
            )
            if isinstance(answer, TargetChanges) and receiver.transit is not None:
                await self._send_time(receiver)
            if answer is not None:
                await self._send_versions(receiver, answer)

    async def _handle_introduction(
        self, receiver: _LinkReceiver, message: Introduction
    ) -> None:
        identities = [message.sender, *message.known]
        self._members.merge_members(identities, now=self._read_clock())

    async def _handle_heartbeat(
        self, receiver: _LinkReceiver, message: Heartbeat
    ) -> None:
        sender = message.sender
        receiver.senders.add(sender.name)
        if receiver.is_accepted:
            needs_dialling = not receiver.subscribes
            self._members.record_needs_dialling(
                sender.name, sender.boot, is_needed=needs_dialling
            )
        now = self._read_clock()
        self._members.merge_heartbeat(message, now=receiver.find_heard_at(now=now))
        delay_s = receiver.find_delay_s(now=now)
        fetches = self._state.merge_heartbeat(message, delay_s=delay_s)
        for fetch in fetches:
            await self._send_versions(receiver, fetch)

    async def _handle_fleet_report(
        self, receiver: _LinkReceiver, message: FleetReport
    ) -> None:
        if receiver.link is not None:
            receiver.link.expects_load_updates = True
        now = self._read_clock()
        self._members.merge_fleet_report(message, now=receiver.find_heard_at(now=now))
        delay_s = receiver.find_delay_s(now=now)
        is_merged = self._state.merge_fleet_report(message, delay_s=delay_s)
        if not is_merged and receiver.link is not None:
            self._send_nowait(receiver.connection, receiver.link.subscription)
        await self._handle_heartbeat(receiver, message.heartbeat)

    async def _handle_fleet_loads(
        self, receiver: _LinkReceiver, message: FleetLoads
    ) -> None:
        if not self._state.merge_fleet_loads(message) and receiver.link is not None:
            self._send_nowait(receiver.connection, receiver.link.subscription)

    async def _handle_load_update(
        self, receiver: _LinkReceiver, message: LoadUpdate
    ) -> None:
        if receiver.link is not None:
            receiver.link.is_busy = bool(message.loads)
        self._state.merge_load_update(message)

    async def _handle_demand_report(
        self, receiver: _LinkReceiver, message: DemandReport
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._state.merge_demands(message, delay_s=delay_s)

    async def _handle_team_report(
        self, receiver: _LinkReceiver, message: TeamReport
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._state.merge_teams(message, delay_s=delay_s)

    async def _handle_subscription(
        self, receiver: _LinkReceiver, message: Subscription
    ) -> None:
        """Start or stop sending heartbeats on an accepted link, as its peer asks."""
        receiver.subscribes = True
        self._members.record_needs_dialling(
            message.sender, message.boot, is_needed=False
        )
        if receiver.link is not None:
            self._sender.remove(receiver.link)
            receiver.link = None
        if not message.wants_heartbeats:
            return
        supports = SupportsCompression(sender=self._own.name, boot=self._own.boot)
        self._send_nowait(receiver.connection, supports)
        receiver.link = PeerLink(
            connection=receiver.connection,
            address=self._members.find_address(message.sender),
            is_dialled=False,
            transit=receiver.transit,
            supports_eras=receiver.supports_eras,
            subscriber_revisions=Revisions() if message.wants_reports else None,
        )
        self._sender.add(receiver.link)

    async def _handle_fetch_instances(
        self, receiver: _LinkReceiver, message: FetchInstances
    ) -> None:
        await self._send(receiver.connection, self._make_introduction(is_answer=True))

    async def _handle_data_centre_report(
        self, receiver: _LinkReceiver, message: DataCentreReport
    ) -> None:
        now = self._read_clock()
        self._state.merge_data_centre(message, delay_s=receiver.find_delay_s(now=now))
        has_unknown = self._members.merge_data_centre(
            message, now=receiver.find_heard_at(now=now)
        )
        if has_unknown and self._must_fetch_instances():
            await self._send(receiver.connection, FetchInstances())

    async def _handle_snapshot(
        self, receiver: _LinkReceiver, message: ConfigurationSnapshot | TargetChanges
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._state.merge_snapshot(message, delay_s=delay_s)

    async def _handle_supports_send_times(
        self, receiver: _LinkReceiver, message: SupportsSendTimes
    ) -> None:
        """Send the times of messages on the link from now on, and expect the peer's.

        The accepting side sends one at once, as the peer needs it to report an offset.
        """
        known = self._transits.get(message.sender)
        if known is None or known[0] != message.boot:
            known = self._transits[message.sender] = (message.boot, TransitClock())
        receiver.transit = known[1]
        receiver.sent_at = float("-inf")
        if receiver.link is not None:
            receiver.link.transit = receiver.transit
        if receiver.is_accepted:
            await self._send(receiver.connection, self._make_supports_send_times())
            await self._send_time(receiver)

    async def _handle_supports_store_eras(
        self, receiver: _LinkReceiver, message: SupportsStoreEras
    ) -> None:
        """Send versions that name eras from now on; the accepting side answers."""
        receiver.supports_eras = True
        if receiver.link is not None:
            receiver.link.supports_eras = True
        if receiver.is_accepted:
            supports = SupportsStoreEras(sender=self._own.name)
            await self._send(receiver.connection, supports)
        kept = self._state.make_kept_changes()
        if kept is not None:
            await self._send(receiver.connection, kept)

    async def _send_versions(self, receiver: _LinkReceiver, message: object) -> None:
        """Send a message with versions as the peer reads them."""
        is_known = receiver.supports_eras
        await self._send(
            receiver.connection, message if is_known else remove_eras(message)
        )

    async def _send_time(self, receiver: _LinkReceiver) -> None:
        sent = make_send_time(receiver.transit, now=self._read_clock())
        await self._send(receiver.connection, sent)

    async def _handle_send_time(
        self, receiver: _LinkReceiver, message: SendTime
    ) -> None:
        if receiver.transit is None:
            return
        offset_ms = message.offset_ms
        now = self._read_clock()
        delay_s = receiver.transit.record(
            sent_at=message.sent_ms / 1000,
            offset_s=None if offset_ms is None else offset_ms / 1000,
            now=now,
        )
        receiver.sent_at = now - delay_s
        if not receiver.transit.has_reported:
            await self._send_time(receiver)
        is_late = LOGGED_DELAY_S <= delay_s < float("inf")
        if is_late != receiver.is_late:
            receiver.is_late = is_late
            log_event(
                "peer_delay_changed",
                peer=str(receiver.connection.remote_address),
                senders=sorted(receiver.senders),
                delay_s=round(delay_s, 3),
            )

    async def _handle_supports_compression(
        self, receiver: _LinkReceiver, message: SupportsCompression
    ) -> None:
        self._state.record_supports_compression(message)

    async def _handle_deferred(
        self, receiver: _LinkReceiver, message: ConfigurationDeferred
    ) -> None:
        """Repeat a deferred fetch soon.

        Guards against a large configuration that reaches few instances with each round
        of reports, where links go to hubs only.
        """
        self._state.record_deferred(message)
        task = asyncio.create_task(self._repeat_fetch(receiver, message.sender))
        self._repeat_tasks.add(task)
        task.add_done_callback(self._repeat_tasks.discard)

    async def _repeat_fetch(self, receiver: _LinkReceiver, peer: str) -> None:
        await asyncio.sleep(DEFER_DURATION_S * random.uniform(1.0, 1.5))
        if receiver.connection.protocol.state is not State.OPEN:
            return
        fetch = self._state.repeat_fetch(peer)
        if fetch is not None:
            self._send_nowait(receiver.connection, fetch)

    async def _handle_received(
        self, receiver: _LinkReceiver, message: ConfigurationReceived
    ) -> None:
        self._state.record_received(message)

    async def _handle_poison_report(
        self, receiver: _LinkReceiver, message: PoisonReport
    ) -> None:
        self._merge_poison(receiver, message.sender, message.patterns)

    async def _handle_fetch_poison(
        self, receiver: _LinkReceiver, message: FetchPoison
    ) -> None:
        snapshot = PoisonSnapshot(
            sender=self._own.name,
            is_current=self._poison.is_current,
            patterns=self._poison.make_reports(),
        )
        await self._send(receiver.connection, snapshot)

    async def _handle_poison_snapshot(
        self, receiver: _LinkReceiver, message: PoisonSnapshot
    ) -> None:
        self._merge_poison(receiver, message.sender, message.patterns)
        if message.is_current:
            self._poison.record_current()

    def _merge_poison(
        self,
        receiver: _LinkReceiver,
        sender: str,
        patterns: Sequence[PatternReport],
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        changed = self._poison.merge(patterns, source=sender, delay_s=delay_s)
        if changed:
            self._relay_poison(changed, except_to=receiver.connection)

    async def _handle_limit_report(
        self, receiver: _LinkReceiver, message: LimitReport
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._limits.merge(message, delay_s=delay_s, received_on=receiver.connection)

    async def _handle_fetch_limits(
        self, receiver: _LinkReceiver, message: FetchLimits
    ) -> None:
        # An instance that dials asks for what it may have missed by this one message.
        self._limits.answer_fetch(receiver.connection)
        self._leaving.send_all(receiver.connection)
        self._promises.send_all(receiver.connection)

    async def _handle_leaving_report(
        self, receiver: _LinkReceiver, message: LeavingReport
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._leaving.merge(message, delay_s=delay_s, received_on=receiver.connection)

    async def _handle_regained_report(
        self, receiver: _LinkReceiver, message: RegainedReport
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._regained.merge(message, delay_s=delay_s, received_on=receiver.connection)

    async def _handle_loss_report(
        self, receiver: _LinkReceiver, message: LossReport
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._losses.merge(message, delay_s=delay_s, received_on=receiver.connection)

    async def _handle_return_promises(
        self, receiver: _LinkReceiver, message: ReturnPromises
    ) -> None:
        delay_s = receiver.find_delay_s(now=self._read_clock())
        self._promises.merge(message, delay_s=delay_s, received_on=receiver.connection)

    async def _handle_permit_request(
        self, receiver: _LinkReceiver, message: PermitRequest
    ) -> None:
        self._limits.handle_request(message, receiver.connection)

    async def _handle_permits_granted(
        self, receiver: _LinkReceiver, message: PermitsGranted
    ) -> None:
        self._limits.handle_granted(message)

    async def _handle_retry_loan_request(
        self, receiver: _LinkReceiver, message: RetryLoanRequest
    ) -> None:
        self._loans.handle_request(message, receiver.connection)

    async def _handle_retry_loan_answer(
        self, receiver: _LinkReceiver, message: RetryLoanAnswer
    ) -> None:
        self._loans.handle_answer(message)

    async def _handle_compressed_configuration(
        self, receiver: _LinkReceiver, message: CompressedConfiguration
    ) -> None:
        """Acknowledge the configuration, then merge it.

        The acknowledgement is sent first, as the sender can serve the next peer while
        this one decodes. If it fails on a saturated link, which closes the link, the
        configuration is merged all the same and need not be fetched again.
        """
        try:
            received = ConfigurationReceived(sender=self._own.name)
            await self._send(receiver.connection, received)
        finally:
            self._state.merge_snapshot(message)

    async def _send(self, link: Connection, message: object) -> None:
        await self._send_data(link, self._encode(message))

    async def _send_data(self, link: Connection, data: bytes) -> None:
        self._count_bytes("out", len(data))
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await link.send(data)

    async def accept(self, connection: Connection) -> None:
        """Handle a link that a peer dialled, until it closes."""
        # A link that is closed with a handshake says nothing about its peer, which may
        # just not need it any more. A killed process sends no closing frame.
        receiver = _LinkReceiver(connection=connection, is_accepted=True)
        try:
            await self._receive(receiver)
        except (OSError, TimeoutError, WebSocketException) as error:
            peer = str(connection.remote_address)
            log_event("accepted_link_lost", peer=peer, cause=repr(error))
            self._record_link_lost(receiver)
        finally:
            if receiver.link is not None:
                self._sender.remove(receiver.link)
            for name in receiver.senders:
                self._state.handle_link_closed(name)

    def _record_link_lost(self, receiver: _LinkReceiver) -> None:
        """Mark the instances that sent on a broken link as silent."""
        for name in receiver.senders:
            self._members.note_link_lost(name, now=self._read_clock())

    async def listen(self, address: str) -> Server:
        """Accept links from peers at `address`, given as `IP:PORT`."""
        listener = listen_bounded(address)
        server = await serve(
            self.accept,
            sock=listener,
            backlog=ACCEPTED_PER_TURN,
            create_connection=AcceptedConnection,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            ping_interval=ACCEPTED_PING_INTERVAL_S,
            ping_timeout=SEND_TIMEOUT_S,
            close_timeout=0.2,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
        )
        listener.listen(WAITING_CONNECTIONS)
        return server
