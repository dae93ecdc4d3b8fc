"""The table of the other instances and of their last known states."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from fulmarward_core.overlay import (
    FULL_MESH,
    Node,
    choose_hubs,
    choose_links,
    choose_subscriptions,
)
from fulmarward_router.mesh._messages import (
    DataCentreAge,
    DataCentreReport,
    FleetReport,
    Heartbeat,
    InstanceIdentity,
    InstanceReport,
    MemberReport,
)

#: Seconds without a heartbeat after which no callers are sent to an instance.
FRESH_S = 1.3

#: Seconds between two heartbeats with up to `FULL_MESH` instances. It grows with more
#: instances, so that the cost of the heartbeats in a full mesh stays the same.
HEARTBEAT_INTERVAL_S = 0.3

#: Seconds between two heartbeats of a hub or of an instance that subscribes to hubs:
#: while it has requests in flight, and while it has none.
SUBSCRIBER_INTERVAL_S = 0.4
IDLE_SUBSCRIBER_INTERVAL_S = 0.6

#: Heartbeats that may be missed before an instance counts as silent.
_MAX_MISSED_HEARTBEATS = 3.0

#: Report intervals by which the state of an instance of another data centre may be
#: older: its hub waits for its heartbeat, and the hub here for the other hub's report.
_HUB_HOPS = 2.0

#: Seconds for which a hub dials the same few instances of a silent data centre.
TURN_S = 2.0

#: Seconds without a heartbeat after which an instance is removed and no longer dialled,
#: unless the store still lists it. Longer than a restart or a short partition.
FORGET_S = 45.0

#: Seconds for which an instance that is known but was not heard yet counts as alive in
#: the choice of links, so that instances that start together choose the same hubs.
NEW_DURATION_S = 2.0

#: Seconds between two reports of a hub on a data centre without changes.
DATA_CENTRE_REPORT_INTERVAL_S = 1.0


@dataclass(frozen=True, kw_only=True)
class MemberState:
    """The state that an instance reports of itself."""

    #: Whether callers may be sent to it.
    is_ready: bool
    #: Whether it is stopping.
    is_leaving: bool
    is_store_reachable: bool


@dataclass(frozen=True, kw_only=True)
class Member:
    """Another instance and its last known state."""

    identity: InstanceIdentity
    #: Its last state, `None` before the first one and after its link was lost.
    state: MemberState | None
    #: When it was last heard, or discovered; seconds on the monotonic clock.
    heard_at: float
    #: When it was last heard or its link was lost; of two reports, the newer one wins.
    noted_at: float
    #: Whether it was heard on a link of its own, and not through a hub.
    is_direct: bool = True
    #: Whether its streams indicate a slow target. Not part of its state, as it is not
    #: reported to other data centres.
    sees_slow_streams: bool = False

    @property
    def is_new(self) -> bool:
        """Whether it was discovered and neither heard nor lost since."""
        return self.state is None and self.heard_at == self.noted_at


@dataclass(frozen=True, kw_only=True)
class _View:
    """Data derived from the members, cached until one of them expires.

    It is not invalidated by heartbeats that report the same state as before.
    """

    #: The time span in which it is valid, seconds on the monotonic clock.
    since: float
    until: float
    #: Until when each live instance counts as fresh, by name.
    fresh: Mapping[str, float]
    #: Those that may act for the fleet, in order: not leaving and reach the store.
    duty_candidates: tuple[str, ...]
    #: Those and the new ones that were not heard yet, in order.
    presumed_candidates: tuple[str, ...]
    #: All other instances, as input of the choice of links.
    nodes: tuple[Node, ...]
    #: Peer addresses of the hubs that this instance subscribes to, in order.
    subscriptions: tuple[str, ...]
    #: Names of the hubs of all data centres.
    hubs: frozenset[str]


class MemberTable:
    """The table of all other instances, by name."""

    def __init__(self, *, own: InstanceIdentity) -> None:
        self._own = own
        self._members: dict[str, Member] = {}
        #: Number of others in the own data centre, and the data centre at each peer
        #: address; `None` after a change of the known instances until next used.
        self._nearby_count: int | None = None
        self._centre_by_address: dict[str, str] | None = None
        #: The cached view of the members, and the links and hubs chosen from it.
        self._cached_view: _View | None = None
        self._links: dict[tuple[bool, int], frozenset[str]] = {}
        self._hubs: dict[bool, bool] = {}
        #: Increases whenever an instance is added or removed, or changes its state.
        self.revision = 0
        #: The revision of the last change of each instance, and those last reported as
        #: alive.
        self._revision_by_name: dict[str, int] = {}
        self._reported_alive: frozenset[str] = frozenset()
        #: Start times of the instances that only receive on links that others dial.
        self._needs_dialling: dict[str, int] = {}
        #: Increases whenever an instance is lost, here or at a hub.
        self.lost_revision = 0
        #: Instances reported by a hub, and the time up to which its reports confirm
        #: each data centre.
        self._reported: dict[str, Member] = {}
        self._confirmed_at: dict[str, float] = {}

    def merge_members(
        self, identities: Iterable[InstanceIdentity], *, now: float
    ) -> None:
        """Add instances; a later start of an instance replaces an earlier one."""
        for item in identities:
            known = self._members.get(item.name)
            if item.name == self._own.name:
                continue
            if known is None or item.boot > known.identity.boot:
                self._set_member(
                    Member(identity=item, state=None, heard_at=now, noted_at=now)
                )

    def merge_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> None:
        """Merge a heartbeat; one of an earlier start is ignored."""
        name = heartbeat.sender.name
        known = self._members.get(name)
        is_older = known is not None and heartbeat.sender.boot < known.identity.boot
        if name == self._own.name or is_older:
            return
        state = MemberState(
            is_ready=heartbeat.is_ready,
            is_leaving=heartbeat.is_leaving,
            is_store_reachable=heartbeat.is_store_reachable,
        )
        self._set_member(
            Member(
                identity=heartbeat.sender,
                state=state,
                heard_at=now,
                noted_at=now,
                sees_slow_streams=heartbeat.sees_slow_streams,
            )
        )

    def merge_data_centre(self, report: DataCentreReport, *, now: float) -> bool:
        """Merge a hub's report; return whether it has instances unknown here."""
        has_unknown = False
        for item in report.instances:
            known = self._members.get(item.name)
            if item.name == self._own.name:
                continue
            if known is None or item.boot > known.identity.boot:
                has_unknown = True
                continue
            at = now - item.age_ms / 1000
            if item.boot < known.identity.boot or at <= known.noted_at:
                continue
            state = MemberState(
                is_ready=item.is_ready,
                is_leaving=item.is_leaving,
                is_store_reachable=item.is_store_reachable,
            )
            self._set_member(
                Member(
                    identity=known.identity,
                    state=state if item.is_alive else None,
                    heard_at=at if item.is_alive else known.heard_at,
                    noted_at=at,
                    is_direct=False,
                )
            )
        return has_unknown

    def merge_fleet_report(self, report: FleetReport, *, now: float) -> None:
        """Merge a hub's report on the fleet.

        The state of an instance that was heard on a link of its own takes precedence.
        """
        if report.is_full:
            listed = {item.identity.name for item in report.members}
            for name in self._reported.keys() - listed:
                self._merge_reported(replace(self._reported[name], state=None), now)
        for item in report.members:
            if item.identity.name == self._own.name:
                continue
            state = MemberState(
                is_ready=item.is_ready,
                is_leaving=item.is_leaving,
                is_store_reachable=item.is_store_reachable,
            )
            member = Member(
                identity=item.identity,
                state=state if item.is_alive else None,
                heard_at=now,
                noted_at=now,
                is_direct=False,
            )
            self._merge_reported(member, now)
        for age in report.ages:
            at = now - age.age_ms / 1000
            known_at = self._confirmed_at.get(age.data_centre, float("-inf"))
            self._confirmed_at[age.data_centre] = max(known_at, at)

    def _merge_reported(self, member: Member, now: float) -> None:
        """Merge the reported state of an instance, which applies unless it is heard."""
        name = member.identity.name
        known = self._members.get(name)
        if known is not None and known.identity.boot > member.identity.boot:
            return
        reported = self._reported.get(name)
        if member.state is None and (reported is None or reported.state is not None):
            self.lost_revision += 1
        self._reported[name] = member
        if member.state is None and reported is not None and reported.state is None:
            # A full report repeats the loss, which heartbeats may have refuted since.
            self._reported[name] = replace(member, noted_at=reported.noted_at)
        is_same_start = known is not None and known.identity == member.identity
        if is_same_start and known.is_direct and now <= known.heard_at + self.fresh_s:
            return
        self._set_member(member)

    def _apply_reported(self, now: float) -> None:
        """Apply the reported states of instances that are no longer heard directly."""
        for name, member in list(self._members.items()):
            reported = self._reported.get(name)
            is_silent = member.state is None or now > member.heard_at + self.fresh_s
            if (
                reported is not None
                and member.is_direct
                and is_silent
                and reported.identity == member.identity
            ):
                self._set_member(replace(reported, noted_at=member.noted_at))

    def clear_reported(self) -> None:
        """Drop what hubs reported, as this instance subscribes to none any more."""
        self._reported.clear()

    def report_changes(self, *, after: int, now: float) -> tuple[MemberReport, ...]:
        """Return the reports on the instances that changed after a revision."""
        fresh = self._update_fresh(now)
        return tuple(
            _report_to_subscriber(self._members[name], is_fresh=name in fresh)
            for name, revision in self._revision_by_name.items()
            if revision > after and name in self._members
        )

    def _update_fresh(self, now: float) -> Mapping[str, float]:
        """Return the fresh instances; record those that became fresh or silent."""
        fresh = self._find_view(now).fresh
        if fresh.keys() != self._reported_alive:
            for name in fresh.keys() ^ self._reported_alive:
                self._record_change(name)
            self._reported_alive = frozenset(fresh)
        return fresh

    def _record_change(self, name: str) -> None:
        self.revision += 1
        self._revision_by_name[name] = self.revision

    def report_ages(self, *, now: float) -> tuple[DataCentreAge, ...]:
        """Return the time since each data centre was last heard."""
        heard_at: dict[str, float] = {self._own.data_centre: now}
        for member in self._members.values():
            centre = member.identity.data_centre
            if member.state is not None and member.heard_at > heard_at.get(centre, 0.0):
                heard_at[centre] = member.heard_at
        return tuple(
            DataCentreAge(data_centre=centre, age_ms=max(0, int((now - at) * 1000)))
            for centre, at in heard_at.items()
        )

    def record_needs_dialling(self, name: str, boot: int, *, is_needed: bool) -> None:
        """Record whether an instance only receives on links that others dial."""
        if is_needed == (self._needs_dialling.get(name) == boot):
            return
        if is_needed:
            self._needs_dialling[name] = boot
        else:
            del self._needs_dialling[name]
        self._cached_view = None

    def report_members(
        self, data_centre: str, *, now: float
    ) -> tuple[InstanceReport, ...]:
        """Return the reports on the other instances of a data centre."""
        fresh = self._find_view(now).fresh
        return tuple(
            _report_member(member, is_fresh=member.identity.name in fresh, now=now)
            for member in self._members.values()
            if member.identity.data_centre == data_centre
        )

    def _set_member(self, member: Member) -> None:
        known = self._members.get(member.identity.name)
        self._members[member.identity.name] = member
        is_same = known is not None and known.identity == member.identity
        if not is_same:
            self._invalidate_counts()
        elif (
            known.state != member.state
            or known.is_direct != member.is_direct
            or not self._is_in_view(member)
        ):
            self._cached_view = None
        if not is_same or known.state != member.state:
            self._record_change(member.identity.name)

    def _invalidate_counts(self) -> None:
        """Discard what is computed over all instances, until it is next used.

        To compute it for each heartbeat on each link took a tenth of an instance's
        calls in a large fleet, while the known instances rarely change.
        """
        self._nearby_count = None
        self._centre_by_address = None
        self._cached_view = None

    def _is_in_view(self, member: Member) -> bool:
        view = self._cached_view
        return view is not None and member.identity.name in view.fresh

    def note_link_lost(self, name: str, *, now: float) -> None:
        """Mark an instance whose link has ended as silent until it is heard again.

        A killed instance would otherwise stay in the lookup for several heartbeats, and
        callers would fail to connect to it.
        """
        known = self._members.get(name)
        if known is not None:
            self._set_member(replace(known, state=None, noted_at=now))
            self.lost_revision += 1

    @property
    def is_large(self) -> bool:
        """Whether there are too many instances for a full mesh."""
        return len(self._members) >= FULL_MESH

    @property
    def has_hubs(self) -> bool:
        """Whether the instances of this data centre are linked through hubs."""
        return self.is_large and self._count_nearby() >= FULL_MESH

    @property
    def heartbeat_interval_s(self) -> float:
        """Seconds between two heartbeats on a link while requests are in flight."""
        linked = len(self._members)
        if linked >= FULL_MESH:
            linked = self._count_nearby()
            if linked >= FULL_MESH:
                return SUBSCRIBER_INTERVAL_S
        return HEARTBEAT_INTERVAL_S * max(1.0, (linked + 1) / FULL_MESH)

    @property
    def idle_interval_s(self) -> float:
        """Seconds between two heartbeats on a link while no request is in flight."""
        return (
            IDLE_SUBSCRIBER_INTERVAL_S if self.has_hubs else self.heartbeat_interval_s
        )

    def _count_nearby(self) -> int:
        """Return the number of other instances in the own data centre."""
        if self._nearby_count is None:
            own_centre = self._own.data_centre
            members = self._members.values()
            self._nearby_count = sum(
                m.identity.data_centre == own_centre for m in members
            )
        return self._nearby_count

    @property
    def fresh_s(self) -> float:
        """Seconds without a heartbeat after which an instance counts as silent."""
        return max(FRESH_S, _MAX_MISSED_HEARTBEATS * self.idle_interval_s)

    def has_ended(self, name: str, boot: int) -> bool:
        """Return whether a later start of an instance than `boot` is known."""
        if name == self._own.name:
            return boot < self._own.boot
        known = self._members.get(name)
        return known is not None and boot < known.identity.boot

    def find_data_centre(self, peer_address: str) -> str | None:
        """Return the data centre of a peer address, `None` if it is unknown."""
        if self._centre_by_address is None:
            self._centre_by_address = {}
            for member in self._members.values():
                identity = member.identity
                self._centre_by_address.setdefault(
                    identity.peer_address, identity.data_centre
                )
        return self._centre_by_address.get(peer_address)

    def find_address(self, name: str) -> str:
        """Return the peer address of an instance, empty if it is unknown."""
        known = self._members.get(name)
        return "" if known is None else known.identity.peer_address

    def _find_view(self, now: float) -> _View:
        view = self._cached_view
        if view is None or not view.since <= now <= view.until:
            view = self._cached_view = self._make_view(now)
            self._links.clear()
            self._hubs.clear()
        return view

    def _make_view(self, now: float) -> _View:
        self._apply_reported(now)
        direct_s = self.fresh_s
        indirect_s = direct_s + _HUB_HOPS * DATA_CENTRE_REPORT_INTERVAL_S
        ends = {
            name: self._find_confirmed_at(member)
            + (direct_s if member.is_direct else indirect_s)
            for name, member in self._members.items()
            if member.state is not None
        }
        fresh = {name: end for name, end in ends.items() if now <= end}
        staying = {name for name in fresh if not self._members[name].state.is_leaving}
        new = {
            name: member.heard_at + NEW_DURATION_S
            for name, member in self._members.items()
            if member.is_new and now <= member.heard_at + NEW_DURATION_S
        }
        nodes = tuple(
            Node(
                name=name,
                data_centre=member.identity.data_centre,
                is_alive=name in staying or name in new,
                needs_dialling=self._needs_dialling.get(name) == member.identity.boot,
            )
            for name, member in self._members.items()
        )
        own = self._make_own_node(True)
        subscriptions = choose_subscriptions(own, nodes)
        hubs = {
            hub
            for centre in {node.data_centre for node in nodes}
            for hub in choose_hubs([*nodes, own], centre)
        }
        duty_candidates = {
            n for n in staying if self._members[n].state.is_store_reachable
        }
        return _View(
            since=now,
            until=min([*fresh.values(), *new.values()], default=float("inf")),
            fresh=fresh,
            duty_candidates=tuple(sorted(duty_candidates)),
            presumed_candidates=tuple(sorted(duty_candidates.union(new))),
            nodes=nodes,
            hubs=frozenset(hubs),
            subscriptions=tuple(
                self._members[name].identity.peer_address for name in subscriptions
            ),
        )

    def _find_confirmed_at(self, member: Member) -> float:
        """Return the time up to which the state of an instance is confirmed."""
        if member.is_direct:
            return member.heard_at
        centre = member.identity.data_centre
        return max(member.heard_at, self._confirmed_at.get(centre, float("-inf")))

    def list_nodes(self, *, now: float) -> tuple[Node, ...]:
        """Return all other instances, as input of the choice of links."""
        return self._find_view(now).nodes

    def list_duty_candidates(self, *, now: float) -> tuple[str, ...]:
        """Return the names of other instances that may act for the fleet, in order."""
        return self._find_view(now).duty_candidates

    def list_presumed_candidates(self, *, now: float) -> tuple[str, ...]:
        """Return the duty candidates and new instances not heard yet, in order."""
        return self._find_view(now).presumed_candidates

    def list_links(self, *, may_be_hub: bool, now: float) -> frozenset[str]:
        """Return the peer addresses that this instance maintains links to."""
        nodes, key = self.list_nodes(now=now), (may_be_hub, int(now / TURN_S))
        if key not in self._links:
            names = choose_links(self._make_own_node(may_be_hub), nodes, turn=key[1])
            self._links[key] = frozenset(
                self._members[name].identity.peer_address for name in names
            )
        return self._links[key]

    def list_subscriptions(self, *, now: float) -> tuple[str, ...]:
        """Return the peer addresses of the hubs to subscribe to.

        The first one sends fleet reports.
        """
        return self._find_view(now).subscriptions

    def is_hub(self, *, may_be_hub: bool, now: float) -> bool:
        """Return whether this instance reports its data centre to others."""
        nodes = self.list_nodes(now=now)
        if may_be_hub not in self._hubs:
            own = self._make_own_node(may_be_hub)
            hubs = choose_hubs([*nodes, own], own.data_centre)
            self._hubs[may_be_hub] = self.is_large and own.name in hubs
        return self._hubs[may_be_hub]

    def _make_own_node(self, may_be_hub: bool) -> Node:
        return Node(
            name=self._own.name,
            data_centre=self._own.data_centre,
            is_alive=may_be_hub,
        )

    def has_duty(self, name: str, *, now: float) -> bool:
        """Return whether an instance is a hub, and so has duties for a large fleet.

        Readers of the store and the lease holder are chosen by name, as hubs are.
        """
        return self.is_large and name in self._find_view(now).hubs

    def is_first_in_data_centre(self, *, now: float) -> bool:
        """Return whether this instance is the first by name in its data centre."""
        nodes = [*self.list_nodes(now=now), self._make_own_node(True)]
        return choose_hubs(nodes, self._own.data_centre)[0] == self._own.name

    def is_first_ready_in_data_centre(self, *, now: float) -> bool:
        """Return whether no ready instance of the data centre comes before this one."""
        return not any(
            member.identity.data_centre == self._own.data_centre
            and member.identity.name < self._own.name
            for member in self.list_ready(now=now)
        )

    def sees_slow_streams(self, *, now: float) -> bool:
        """Return whether streams of an instance here indicate a slow target."""
        return any(
            member.sees_slow_streams
            for member in self.list_fresh(now=now)
            if member.identity.data_centre == self._own.data_centre
        )

    def follows_hubs(self, *, now: float) -> bool:
        """Return whether hubs report the other instances to this one."""
        view = self._find_view(now)
        return bool(view.subscriptions) and bool(self._reported)

    def list_data_centres(self) -> frozenset[str]:
        """Return the data centres of the other instances."""
        return frozenset(m.identity.data_centre for m in self._members.values())

    def forget_silent(self, *, now: float) -> None:
        """Remove the instances that have been silent for `FORGET_S`."""
        for name, member in list(self._members.items()):
            if now - self._find_confirmed_at(member) > FORGET_S:
                del self._members[name]
                self._revision_by_name.pop(name, None)
                self._reported.pop(name, None)
                self._needs_dialling.pop(name, None)
                self._invalidate_counts()
                self.revision += 1

    def list_all(self) -> list[Member]:
        """Return all known instances, including silent ones."""
        return list(self._members.values())

    def list_fresh(self, *, now: float) -> list[Member]:
        """Return the instances that were heard lately."""
        return [self._members[name] for name in self._find_view(now).fresh]

    def list_fresh_data_centres(self, *, now: float) -> frozenset[str]:
        """Return the data centres with an instance that was heard recently."""
        return frozenset(m.identity.data_centre for m in self.list_fresh(now=now))

    def list_ready(self, *, now: float) -> list[Member]:
        """Return the instances that callers may be sent to."""
        fresh = self.list_fresh(now=now)
        return [m for m in fresh if m.state.is_ready and not m.state.is_leaving]

    def list_lost(self) -> frozenset[str]:
        """Return those that a hub reported as lost and no heartbeat confirmed since.

        Those that are not heard on links of their own are not ready any more, and are
        left out.
        """
        return frozenset(
            name
            for name, reported in self._reported.items()
            if reported.state is None
            and name in self._members
            and self._members[name].state is not None
            and self._members[name].identity == reported.identity
            and self._members[name].heard_at < reported.noted_at
        )

    def list_staying(self, *, now: float) -> list[Member]:
        """Return the instances that were heard lately and are not leaving."""
        return [m for m in self.list_fresh(now=now) if not m.state.is_leaving]

    def list_owner_candidates(self, *, is_own_staying: bool, now: float) -> set[str]:
        """Return the names of the instances that keep what the whole fleet shares.

        In a large fleet these are the hubs, which every instance reaches.
        """
        names = {member.identity.name for member in self.list_staying(now=now)}
        if is_own_staying:
            names.add(self._own.name)
        if not self.is_large:
            return names
        return names & self._find_view(now).hubs or names

    def find_reachable_share(self, *, now: float) -> float:
        """Return which share of the instances that did not leave is still heard.

        Below 1, others may be cut off from this instance and go on by themselves.
        """
        known = sum(
            member.state is not None and not member.state.is_leaving
            for member in self._members.values()
        )
        return (1 + len(self.list_staying(now=now))) / (1 + known)

    def count_known(self) -> int:
        """Return the number of instances ever heard of, including this one."""
        return 1 + len(self._members)

    def count_instances(self, *, now: float) -> int:
        """Return the number of live instances, including this one."""
        return 1 + len(self._find_view(now).fresh)


def _report_to_subscriber(member: Member, *, is_fresh: bool) -> MemberReport:
    state = member.state
    is_alive = is_fresh and state is not None
    return MemberReport(
        identity=member.identity,
        is_alive=is_alive,
        is_ready=is_alive and state.is_ready,
        is_leaving=is_alive and state.is_leaving,
        is_store_reachable=is_alive and state.is_store_reachable,
    )


def _report_member(member: Member, *, is_fresh: bool, now: float) -> InstanceReport:
    state = member.state
    is_alive = is_fresh and state is not None
    return InstanceReport(
        name=member.identity.name,
        boot=member.identity.boot,
        age_ms=max(0, int((now - member.noted_at) * 1000)),
        is_alive=is_alive,
        is_ready=is_alive and state.is_ready,
        is_leaving=is_alive and state.is_leaving,
        is_store_reachable=is_alive and state.is_store_reachable,
    )
