"""Sends heartbeats and reports on all links in common rounds."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from websockets.asyncio.connection import Connection, broadcast
from websockets.protocol import State

from fulmarward.observability import log_event
from fulmarward_core.transit import TransitClock
from fulmarward_router._sockets import reset_connection
from fulmarward_router._supervision import log_failure
from fulmarward_router.mesh._demands import (
    SentReports,
    make_demand_encoder,
    make_team_encoder,
)
from fulmarward_router.mesh._eras import remove_eras
from fulmarward_router.mesh._members import (
    DATA_CENTRE_REPORT_INTERVAL_S,
    MemberTable,
)
from fulmarward_router.mesh._messages import SendTime, Subscription
from fulmarward_router.mesh._state import DemandScope, MeshState, Revisions

#: Minimum seconds between two rounds of heartbeats, so that a series of changes does
#: not saturate the links.
MIN_HEARTBEAT_INTERVAL_S = 0.05

#: Seconds for which an encoded heartbeat is reused for newly opened links.
REUSE_HEARTBEAT_S = 0.1

#: Minimum seconds between two messages with changed loads. In the meantime, instances
#: do not know of each other's new requests and may send them to the same targets.
LOADS_INTERVAL_S = 0.1

#: Unsent bytes on a link above which a heartbeat is skipped; the next one replaces it.
#: Well below the high-water mark of the write buffer, so that a round never blocks.
MAX_UNSENT_BYTES = 1 << 13

#: Minimum seconds between two pings of a link, on which a peer may send nothing but the
#: pongs, and seconds after which a link with an unanswered ping is aborted.
PING_INTERVAL_S = 0.6
PING_TIMEOUT_S = 1.0


@dataclass(kw_only=True, eq=False)
class PeerLink:
    """An open link on which heartbeats are sent."""

    connection: Connection
    #: The address at which the peer listens, `IP:PORT`.
    address: str
    #: Whether this instance dialled the link, and so checks that it is alive.
    is_dialled: bool = True
    #: Measures the transit of messages; `None` unless the peer reads `SendTime`.
    transit: TransitClock | None = None
    #: Whether the peer reads versions that name eras of the store.
    supports_eras: bool = False
    #: The last subscription sent on a dialled link.
    subscription: Subscription | None = None
    #: Whether the peer is a hub that expects loads in separate `LoadUpdate` messages.
    expects_load_updates: bool = False
    #: Whether the last load update on the link had loads, and their revision.
    has_reported_loads: bool = False
    reported_loads: int = -1
    #: Whether the subscriber has requests in flight.
    is_busy: bool = False
    #: The revisions that a subscriber to reports has; `None` for other peers.
    subscriber_revisions: Revisions | None = None
    #: What was sent about demand, and about teams.
    demands: SentReports = field(default_factory=SentReports)
    teams: SentReports = field(default_factory=SentReports)
    #: When the last reports on data centres were sent, and the members' revision in
    #: them.
    reported_at: float = float("-inf")
    reported_revision: int = -1
    #: Since when heartbeats are skipped because of unsent bytes.
    saturated_at: float | None = None
    #: When the last ping was sent, and the future of its pong.
    pinged_at: float = float("-inf")
    pong: asyncio.Future[float] | None = None


def make_send_time(transit: TransitClock, *, now: float) -> SendTime:
    """Return the message that says when those after it on the link were made.

    It reports the offset of the clocks, which `transit` notes as reported.
    The times are rounded so that a message never seems newer than it is.
    """
    offset_s = transit.find_offset_s(now=now)
    transit.has_reported |= offset_s is not None
    return SendTime(
        sent_ms=math.floor(now * 1000),
        offset_ms=None if offset_s is None else math.ceil(offset_s * 1000),
    )


class HeartbeatSender:
    """Sends heartbeats to all links from a single task.

    A task and a timer for each link took more processor time in a large fleet than the
    callers' requests.
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
        record_failure: Callable[..., object] = log_failure,
    ) -> None:
        #: Records an unforeseen error in a duty.
        self._record_failure = record_failure
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
        #: Messages encoded in this round: heartbeats by whether they have the loads and
        #: the eras of versions, and reports by data centre.
        self._heartbeats: dict[tuple[bool, bool], bytes] = {}
        self._reports: dict[str, bytes] = {}
        #: Fleet reports by the revisions that their subscribers had before and whether
        #: they have eras, with the revisions that the subscribers have afterwards.
        self._fleet_reports: dict[tuple[Revisions, bool], tuple[bytes, Revisions]] = {}
        self._target_changes: dict[tuple[int, bool], bytes | None] = {}
        self._load_update: bytes | None = None
        self._fleet_loads: dict[int, tuple[bytes | None, int]] = {}
        self._demands = make_demand_encoder(state=state, encode=encode)
        self._teams = make_team_encoder(state=state, encode=encode)
        self._encoded_at = float("-inf")

    def notify(self) -> None:
        """Start the next round now, to report an urgent change."""
        self._changed.set()

    def notify_loads(self) -> None:
        """Send the loads soon, as some have changed."""
        self._loads_changed.set()

    def add(self, link: PeerLink) -> None:
        """Start sending heartbeats on a link, the first one at once."""
        self._links.append(link)
        now = self._read_clock()
        if now - self._encoded_at > REUSE_HEARTBEAT_S or self._changed.is_set():
            self._begin_round(now)
        self._send(link, now)

    def remove(self, link: PeerLink) -> None:
        """Stop sending on a link."""
        self._links.remove(link)

    def list_links(self) -> list[PeerLink]:
        """Return the links that are open."""
        return list(self._links)

    async def run(self) -> None:
        """Send rounds of heartbeats until cancelled."""
        while True:
            self._changed.clear()
            now = self._read_clock()
            self._begin_round(now)
            for link in list(self._links):
                try:
                    self._send(link, now)
                    await self._check_liveness(link, now)
                except Exception as error:
                    self._record_failure("heartbeats", error, peer=link.address)
            await self._await_change(self._choose_interval_s())
            remaining_s = now + MIN_HEARTBEAT_INTERVAL_S - self._read_clock()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)

    async def run_loads(self) -> None:
        """Send changed loads between the rounds, until cancelled.

        A subscriber sends its own loads to its hubs, and a hub those of the fleet to
        its subscribers that have requests in flight.
        """
        while True:
            await self._loads_changed.wait()
            self._loads_changed.clear()
            self._load_update = None
            self._fleet_loads.clear()
            self._demands.clear()
            self._teams.clear()
            for link in self._links:
                if link.saturated_at is None:
                    self._try_send_loads(link)
            await asyncio.sleep(LOADS_INTERVAL_S)

    def _try_send_loads(self, link: PeerLink) -> None:
        """Send the loads on a link; an error leaves the other links alone."""
        try:
            self._send_loads(link)
            if link.expects_load_updates or link.is_busy:
                self._send_demands(link, self._read_clock())
        except Exception as error:
            self._record_failure("loads", error, peer=link.address)

    def _send_loads(self, link: PeerLink) -> None:
        if link.expects_load_updates:
            if link.reported_loads != self._state.get_loads_revision():
                self._send_load_update(link)
            return
        if (
            link.subscriber_revisions is None
            or not link.is_busy
            or link.subscriber_revisions.loads < 0
        ):
            return
        data, revision = self._encode_fleet_loads(link.subscriber_revisions.loads)
        if data is not None:
            self._send_bytes(link, data)
        link.subscriber_revisions = replace(link.subscriber_revisions, loads=revision)

    def _send_demands(
        self, link: PeerLink, now: float, *, has_send_time: bool = False
    ) -> None:
        """Send the demand and the uses of teams that are due on a link.

        Their age counts from the last `SendTime` on the link, so they need one of their
        own unless the round has sent one.
        """
        scopes = self._choose_demand_scopes(link)
        due = [
            *self._demands.encode_due(link.demands, scopes, now=now),
            *self._teams.encode_due(link.teams, scopes, now=now),
        ]
        if due and link.transit is not None and not has_send_time:
            self._send_time(link, now)
        for data in due:
            self._send_bytes(link, data)

    def _choose_demand_scopes(self, link: PeerLink) -> tuple[DemandScope, ...]:
        """Return whose demand a peer gets; the same as of the loads."""
        if link.subscriber_revisions is not None:
            return DemandScope.OWN_DATA_CENTRE, DemandScope.OTHER_DATA_CENTRES
        if not link.is_dialled:
            return ()
        if not self._members.is_large:
            return (DemandScope.INSTANCE,)
        if self._members.find_data_centre(link.address) != self._data_centre:
            return (DemandScope.OWN_DATA_CENTRE,) if self.is_hub else ()
        if self.is_hub:
            return DemandScope.INSTANCE, DemandScope.OTHER_DATA_CENTRES
        return (DemandScope.INSTANCE,)

    def _send_time(self, link: PeerLink, at: float) -> None:
        sent = make_send_time(link.transit, now=at)
        self._send_bytes(link, self._encode(sent))

    def _encode_fleet_loads(self, after: int) -> tuple[bytes | None, int]:
        """Return the encoded loads changed since a revision, and the new revision."""
        if after not in self._fleet_loads:
            report, revision = self._state.make_fleet_loads(after)
            data = None if report is None else self._encode(report)
            self._fleet_loads[after] = data, revision
        return self._fleet_loads[after]

    def _choose_interval_s(self) -> float:
        if self.is_hub or self._state.has_loads():
            return self._members.heartbeat_interval_s
        return self._members.idle_interval_s

    async def _await_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _begin_round(self, now: float) -> None:
        """Discard the messages encoded for the previous round."""
        self._encoded_at = now
        self._heartbeats.clear()
        self._reports.clear()
        self._fleet_reports.clear()
        self._target_changes.clear()
        self._load_update = None
        self._demands.clear()
        self._teams.clear()

    def _send(self, link: PeerLink, now: float) -> None:
        unsent = link.connection.transport.get_write_buffer_size()
        if unsent > MAX_UNSENT_BYTES:
            if link.saturated_at is None:
                link.saturated_at = now
                log_event("peer_link_saturated", peer=link.address, unsent=unsent)
            return
        link.saturated_at = None
        if link.transit is not None:
            # The time at which the messages were encoded, which may be some time ago.
            self._send_time(link, self._encoded_at)
        if link.subscriber_revisions is not None:
            # The changes precede the heartbeat, so that it does not trigger a fetch.
            changes = self._encode_target_changes(
                link.subscriber_revisions.targets, has_eras=link.supports_eras
            )
            if changes is not None:
                self._send_bytes(link, changes)
            data, link.subscriber_revisions = self._encode_fleet_report(
                link.subscriber_revisions, has_eras=link.supports_eras
            )
            self._send_bytes(link, data)
            self._send_demands(link, now, has_send_time=True)
            return
        peer_centre = self._members.find_data_centre(link.address)
        self._send_bytes(link, self._encode_heartbeat(link, peer_centre))
        if link.expects_load_updates:
            self._send_load_update(link)
        if self.is_hub and link.is_dialled:
            for data_centre in self._list_due_reports(link, peer_centre, now):
                self._send_bytes(link, self._encode_data_centre_report(data_centre))
        self._send_demands(link, now, has_send_time=True)

    async def _check_liveness(self, link: PeerLink, now: float) -> None:
        """Ping a link periodically, and abort it if it is silent.

        A connection may become silent without a reset; only a missing pong or bytes
        that stay unsent show it.
        """
        connection = link.connection
        if connection.protocol.state is not State.OPEN:
            return
        unanswered_since = link.saturated_at
        if link.pong is not None and not link.pong.done():
            unanswered_since = link.pinged_at
        if unanswered_since is None:
            if link.is_dialled and now - link.pinged_at >= PING_INTERVAL_S:
                # Does not block, as the link is open and not saturated.
                link.pong, link.pinged_at = await connection.ping(), now
        elif now - unanswered_since >= PING_TIMEOUT_S:
            log_event(
                "peer_link_timed_out", peer=link.address, for_s=now - unanswered_since
            )
            # Heartbeats in the send buffer would arrive long after they were sent.
            reset_connection(connection.transport)

    def _send_bytes(self, link: PeerLink, data: bytes) -> None:
        self._count_bytes("out", len(data))
        broadcast([link.connection], data)

    def _encode_heartbeat(self, link: PeerLink, peer_centre: str | None) -> bytes:
        """Return the encoded heartbeat for a link.

        In a large fleet, an instance sends its loads to its own data centre only; the
        hubs report the totals to the others.
        """
        is_near = not self._members.is_large or peer_centre == self._data_centre
        has_loads = is_near and link.is_dialled and not link.expects_load_updates
        key = has_loads, link.supports_eras
        if key not in self._heartbeats:
            heartbeat = self._state.make_heartbeat(has_loads=has_loads)
            self._heartbeats[key] = self._encode_versions(
                heartbeat, has_eras=link.supports_eras
            )
        return self._heartbeats[key]

    def _encode_versions(self, message: object, *, has_eras: bool) -> bytes:
        return self._encode(message if has_eras else remove_eras(message))

    def _send_load_update(self, link: PeerLink) -> None:
        """Send the own loads while there are any, and once when there are none."""
        has_loads = self._state.has_loads()
        if has_loads or link.has_reported_loads:
            if self._load_update is None:
                self._load_update = self._encode(self._state.make_load_update())
            self._send_bytes(link, self._load_update)
        link.has_reported_loads = has_loads
        link.reported_loads = self._state.get_loads_revision()

    def _encode_target_changes(self, after: int, *, has_eras: bool) -> bytes | None:
        """Return the encoded changes of targets after a version, `None` if unknown."""
        key = after, has_eras
        if key not in self._target_changes:
            changes = self._state.make_target_changes(after) if after >= 0 else None
            self._target_changes[key] = (
                None
                if changes is None
                else self._encode_versions(changes, has_eras=has_eras)
            )
        return self._target_changes[key]

    def _encode_fleet_report(
        self, known: Revisions, *, has_eras: bool
    ) -> tuple[bytes, Revisions]:
        """Return the encoded report of what changed after the revisions `known`, and
        the revisions that a subscriber has after it.
        """
        key = known, has_eras
        if key not in self._fleet_reports:
            report, revisions = self._state.make_fleet_report(known)
            data = self._encode_versions(report, has_eras=has_eras)
            self._fleet_reports[key] = data, revisions
        return self._fleet_reports[key]

    def _encode_data_centre_report(self, data_centre: str) -> bytes:
        if data_centre not in self._reports:
            report = self._state.make_data_centre_report(data_centre)
            self._reports[data_centre] = self._encode(report)
        return self._reports[data_centre]

    def _list_due_reports(
        self, link: PeerLink, peer_centre: str | None, now: float
    ) -> list[str]:
        """Return the data centres on which a report is due on a link.

        Other data centres get the report on this one, and this one those on all others.
        """
        revision = self._members.revision
        is_due = now - link.reported_at >= DATA_CENTRE_REPORT_INTERVAL_S
        if revision == link.reported_revision and not is_due:
            return []
        link.reported_at, link.reported_revision = now, revision
        if peer_centre != self._data_centre:
            return [self._data_centre]
        return sorted(self._members.list_data_centres() - {self._data_centre})
