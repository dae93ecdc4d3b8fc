"""The links to other instances: dialled, heard, asked and answered."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from fulmarward.observability import log_event
from fulmarward_core.codec import MessageFault
from fulmarward_router.mesh._codec import decode_message, encode_message
from fulmarward_router.mesh._members import (
    DATA_CENTRE_REPORT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MemberTable,
)
from fulmarward_router.mesh._messages import (
    CompressedConfiguration,
    ConfigurationDeferred,
    ConfigurationReceived,
    ConfigurationSnapshot,
    DataCentreReport,
    FetchCompressedConfiguration,
    FetchConfiguration,
    FetchInstances,
    FetchTargets,
    Heartbeat,
    InstanceIdentity,
    Introduction,
    SupportsCompression,
    TargetChanges,
)

#: Seconds for which an encoded heartbeat is reused for further links.
REUSE_HEARTBEAT_S = 0.1

#: Seconds for a link to open, and for a ping or a message to get through.
OPEN_TIMEOUT_S = 0.6
PING_TIMEOUT_S = 1.0

#: Seconds between pings of a link that a peer dialled; missing heartbeats show its
#: silence long before.
ACCEPTED_PING_INTERVAL_S = 20.0

#: Minimum seconds between two heartbeats on a link, so that a series of changes does
#: not fill it.
MIN_HEARTBEAT_INTERVAL_S = 0.05

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


#: What a peer is asked for, what it sends for it, and what else it may answer.
Fetch = FetchConfiguration | FetchCompressedConfiguration | FetchTargets
Snapshot = ConfigurationSnapshot | CompressedConfiguration | TargetChanges
Answer = Snapshot | ConfigurationDeferred


class MeshState(Protocol):
    """What the rest of the instance gives to the mesh and takes from it."""

    def make_heartbeat(self, *, has_loads: bool = True) -> Heartbeat:
        """Return this instance's heartbeat, with its load or without."""

    def merge_heartbeat(self, heartbeat: Heartbeat) -> list[Fetch]:
        """Take in a peer's heartbeat; return what to ask that peer for."""

    def answer(self, question: Fetch) -> Answer | None:
        """Return the answer to a peer's question, `None` if there is none."""

    def merge_snapshot(self, news: Snapshot) -> None:
        """Take in what a peer answered."""

    def note_supports_compression(self, message: SupportsCompression) -> None:
        """Take in that a peer may be asked for the packed configuration."""

    def note_deferred(self, message: ConfigurationDeferred) -> None:
        """Take in that a peer tells others first."""

    def note_received(self, message: ConfigurationReceived) -> None:
        """Take in that a row has come to a peer."""

    def note_link_lost(self, peer: str) -> None:
        """The link that a peer dialled has ended, and what was asked on it."""

    def make_data_centre_report(self, data_centre: str) -> DataCentreReport:
        """Return what this instance, as a hub, tells of a data centre."""

    def merge_data_centre(self, news: DataCentreReport) -> None:
        """Take in the loads that a hub tells of."""


