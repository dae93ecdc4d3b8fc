"""Heartbeats to all linked peers, sent together."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from websockets.asyncio.connection import Connection, broadcast
from websockets.protocol import State

from fulmarward.observability import log_event
from fulmarward_router.mesh._members import (
    DATA_CENTRE_REPORT_INTERVAL_S,
    MemberTable,
)
from fulmarward_router.mesh._messages import Subscription
from fulmarward_router.mesh._state import MeshState, Revisions

#: Minimum seconds between two rounds of heartbeats, so that a series of changes does
#: not fill the links.
MIN_HEARTBEAT_INTERVAL_S = 0.05

#: Seconds for which an encoded heartbeat is reused for links that open meanwhile.
REUSE_HEARTBEAT_S = 0.1

#: Minimum seconds between two messages with loads that changed. Requests that are sent
#: meanwhile, by instances that do not know of each other's, meet at the same targets.
LOADS_INTERVAL_S = 0.1

#: Unsent bytes on a link above which it gets no heartbeat: the next one replaces it.
#: Well under what pauses the writing, so that a round waits for no link.
MAX_UNSENT_BYTES = 1 << 13

#: Minimum seconds between two pings of a link, on which nothing else comes back, and
#: seconds after which a ping without an answer ends it.
PING_INTERVAL_S = 0.6
PING_TIMEOUT_S = 1.0


@dataclass(kw_only=True, eq=False)
class PeerLink:
    """An open link on which heartbeats are sent."""

    connection: Connection
    #: Where the peer listens, `IP:PORT`.
    address: str
    #: Whether this instance dialled it, and sees to it that it lives.
    is_dialled: bool = True
    #: What was last asked for on a dialled link.
    subscription: Subscription | None = None
    #: Whether the peer, a hub, takes the loads in messages of their own.
    takes_updates: bool = False
    #: Whether the last update on it had loads, and the revision of these.
    has_reported_loads: bool = False
    reported_loads: int = -1
    #: Whether requests run at a subscriber.
    is_busy: bool = False
    #: What a subscriber that wants reports was told; `None` for others.
    told: Revisions | None = None
    #: When the last reports on data centres were sent, and the revision of the members
    #: that they held.
    reported_at: float = float("-inf")
    reported_revision: int = -1
    #: Since when heartbeats are left out, as earlier bytes are still unsent.
    saturated_at: float | None = None
    #: When the last ping was sent, and the future of its answer.
    pinged_at: float = float("-inf")
    pong: asyncio.Future[float] | None = None


class HeartbeatSender:
    """Sends each round of heartbeats in one step of one task.

    Guards against a task, a timer and a wait for each link: in a large fleet these took
    more processor time than the callers' requests.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        members: MemberTable,
        state: MeshState,
        encode: Callable[[object], bytes],
        read_clock: Callable[[], float],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._data_centre = data_centre
        self._members = members
        self._state = state
        self._encode = encode
        self._read_clock = read_clock
        self._count_bytes = count_bytes
        self._changed = asyncio.Event()
        self._loads_changed = asyncio.Event()
        self._links: list[PeerLink] = []
        #: Whether this instance reports to other data centres.
        self.is_hub = False
        #: Heartbeats by whether they hold the loads, and reports by data centre, as
        #: encoded for this round, and when.
        self._heartbeats: dict[bool, bytes] = {}
        self._reports: dict[str, bytes] = {}
        #: Fleet reports by what their subscribers were told before, and what they are
        #: told by them; and the update of the own loads.
        self._fleet_reports: dict[Revisions, tuple[bytes, Revisions]] = {}
        self._target_changes: dict[int, bytes | None] = {}
        self._update: bytes | None = None
        self._fleet_loads: dict[int, tuple[bytes | None, int]] = {}
        self._encoded_at = float("-inf")

    def notify(self) -> None:
        """Send the next round now: something changed that peers should know at once."""
        self._changed.set()

    def notify_loads(self) -> None:
        """Send loads soon: some have changed."""
        self._loads_changed.set()

    def add(self, link: PeerLink) -> None:
        """Send heartbeats on a link from now on, the first one at once."""
        self._links.append(link)
        now = self._read_clock()
        if now - self._encoded_at > REUSE_HEARTBEAT_S or self._changed.is_set():
            self._begin_round(now)
        self._send(link, now)

    def remove(self, link: PeerLink) -> None:
        """Send no more on a link."""
        self._links.remove(link)

    def list_links(self) -> list[PeerLink]:
        """Return the links that are open."""
        return list(self._links)

    async def run(self) -> None:
        """Send rounds of heartbeats, until cancelled."""
        while True:
            self._changed.clear()
            now = self._read_clock()
            self._begin_round(now)
            for link in list(self._links):
                self._send(link, now)
                await self._check(link, now)
            await self._await_change(self._find_interval_s())
            early_s = now + MIN_HEARTBEAT_INTERVAL_S - self._read_clock()
            if early_s > 0:
                await asyncio.sleep(early_s)

    async def run_loads(self) -> None:
        """Send loads between the rounds to whoever plans with them, until cancelled.

        A subscriber sends its own to its hubs, a hub all others' to busy subscribers.
        """
        while True:
            await self._loads_changed.wait()
            self._loads_changed.clear()
            self._update = None
            self._fleet_loads.clear()
            for link in self._links:
                if link.saturated_at is None:
                    self._send_loads(link)
            await asyncio.sleep(LOADS_INTERVAL_S)

    def _send_loads(self, link: PeerLink) -> None:
        if link.takes_updates:
            if link.reported_loads != self._state.get_loads_revision():
                self._send_update(link)
            return
        if link.told is None or not link.is_busy or link.told.loads < 0:
            return
        data, revision = self._find_fleet_loads(link.told.loads)
        if data is not None:
            self._write(link, data)
        link.told = replace(link.told, loads=revision)

    def _find_fleet_loads(self, after: int) -> tuple[bytes | None, int]:
        """Return the loads for subscribers that were told so much, and what after."""
        if after not in self._fleet_loads:
            report, revision = self._state.make_fleet_loads(after)
            data = None if report is None else self._encode(report)
            self._fleet_loads[after] = data, revision
        return self._fleet_loads[after]

    def _find_interval_s(self) -> float:
        if self.is_hub or self._state.has_loads():
            return self._members.heartbeat_interval_s
        return self._members.idle_interval_s

    async def _await_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _begin_round(self, now: float) -> None:
        """Encode anew whatever is sent from now on."""
        self._encoded_at = now
        self._heartbeats.clear()
        self._reports.clear()
        self._fleet_reports.clear()
        self._target_changes.clear()
        self._update = None

    def _send(self, link: PeerLink, now: float) -> None:
        unsent = link.connection.transport.get_write_buffer_size()
        if unsent > MAX_UNSENT_BYTES:
            if link.saturated_at is None:
                link.saturated_at = now
                log_event("peer_link_saturated", peer=link.address, unsent=unsent)
            return
        link.saturated_at = None
        if link.told is not None:
            # The changes go first, so that the heartbeat does not make it ask for them.
            changes = self._find_target_changes(link.told.targets)
            if changes is not None:
                self._write(link, changes)
            data, link.told = self._find_fleet_report(link.told)
            self._write(link, data)
            return
        peer_centre = self._members.find_data_centre(link.address)
        self._write(link, self._find_heartbeat(link, peer_centre))
        if link.takes_updates:
            self._send_update(link)
        if self.is_hub and link.is_dialled:
            for data_centre in self._list_due_reports(link, peer_centre, now):
                self._write(link, self._find_report(data_centre))

    async def _check(self, link: PeerLink, now: float) -> None:
        """Ping a link now and then, and end one on which nothing gets through.

        Guards against a connection that fell silent without a reset: nothing but a
        missing answer shows it.
        """
        connection = link.connection
        if connection.protocol.state is not State.OPEN:
            return
        waits_since = link.saturated_at
        if link.pong is not None and not link.pong.done():
            waits_since = link.pinged_at
        if waits_since is None:
            if link.is_dialled and now - link.pinged_at >= PING_INTERVAL_S:
                # The link is open and not saturated: this waits for nothing.
                link.pong, link.pinged_at = await connection.ping(), now
        elif now - waits_since >= PING_TIMEOUT_S:
            log_event("peer_link_silent", peer=link.address, for_s=now - waits_since)
            connection.transport.abort()

    def _write(self, link: PeerLink, data: bytes) -> None:
        self._count_bytes("out", len(data))
        broadcast([link.connection], data)

    def _find_heartbeat(self, link: PeerLink, peer_centre: str | None) -> bytes:
        """Return the heartbeat for a link.

        Where there are many instances, each one's loads go to its own data centre
        only; the hubs report the sum to the others.
        """
        is_near = not self._members.is_large or peer_centre == self._data_centre
        has_loads = is_near and link.is_dialled and not link.takes_updates
        if has_loads not in self._heartbeats:
            heartbeat = self._state.make_heartbeat(has_loads=has_loads)
            self._heartbeats[has_loads] = self._encode(heartbeat)
        return self._heartbeats[has_loads]

    def _send_update(self, link: PeerLink) -> None:
        """Send the own loads while there are any, and once when there are none."""
        has_loads = self._state.has_loads()
        if has_loads or link.has_reported_loads:
            if self._update is None:
                self._update = self._encode(self._state.make_load_update())
            self._write(link, self._update)
        link.has_reported_loads = has_loads
        link.reported_loads = self._state.get_loads_revision()

    def _find_target_changes(self, after: int) -> bytes | None:
        """Return the changes of targets for subscribers that were told so much."""
        if after not in self._target_changes:
            changes = self._state.make_target_changes(after) if after >= 0 else None
            data = None if changes is None else self._encode(changes)
            self._target_changes[after] = data
        return self._target_changes[after]

    def _find_fleet_report(self, told: Revisions) -> tuple[bytes, Revisions]:
        """Return the report for subscribers that were told so much, and what after."""
        if told not in self._fleet_reports:
            report, now_told = self._state.make_fleet_report(told)
            self._fleet_reports[told] = self._encode(report), now_told
        return self._fleet_reports[told]

    def _find_report(self, data_centre: str) -> bytes:
        if data_centre not in self._reports:
            report = self._state.make_data_centre_report(data_centre)
            self._reports[data_centre] = self._encode(report)
        return self._reports[data_centre]

    def _list_due_reports(
        self, link: PeerLink, peer_centre: str | None, now: float
    ) -> list[str]:
        """Return the data centres to report on: the own one to others, others home."""
        revision = self._members.revision
        is_due = now - link.reported_at >= DATA_CENTRE_REPORT_INTERVAL_S
        if revision == link.reported_revision and not is_due:
            return []
        link.reported_at, link.reported_revision = now, revision
        if peer_centre != self._data_centre:
            return [self._data_centre]
        return sorted(self._members.list_data_centres() - {self._data_centre})
