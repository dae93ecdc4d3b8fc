"""The links to other instances: dialled, heard, asked and answered."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection, broadcast
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from fulmarward.observability import log_event
from fulmarward_core.codec import MessageFault
from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._heartbeats import HeartbeatSender, PeerLink
from fulmarward_router.mesh._members import HEARTBEAT_INTERVAL_S, MemberTable
from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    FetchInstances,
    FleetLoads,
    FleetReport,
    Heartbeat,
    InstanceIdentity,
    Introduction,
    LoadUpdate,
    Subscription,
    SupportsCompression,
    TargetChanges,
)
from fulmarward_router.mesh._state import Fetch, MeshState, Revisions

#: Seconds for a link to open, and for a message to get through.
OPEN_TIMEOUT_S = 0.6
SEND_TIMEOUT_S = 1.0

#: Seconds between pings of a link that a peer dialled; missing heartbeats show its
#: silence long before.
ACCEPTED_PING_INTERVAL_S = 20.0

#: Seconds between two fetches of the list of instances.
FETCH_INSTANCES_INTERVAL_S = 0.5

#: Seconds for which a link is kept that is no longer wanted; a seed introduces the
#: others on it.
UNWANTED_DURATION_S = 1.0

#: Seconds before a failed link is dialled again: the first pause, and the longest.
RETRY_S = 0.2
MAX_RETRY_INTERVAL_S = 2.0

#: Seconds after its start in which an instance is no hub: it knows nobody yet.
HUB_AFTER_S = 1.0

#: How often a seed is dialled that is not known to be an instance.
SEED_TRIES = 5

#: Upper bound of one message.
MAX_MESSAGE_BYTES = 4 << 20


@dataclass(kw_only=True, eq=False)
class _Heard:
    """What was heard on a link."""

    connection: Connection
    #: Whether a peer dialled it.
    is_accepted: bool
    #: Names of those that sent heartbeats.
    senders: set[str] = field(default_factory=set)
    #: Whether the peer subscribes to what it wants to hear, on links that it dials.
    subscribes: bool = False
    #: What is sent back to a subscriber, and to a hub that was dialled.
    link: PeerLink | None = None


class Mesh:
    """The links that this instance dials and those that it accepts, a task for each."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        state: MeshState,
        read_clock: Callable[[], float],
        count_bytes: Callable[[str, int], None],
        decode: Callable[[bytes], object] = decode_message,
        encode: Callable[[object], bytes] = encode_message,
    ) -> None:
        self._own = own
        self._members = members
        self._state = state
        self._read_clock = read_clock
        self._count_bytes = count_bytes
        self._decode = decode
        self._encode = encode
        self._sender = HeartbeatSender(
            data_centre=own.data_centre,
            members=members,
            state=state,
            encode=encode,
            read_clock=read_clock,
            count_bytes=count_bytes,
        )
        self._dialling: dict[str, asyncio.Task] = {}
        #: Links that are being closed.
        self._closing: set[asyncio.Task] = set()
        #: Peer addresses to keep links to.
        self._wanted: frozenset[str] = frozenset()
        #: Since when each open link is not wanted.
        self._unwanted_since: dict[str, float] = {}
        #: What takes in a message, by its kind.
        self._handlers: dict[type, Callable[..., Awaitable[None]]] = {
            Introduction: self._take_introduction,
            Heartbeat: self._take_heartbeat,
            FleetReport: self._take_fleet_report,
            FleetLoads: self._take_fleet_loads,
            LoadUpdate: self._take_update,
            Subscription: self._take_subscription,
            FetchInstances: self._take_fetch_instances,
            DataCentreReport: self._take_report,
            CompressedConfiguration: self._take_row,
            ConfigurationSnapshot: self._take_snapshot,
            TargetChanges: self._take_snapshot,
            SupportsCompression: self._take_supports,
            ConfigurationDeferred: self._take_deferred,
            ConfigurationReceived: self._take_received,
        }
        self._fetched_instances_at = float("-inf")
        self._began_at = read_clock()

    def notify(self) -> None:
        """Send heartbeats now: something changed that peers should know at once."""
        self._sender.notify()

    def notify_loads(self) -> None:
        """Send loads soon: some have changed."""
        self._sender.notify_loads()

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Keep a link to every instance that is known, until cancelled."""
        for seed in seeds:
            if seed != self._own.peer_address:
                self._dial(seed, is_seed=True)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._sender.run())
            group.create_task(self._sender.run_loads())
            group.create_task(self._follow_members())

    async def _follow_members(self) -> None:
        while True:
            self._choose_links(self._read_clock())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _choose_links(self, now: float) -> None:
        """Dial whoever is to be linked, and end other links after a while."""
        self._members.forget_silent(now=now)
        # An instance that has just begun knows of nobody yet, and would be a hub.
        may_be_hub = now - self._began_at >= HUB_AFTER_S
        if not may_be_hub and self._sender.list_links():
            # Whoever is dialled before the others are known is soon not wanted.
            return
        links = self._members.list_links(may_be_hub=may_be_hub, now=now)
        self._wanted = links - {self._own.peer_address, ""}
        is_hub = self._members.is_hub(may_be_hub=may_be_hub, now=now)
        if is_hub != self._sender.is_hub:
            self._sender.is_hub = is_hub
            log_event("hub_changed", is_hub=is_hub, links=len(self._wanted))
        for address in self._wanted:
            self._dial(address, is_seed=False)
        self._end_unwanted(now)
        hubs = self._members.list_subscriptions(now=now)
        if not hubs:
            self._members.leave_hubs()
        for link in self._sender.list_links():
            if link.is_dialled:
                self._subscribe(link, hubs)

    def _subscribe(self, link: PeerLink, hubs: Sequence[str]) -> None:
        """Say what is to come back on a dialled link, where that has changed."""
        is_hub = link.address in hubs
        subscription = Subscription(
            sender=self._own.name,
            boot=self._own.boot,
            wants_heartbeats=is_hub,
            wants_reports=is_hub and link.address == hubs[0],
        )
        if subscription != link.subscription:
            link.subscription = subscription
            self._write(link.connection, subscription)

    def _write(self, connection: Connection, message: object) -> None:
        """Send a small message without waiting for the link."""
        data = self._encode(message)
        self._count_bytes("out", len(data))
        broadcast([connection], data)

    def _end_unwanted(self, now: float) -> None:
        """End links that are open and have not been wanted for a while."""
        links = self._sender.list_links()
        opened = {link.address for link in links if link.is_dialled}
        self._unwanted_since = {
            address: self._unwanted_since.get(address, now)
            for address in opened - self._wanted
        }
        for address, since in self._unwanted_since.items():
            if now - since > UNWANTED_DURATION_S and address in self._dialling:
                log_event("peer_link_ended", peer=address)
                self._end(address)

    def _end(self, address: str) -> None:
        """Close a dialled link in order.

        Guards against a peer that takes the end for this instance's death.
        """
        for link in self._sender.list_links():
            if link.is_dialled and link.address == address:
                closing = asyncio.create_task(link.connection.close())
                self._closing.add(closing)
                closing.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """End all dialled links."""
        for task in self._dialling.values():
            task.cancel()

    def _dial(self, address: str, *, is_seed: bool) -> None:
        if address in self._dialling:
            return
        task = asyncio.create_task(self._keep_link(address, is_seed=is_seed))
        self._dialling[address] = task
        task.add_done_callback(lambda _: self._dialling.pop(address, None))

    async def _keep_link(self, address: str, *, is_seed: bool) -> None:
        """Dial an address again and again while an instance is known there."""
        pause_s = RETRY_S
        tries = 0
        while address in self._wanted or (is_seed and tries < SEED_TRIES):
            try:
                async with connect(
                    f"ws://{address}",
                    open_timeout=OPEN_TIMEOUT_S,
                    # The rounds of heartbeats ping.
                    ping_interval=None,
                    close_timeout=0.2,
                    max_size=MAX_MESSAGE_BYTES,
                    compression=None,
                    proxy=None,
                ) as link:
                    log_event("peer_linked", peer=address)
                    pause_s, tries = RETRY_S, SEED_TRIES
                    await self._speak(link, address)
            except (OSError, TimeoutError, WebSocketException) as error:
                log_event("peer_link_lost", peer=address, cause=repr(error))
            tries += 1
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_INTERVAL_S, pause_s * 2)

    async def _speak(self, connection: Connection, address: str) -> None:
        """Introduce this instance, then send heartbeats until the link ends."""
        await self._send(connection, self._introduce(is_answer=False))
        supports = SupportsCompression(sender=self._own.name, boot=self._own.boot)
        await self._send(connection, supports)
        if self._must_fetch_instances():
            await self._send(connection, FetchInstances())
        link = PeerLink(connection=connection, address=address)
        hubs = self._members.list_subscriptions(now=self._read_clock())
        self._subscribe(link, hubs)
        self._sender.add(link)
        heard = _Heard(connection=connection, is_accepted=False, link=link)
        try:
            await self._listen(heard)
        except (OSError, WebSocketException):
            self._note_lost(heard)
            raise
        finally:
            self._sender.remove(link)
            for name in heard.senders:
                self._state.note_link_lost(name)

    def _introduce(self, *, is_answer: bool) -> Introduction:
        """Return the first message of a link, or the answer to a fetch.

        Where there are many instances, the others are told of only to who asks.
        """
        known: tuple[InstanceIdentity, ...] = ()
        if is_answer or not self._members.is_large:
            known = tuple(member.identity for member in self._members.list_all())
        return Introduction(sender=self._own, known=known)

    def _must_fetch_instances(self) -> bool:
        """Whether to ask now for the instances that a peer knows."""
        now = self._read_clock()
        if now - self._fetched_instances_at < FETCH_INSTANCES_INTERVAL_S:
            return False
        self._fetched_instances_at = now
        return True

    async def _listen(self, heard: _Heard) -> None:
        """Hear what comes on a link."""
        async for data in heard.connection:
            self._count_bytes("in", len(data))
            try:
                message = self._decode(data)
            except MessageFault as error:
                log_event("peer_message_wrong", cause=str(error))
                continue
            await self._take(heard, message)

    async def _take(self, heard: _Heard, message: object) -> None:
        handle = self._handlers.get(type(message))
        if handle is not None:
            await handle(heard, message)
        elif isinstance(message, Fetch):
            answer = self._state.answer(message)
            if answer is not None:
                await self._send(heard.connection, answer)

    async def _take_introduction(self, heard: _Heard, message: Introduction) -> None:
        identities = [message.sender, *message.known]
        self._members.merge_members(identities, now=self._read_clock())

    async def _take_heartbeat(self, heard: _Heard, message: Heartbeat) -> None:
        sender = message.sender
        heard.senders.add(sender.name)
        if heard.is_accepted:
            needs_dialling = not heard.subscribes
            self._members.note_dialling(
                sender.name, sender.boot, is_needed=needs_dialling
            )
        self._members.merge_heartbeat(message, now=self._read_clock())
        for fetch in self._state.merge_heartbeat(message):
            await self._send(heard.connection, fetch)

    async def _take_fleet_report(self, heard: _Heard, message: FleetReport) -> None:
        if heard.link is not None:
            heard.link.takes_updates = True
        self._members.merge_fleet(message, now=self._read_clock())
        if not self._state.merge_fleet_report(message) and heard.link is not None:
            self._write(heard.connection, heard.link.subscription)
        await self._take_heartbeat(heard, message.heartbeat)

    async def _take_fleet_loads(self, heard: _Heard, message: FleetLoads) -> None:
        if not self._state.merge_fleet_loads(message) and heard.link is not None:
            self._write(heard.connection, heard.link.subscription)

    async def _take_update(self, heard: _Heard, message: LoadUpdate) -> None:
        if heard.link is not None:
            heard.link.is_busy = bool(message.loads)
        self._state.merge_load_update(message)

    async def _take_subscription(self, heard: _Heard, message: Subscription) -> None:
        """Send heartbeats back to whoever asks for them, from now on."""
        heard.subscribes = True
        self._members.note_dialling(message.sender, message.boot, is_needed=False)
        if heard.link is not None:
            self._sender.remove(heard.link)
            heard.link = None
        if not message.wants_heartbeats:
            return
        supports = SupportsCompression(sender=self._own.name, boot=self._own.boot)
        self._write(heard.connection, supports)
        heard.link = PeerLink(
            connection=heard.connection,
            address=self._members.find_address(message.sender),
            is_dialled=False,
            told=Revisions() if message.wants_reports else None,
        )
        self._sender.add(heard.link)

    async def _take_fetch_instances(
        self, heard: _Heard, message: FetchInstances
    ) -> None:
        await self._send(heard.connection, self._introduce(is_answer=True))

    async def _take_report(self, heard: _Heard, message: DataCentreReport) -> None:
        self._state.merge_data_centre(message)
        now = self._read_clock()
        has_unknown = self._members.merge_data_centre(message, now=now)
        if has_unknown and self._must_fetch_instances():
            await self._send(heard.connection, FetchInstances())

    async def _take_snapshot(
        self, heard: _Heard, message: ConfigurationSnapshot | TargetChanges
    ) -> None:
        self._state.merge_snapshot(message)

    async def _take_supports(self, heard: _Heard, message: SupportsCompression) -> None:
        self._state.note_supports_compression(message)

    async def _take_deferred(
        self, heard: _Heard, message: ConfigurationDeferred
    ) -> None:
        self._state.note_deferred(message)

    async def _take_received(
        self, heard: _Heard, message: ConfigurationReceived
    ) -> None:
        self._state.note_received(message)

    async def _take_row(self, heard: _Heard, message: CompressedConfiguration) -> None:
        """Say that a row has come, and take it in.

        The word goes first: the teller's link is free now, and reading takes time.
        Guards against a way out that is full: the word ends the link then, and the
        row, which has come, would be asked for once more.
        """
        try:
            received = ConfigurationReceived(sender=self._own.name)
            await self._send(heard.connection, received)
        finally:
            self._state.merge_snapshot(message)

    async def _send(self, link: Connection, message: object) -> None:
        await self._send_data(link, self._encode(message))

    async def _send_data(self, link: Connection, data: bytes) -> None:
        self._count_bytes("out", len(data))
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await link.send(data)

    async def accept(self, connection: Connection) -> None:
        """Hear a link that a peer dialled; what it asks for goes back on the link."""
        # A link that is closed in order says nothing of its peer: it may have become
        # needless. A killed process sends no closing frame.
        heard = _Heard(connection=connection, is_accepted=True)
        try:
            await self._listen(heard)
        except (OSError, TimeoutError, WebSocketException) as error:
            peer = str(connection.remote_address)
            log_event("peer_gone", peer=peer, cause=repr(error))
            self._note_lost(heard)
        finally:
            if heard.link is not None:
                self._sender.remove(heard.link)
            for name in heard.senders:
                self._state.note_link_lost(name)

    def _note_lost(self, heard: _Heard) -> None:
        """A link broke: those that were heard on it are silent until heard again."""
        for name in heard.senders:
            self._members.note_link_lost(name, now=self._read_clock())

    async def listen(self, address: str) -> Server:
        """Accept links of peers at `IP:PORT`."""
        host, port = address.rsplit(":", 1)
        return await serve(
            self.accept,
            host,
            int(port),
            ping_interval=ACCEPTED_PING_INTERVAL_S,
            ping_timeout=SEND_TIMEOUT_S,
            close_timeout=0.2,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
        )