class Mesh:
    """One task for each link that this instance dials and for each that it accepts."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        news: MeshState,
        read_clock: Callable[[], float],
        count_bytes: Callable[[str, int], None],
        decode: Callable[[bytes], object] = decode_message,
        encode: Callable[[object], bytes] = encode_message,
    ) -> None:
        self._own = own
        self._members = members
        self._news = news
        self._read_clock = read_clock
        self._count_bytes = count_bytes
        self._decode = decode
        self._encode = encode
        self._dialling: dict[str, asyncio.Task] = {}
        #: Ends the waits of all links, and is replaced by another one then.
        self._stirred = asyncio.get_running_loop().create_future()
        #: Heartbeats encoded lately, with loads and without: when, for which stir.
        self._encoded: dict[bool, tuple[float, asyncio.Future, bytes]] = {}
        #: Peer addresses to keep links to, and whether this instance is a hub.
        self._wanted: frozenset[str] = frozenset()
        self._is_hub = False
        self._fetched_instances_at = float("-inf")
        self._began_at = read_clock()

    def stir(self) -> None:
        """Send heartbeats now: something changed that peers should hear at once."""
        self._stirred.set_result(None)
        self._stirred = asyncio.get_running_loop().create_future()

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Keep a link to every instance that is known, until cancelled."""
        for seed in seeds:
            if seed != self._own.peer_address:
                self._dial(seed, is_seed=True)
        while True:
            self._choose_links(self._read_clock())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _choose_links(self, now: float) -> None:
        """Dial whoever is to be linked; other links end by themselves."""
        self._members.forget_silent(now=now)
        # An instance that has just begun knows of nobody yet, and would be a hub.
        may_be_hub = now - self._began_at >= HUB_AFTER_S
        links = self._members.list_links(may_be_hub=may_be_hub, now=now)
        self._wanted = links - {self._own.peer_address, ""}
        is_hub = self._members.is_hub(may_be_hub=may_be_hub, now=now)
        if is_hub != self._is_hub:
            self._is_hub = is_hub
            log_event("hub_changed", is_hub=is_hub, links=len(self._wanted))
        for address in self._wanted:
            self._dial(address, is_seed=False)

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
                    ping_interval=PING_TIMEOUT_S,
                    ping_timeout=PING_TIMEOUT_S,
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

    async def _speak(self, link: Connection, address: str) -> None:
        """Introduction this instance, then send heartbeats."""
        await self._send(link, self._introduce(is_answer=False))
        understands = SupportsCompression(sender=self._own.name, boot=self._own.boot)
        await self._send(link, understands)
        if self._must_fetch_instances():
            await self._send(link, FetchInstances())
        listener = asyncio.create_task(self._listen(link, set()))
        teller = _DataCentreReporter(members=self._members, news=self._news)
        unwanted_at = self._read_clock()
        try:
            while not listener.done():
                stirred = self._stirred
                now = self._read_clock()
                if address in self._wanted:
                    unwanted_at = now
                elif now - unwanted_at > UNWANTED_DURATION_S:
                    log_event("peer_link_ended", peer=address)
                    return
                centre = self._members.find_data_centre(address)
                await self._send_data(link, self._encode_heartbeat(centre))
                if self._is_hub:
                    for news in teller.list_due(self._own.data_centre, centre, now=now):
                        await self._send(link, news)
                await _wait_first(stirred, listener, self._members.heartbeat_interval_s)
                early_s = now + MIN_HEARTBEAT_INTERVAL_S - self._read_clock()
                if early_s > 0:
                    await asyncio.sleep(early_s)
            listener.result()
        finally:
            listener.cancel()

    def _introduce(self, *, is_answer: bool) -> Introduction:
        """Return the first message of a link, or the answer to a question.

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

    async def _listen(self, link: Connection, senders: set[str]) -> None:
        """Hear what comes on a link; `senders` collects who sent heartbeats."""
        async for data in link:
            self._count_bytes("in", len(data))
            try:
                message = self._decode(data)
            except MessageFault as error:
                log_event("peer_message_wrong", cause=str(error))
                continue
            if isinstance(message, Heartbeat):
                senders.add(message.sender.name)
            await self._take(link, message)

    async def _take(self, link: Connection, message: object) -> None:
        now = self._read_clock()
        if isinstance(message, Introduction):
            self._members.merge_members([message.sender, *message.known], now=now)
        elif isinstance(message, Heartbeat):
            self._members.merge_heartbeat(message, now=now)
            for question in self._news.merge_heartbeat(message):
                await self._send(link, question)
        elif isinstance(message, FetchInstances):
            await self._send(link, self._introduce(is_answer=True))
        elif isinstance(message, DataCentreReport):
            self._news.merge_data_centre(message)
            has_unknown = self._members.merge_snapshot(message, now=now)
            if has_unknown and self._must_fetch_instances():
                await self._send(link, FetchInstances())
        elif isinstance(message, Fetch):
            answer = self._news.answer(message)
            if answer is not None:
                await self._send(link, answer)
        elif isinstance(message, CompressedConfiguration):
            await self._take_row(link, message)
        elif isinstance(message, ConfigurationSnapshot | TargetChanges):
            self._news.merge_snapshot(message)
        elif isinstance(message, SupportsCompression):
            self._news.note_supports_compression(message)
        elif isinstance(message, ConfigurationDeferred):
            self._news.note_deferred(message)
        elif isinstance(message, ConfigurationReceived):
            self._news.note_received(message)

    async def _take_row(self, link: Connection, news: CompressedConfiguration) -> None:
        """Say that a row has come, and take it in.

        The word goes first: the teller's link is free now, and reading takes time.
        Guards against a way out that is full: the word ends the link then, and the
        row, which has come, would be asked for once more.
        """
        try:
            await self._send(link, ConfigurationReceived(sender=self._own.name))
        finally:
            self._news.merge_snapshot(news)

    def _encode_heartbeat(self, peer_centre: str | None) -> bytes:
        """Return the heartbeat for a peer; one encoding serves many for a moment.

        Where there are many instances, each one's loads are told within the data
        centre only; the hubs tell the others the sum.
        """
        has_loads = True
        if self._members.is_large:
            has_loads = peer_centre == self._own.data_centre
        now = self._read_clock()
        at, stirred, data = self._encoded.get(has_loads, (float("-inf"), None, b""))
        if now - at > REUSE_HEARTBEAT_S or stirred is not self._stirred:
            data = self._encode(self._news.make_heartbeat(has_loads=has_loads))
            self._encoded[has_loads] = (now, self._stirred, data)
        return data

    async def _send(self, link: Connection, message: object) -> None:
        await self._send_data(link, self._encode(message))

    async def _send_data(self, link: Connection, data: bytes) -> None:
        self._count_bytes("out", len(data))
        async with asyncio.timeout(PING_TIMEOUT_S):
            await link.send(data)

    async def accept(self, link: Connection) -> None:
        """Hear a link that a peer dialled; questions go back on the same link."""
        # A link that is closed in order says nothing of its peer: it may have become
        # needless. A killed process sends no closing frame.
        senders: set[str] = set()
        try:
            await self._listen(link, senders)
        except (OSError, TimeoutError, WebSocketException) as error:
            log_event("peer_gone", peer=str(link.remote_address), cause=repr(error))
            for name in senders:
                self._members.note_link_lost(name, now=self._read_clock())
        finally:
            for name in senders:
                self._news.note_link_lost(name)

    async def listen(self, address: str) -> Server:
        """Accept links of peers at `IP:PORT`."""
        host, port = address.rsplit(":", 1)
        return await serve(
            self.accept,
            host,
            int(port),
            ping_interval=ACCEPTED_PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=0.2,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
        )


class _DataCentreReporter:
    """What a hub still has to tell on one link."""

    def __init__(self, *, members: MemberTable, news: MeshState) -> None:
        self._members = members
        self._news = news
        self._reported_at = float("-inf")
        self._reported_revision = -1

    def list_due(
        self, own_centre: str, peer_centre: str | None, *, now: float
    ) -> list[DataCentreReport]:
        """Return what is due: the own data centre to others, the others at home."""
        is_news = self._members.revision != self._reported_revision
        if not is_news and now - self._reported_at < DATA_CENTRE_REPORT_INTERVAL_S:
            return []
        self._reported_at, self._reported_revision = now, self._members.revision
        centres = {own_centre}
        if peer_centre == own_centre:
            centres = self._members.list_data_centres() - {own_centre}
        return [self._news.make_data_centre_report(name) for name in sorted(centres)]


async def _wait_first(
    stirred: asyncio.Future, listener: asyncio.Task, seconds: float
) -> None:
    """Wait until there is news, the link has ended or the time is up.

    No task is made for it: there are fifty such waits a second in a large fleet, and
    each turn of the loop asks the system for what has come.
    """
    await asyncio.wait(
        {stirred, listener}, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
    )
