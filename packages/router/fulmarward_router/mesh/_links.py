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
from fulmarward_router.mesh._members import BEAT_S, CENTRE_NEWS_S, MemberTable
from fulmarward_router.mesh._messages import (
    AskConfiguration,
    AskInstances,
    AskPackedConfiguration,
    AskTargets,
    Beat,
    ConfigurationDeferred,
    ConfigurationHeard,
    ConfigurationNews,
    DataCentreNews,
    Introduce,
    MemberTold,
    PackedConfigurationNews,
    TargetsNews,
    UnderstandsPacked,
)

#: Seconds for which one encoded heartbeat is sent to all. Reason: a third of the time
#: between two of them.
SAME_BEAT_S = 0.1

#: Seconds for a link to be made, and for a ping to be answered. Load: links that fall
#: silent without a reset; reason: far above any delay between data centres, and short
#: against the bound of a configuration.
OPEN_S = 0.6
PING_S = 1.0

#: Seconds between two pings of a link that a peer dialled. Load: a peer that fell
#: silent for good; harm: its link is held open; reason: its missing heartbeats tell of
#: it long before, so this only frees the link.
ACCEPTED_PING_S = 20.0

#: Least seconds between two heartbeats on a link. Load: many instances or targets are
#: lost in the same moment, and each loss is told at once; harm: a heartbeat of 1 KB to
#: each of 25 peers, 20 times within a moment, fills a link of 10 Mbit/s for 0.4 s;
#: reason: short against the second in which an instance is to leave the lookup.
LEAST_BEAT_S = 0.05

#: Seconds between two questions for the instances. Load: all start at once and hear of
#: each other through the same hub; harm: each answer tells of all of them.
ASK_INSTANCES_S = 0.5

#: Seconds for which a link is kept that is not wanted. Reason: a seed tells of the
#: others on it.
UNWANTED_S = 1.0

#: Seconds before a link that failed is dialled again, growing to the most.
RETRY_S = 0.2
MOST_RETRY_S = 2.0

#: Seconds after its start in which an instance is no hub. Load: all begin at once;
#: harm: each finds nobody before it and links to the other data centres; reason: two
#: heartbeats.
HUB_AFTER_S = 1.0

#: How often a seed is dialled that is not known to be an instance.
SEED_TRIES = 5

#: Largest message. Reason: the configuration's row is packed and has a tenth of this,
#: and the rows of 4,100 targets are told in parts.
MOST_BYTES = 4 << 20


#: What a peer is asked for, what it sends for it, and what else it may answer.
Question = AskConfiguration | AskPackedConfiguration | AskTargets
News = ConfigurationNews | PackedConfigurationNews | TargetsNews
Answer = News | ConfigurationDeferred


class MeshNews(Protocol):
    """What the rest of the instance gives to the mesh and takes from it."""

    def make_beat(self, *, has_loads: bool = True) -> Beat:
        """Return this instance's heartbeat, with its load or without."""

    def take_beat(self, beat: Beat) -> list[Question]:
        """Take in a peer's heartbeat; return what to ask that peer for."""

    def answer(self, question: Question) -> Answer | None:
        """Return the answer to a peer's question, `None` if there is none."""

    def take_news(self, news: News) -> None:
        """Take in what a peer answered."""

    def take_understands_packed(self, told: UnderstandsPacked) -> None:
        """Take in that a peer may be asked for the packed configuration."""

    def take_deferred(self, told: ConfigurationDeferred) -> None:
        """Take in that a peer tells others first."""

    def take_heard(self, told: ConfigurationHeard) -> None:
        """Take in that a row has come to a peer."""

    def note_link_lost(self, peer: str) -> None:
        """The link that a peer dialled has ended, and what was asked on it."""

    def make_centre_news(self, data_centre: str) -> DataCentreNews:
        """Return what this instance, as a hub, tells of a data centre."""

    def take_centre_news(self, news: DataCentreNews) -> None:
        """Take in the loads that a hub tells of."""


