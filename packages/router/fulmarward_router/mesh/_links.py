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
from fulmarward_router.mesh._members import BEAT_S, MemberTable
from fulmarward_router.mesh._messages import (
    AskConfiguration,
    AskTargets,
    Beat,
    ConfigurationNews,
    Introduce,
    MemberTold,
    TargetsNews,
)

#: Seconds for which one encoded heartbeat is sent to all. Reason: a third of the time
#: between two of them.
SAME_BEAT_S = 0.1

#: Seconds for a link to be made, and for a ping to be answered. Load: links that fall
#: silent without a reset; reason: far above any delay between data centres, and short
#: against the bound of a configuration.
OPEN_S = 0.6
PING_S = 1.0

#: Seconds before a link that failed is dialled again, growing to the most.
RETRY_S = 0.2
MOST_RETRY_S = 2.0

#: Largest message. Reason: the configuration's row has at most 64 KB, and the rows of
#: 4,100 targets are told in parts.
MOST_BYTES = 4 << 20


class MeshNews(Protocol):
    """What the rest of the instance gives to the mesh and takes from it."""

    def make_beat(self, *, has_loads: bool = True) -> Beat:
        """Return this instance's heartbeat, with its load or without."""

    def take_beat(self, beat: Beat) -> list[AskConfiguration | AskTargets]:
        """Take in a peer's heartbeat; return what to ask that peer for."""

    def answer(
        self, question: AskConfiguration | AskTargets
    ) -> ConfigurationNews | TargetsNews | None:
        """Return the answer to a peer's question, `None` if there is none."""

    def take_news(self, news: ConfigurationNews | TargetsNews) -> None:
        """Take in what a peer answered."""


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
        self._stirred = asyncio.Event()
        #: Heartbeats encoded lately, with loads and without: when, for which stir.
        self._encoded: dict[bool, tuple[float, asyncio.Event, bytes]] = {}

    def stir(self) -> None:
        """Send heartbeats now: something changed that peers should hear at once."""
        self._stirred.set()
        self._stirred = asyncio.Event()

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Keep a link to every instance that is known, until cancelled."""
        for seed in seeds:
            if seed != self._own.peer_address:
                self._dial(seed, is_seed=True)
        while True:
            now = self._read_clock()
            self._members.forget_silent(now=now)
            wanted = {m.told.peer_address for m in self._members.list_all()}
            for address in wanted:
                if address != self._own.peer_address:
                    self._dial(address, is_seed=False)
            await asyncio.sleep(BEAT_S)

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

    def _is_wanted(self, address: str) -> bool:
        return any(m.told.peer_address == address for m in self._members.list_all())

    async def _keep_link(self, address: str, *, is_seed: bool) -> None:
        """Dial an address again and again while an instance is known there."""
        pause_s = RETRY_S
        tries = 0
        while tries < 5 if is_seed else self._is_wanted(address):
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
                    pause_s = RETRY_S
                    await self._speak(link, address)
            except (OSError, TimeoutError, WebSocketException) as error:
                log_event("peer_link_lost", peer=address, cause=repr(error))
            tries += 1
            await asyncio.sleep(pause_s)
            pause_s = min(MOST_RETRY_S, pause_s * 2)

    async def _speak(self, link: Connection, address: str) -> None:
        """Introduce this instance, then send heartbeats."""
        known = tuple(member.told for member in self._members.list_all())
        await self._send(link, Introduce(sender=self._own, known=known))
        listener = asyncio.create_task(self._listen(link, set()))
        try:
            while not listener.done():
                stirred = self._stirred
                await self._send_data(link, self._encode_beat(address))
                await _wait_first(stirred, listener, self._members.beat_pause_s)
            listener.result()
        finally:
            listener.cancel()

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
        elif isinstance(message, AskConfiguration | AskTargets):
            answer = self._news.answer(message)
            if answer is not None:
                await self._send(link, answer)
        elif isinstance(message, ConfigurationNews | TargetsNews):
            self._news.take_news(message)

    def _encode_beat(self, address: str) -> bytes:
        """Return the heartbeat for a peer; one encoding serves many for a moment.

        Where there are many instances, loads are told within the data centre only:
        bytes between data centres are dear, and paths stay within one.
        """
        has_loads = True
        if self._members.is_large:
            centre = self._members.find_data_centre(address)
            has_loads = centre == self._own.data_centre
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
        senders: set[str] = set()
        try:
            await self._listen(link, senders)
        except (OSError, TimeoutError, WebSocketException) as error:
            log_event("peer_gone", peer=str(link.remote_address), cause=repr(error))
        finally:
            for name in senders:
                self._members.note_link_lost(name)

    async def listen(self, address: str) -> Server:
        """Accept links of peers at `IP:PORT`."""
        host, port = address.rsplit(":", 1)
        return await serve(
            self.accept,
            host,
            int(port),
            ping_interval=PING_S,
            ping_timeout=PING_S,
            close_timeout=0.2,
            max_size=MOST_BYTES,
            compression=None,
        )


async def _wait_first(
    stirred: asyncio.Event, listener: asyncio.Task, seconds: float
) -> None:
    """Wait until there is news, the link has ended or the time is up."""
    stir = asyncio.create_task(stirred.wait())
    try:
        await asyncio.wait(
            {stir, listener},
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        stir.cancel()