class Mesh:
    """One task for each link that this instance dials and for each that it accepts."""

    def __init__(
        self,
        *,
        own: MemberTold,
        members: MemberTable,
        news: MeshNews,
        read_clock: Callable[[], float],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._own = own
        self._members = members
        self._news = news
        self._read_clock = read_clock
        self._count_bytes = count_bytes
        self._dialling: dict[str, asyncio.Task] = {}
        #: Ends the waits of all links, and is replaced by another one then.
        self._stirred = asyncio.get_running_loop().create_future()
        #: Heartbeats encoded lately, with loads and without: when, for which stir.
        self._encoded: dict[bool, tuple[float, asyncio.Future, bytes]] = {}
        #: Peer addresses to keep links to, and whether this instance is a hub.
        self._wanted: frozenset[str] = frozenset()
        self._is_hub = False
        self._asked_instances_at = float("-inf")
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
            await asyncio.sleep(BEAT_S)

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
                    open_timeout=OPEN_S,
                    ping_interval=PING_S,
                    ping_timeout=PING_S,
                    close_timeout=0.2,
                    max_size=MOST_BYTES,
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
            pause_s = min(MOST_RETRY_S, pause_s * 2)

    async def _speak(self, link: Connection, address: str) -> None:
        """Introduce this instance, then send heartbeats."""
        await self._send(link, self._introduce(is_answer=False))
        understands = UnderstandsPacked(sender=self._own.name, boot=self._own.boot)
        await self._send(link, understands)
        if self._must_ask_instances():
            await self._send(link, AskInstances())
        listener = asyncio.create_task(self._listen(link, set()))
        teller = _CentreTeller(members=self._members, news=self._news)
        unwanted_at = self._read_clock()
        try:
            while not listener.done():
                stirred = self._stirred
                now = self._read_clock()
                if address in self._wanted:
                    unwanted_at = now
                elif now - unwanted_at > UNWANTED_S:
                    log_event("peer_link_ended", peer=address)
                    return
                centre = self._members.find_data_centre(address)
                await self._send_data(link, self._encode_beat(centre))
                if self._is_hub:
                    for news in teller.list_due(self._own.data_centre, centre, now=now):
                        await self._send(link, news)
                await _wait_first(stirred, listener, self._members.beat_pause_s)
                early_s = now + LEAST_BEAT_S - self._read_clock()
                if early_s > 0:
                    await asyncio.sleep(early_s)
            listener.result()
        finally:
            listener.cancel()

    def _introduce(self, *, is_answer: bool) -> Introduce:
        """Return the first message of a link, or the answer to a question.

        Where there are many instances, the others are told of only to who asks.
        """
        known: tuple[MemberTold, ...] = ()
        if is_answer or not self._members.is_large:
            known = tuple(member.told for member in self._members.list_all())
        return Introduce(sender=self._own, known=known)

    def _must_ask_instances(self) -> bool:
        """Whether to ask now for the instances that a peer knows."""
        now = self._read_clock()
        if now - self._asked_instances_at < ASK_INSTANCES_S:
            return False
        self._asked_instances_at = now
        return True

    async def _listen(self, link: Connection, senders: set[str]) -> None:
        """Hear what comes on a link; `senders` collects who sent heartbeats."""
        async for data in link:
            self._count_bytes("in", len(data))
            try:
                message = decode_message(data)
            except MessageFault as error:
                log_event("peer_message_wrong", cause=str(error))
                continue
            if isinstance(message, Beat):
                senders.add(message.sender.name)
            await self._take(link, message)

    async def _take(self, link: Connection, message: object) -> None:
        now = self._read_clock()
        if isinstance(message, Introduce):
            self._members.take_told([message.sender, *message.known], now=now)
        elif isinstance(message, Beat):
            self._members.take_beat(message, now=now)
            for question in self._news.take_beat(message):
                await self._send(link, question)
        elif isinstance(message, AskInstances):
            await self._send(link, self._introduce(is_answer=True))
        elif isinstance(message, DataCentreNews):
            self._news.take_centre_news(message)
            has_unknown = self._members.take_news(message, now=now)
            if has_unknown and self._must_ask_instances():
                await self._send(link, AskInstances())
        elif isinstance(message, Question):
            answer = self._news.answer(message)
            if answer is not None:
                await self._send(link, answer)
        elif isinstance(message, PackedConfigurationNews):
            await self._take_row(link, message)
        elif isinstance(message, ConfigurationNews | TargetsNews):
            self._news.take_news(message)
        elif isinstance(message, UnderstandsPacked):
            self._news.take_understands_packed(message)
        elif isinstance(message, ConfigurationDeferred):
            self._news.take_deferred(message)
        elif isinstance(message, ConfigurationHeard):
            self._news.take_heard(message)

    async def _take_row(self, link: Connection, news: PackedConfigurationNews) -> None:
        """Say that a row has come, and take it in.

        The word goes first: the teller's link is free now, and reading takes time.
        Guards against a way out that is full: the word ends the link then, and the
        row, which has come, would be asked for once more.
        """
        try:
            await self._send(link, ConfigurationHeard(sender=self._own.name))
        finally:
            self._news.take_news(news)

    def _encode_beat(self, peer_centre: str | None) -> bytes:
        """Return the heartbeat for a peer; one encoding serves many for a moment.

        Where there are many instances, each one's loads are told within the data
        centre only; the hubs tell the others the sum.
        """
        has_loads = True
        if self._members.is_large:
            has_loads = peer_centre == self._own.data_centre
        now = self._read_clock()
        at, stirred, data = self._encoded.get(has_loads, (float("-inf"), None, b""))
        if now - at > SAME_BEAT_S or stirred is not self._stirred:
            data = encode_message(self._news.make_beat(has_loads=has_loads))
            self._encoded[has_loads] = (now, self._stirred, data)
        return data

    async def _send(self, link: Connection, message: object) -> None:
        await self._send_data(link, encode_message(message))

    async def _send_data(self, link: Connection, data: bytes) -> None:
        self._count_bytes("out", len(data))
        async with asyncio.timeout(PING_S):
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
            ping_interval=ACCEPTED_PING_S,
            ping_timeout=PING_S,
            close_timeout=0.2,
            max_size=MOST_BYTES,
            compression=None,
        )


class _CentreTeller:
    """What a hub still has to tell on one link."""

    def __init__(self, *, members: MemberTable, news: MeshNews) -> None:
        self._members = members
        self._news = news
        self._told_at = float("-inf")
        self._told_revision = -1

    def list_due(
        self, own_centre: str, peer_centre: str | None, *, now: float
    ) -> list[DataCentreNews]:
        """Return what is due: the own data centre to others, the others at home."""
        is_news = self._members.revision != self._told_revision
        if not is_news and now - self._told_at < CENTRE_NEWS_S:
            return []
        self._told_at, self._told_revision = now, self._members.revision
        centres = {own_centre}
        if peer_centre == own_centre:
            centres = self._members.list_data_centres() - {own_centre}
        return [self._news.make_centre_news(name) for name in sorted(centres)]


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
