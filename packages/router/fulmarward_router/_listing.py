"""Selects the instances that lookups return, and computes each instance's share."""

from collections.abc import Callable
from dataclasses import dataclass

from fulmarward.observability import log_event
from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.isolation import RelayPeer
from fulmarward_core.listing import Candidate, choose_listed
from fulmarward_core.loads import LoadLedger
from fulmarward_core.quotas import compute_share
from fulmarward_core.rendezvous import is_among_first
from fulmarward_router.mesh import InstanceIdentity, MemberTable

#: Instances of each data centre that observe a target on behalf of the others. With a
#: single one, a pause of it would delay what all others know of the target.
OBSERVERS = 2

#: Upper bound on the targets whose observers are cached.
MAX_OBSERVED = 8192

#: Seconds for which lists are cached, since many callers look up at the same time.
LIST_DURATION_S = 0.25


@dataclass(frozen=True, kw_only=True)
class _Lists:
    """The lists of all data centres at one point in time."""

    at: float
    addresses: dict[str, list[str]]
    #: Union of the addresses on all lists.
    listed: frozenset[str]
    #: Number of all instances, including this one.
    instances: int
    #: Revision of the losses of instances that it includes.
    lost_revision: int


class CallerListing:
    """Lists ready instances for callers: more of them when more requests run."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        catalogue: TargetCatalogue,
        ledger: LoadLedger,
        is_ready: Callable[[], bool],
        is_isolated: Callable[[], bool],
        read_clock: Callable[[], float],
        leaves_out_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        #: Returns whether instances are left out as soon as a hub has lost them.
        self._leaves_out_lost = leaves_out_lost
        self._own = own
        self._members = members
        self._catalogue = catalogue
        self._ledger = ledger
        self._is_ready = is_ready
        self._is_isolated = is_isolated
        self._read_clock = read_clock
        self._lists: _Lists | None = None
        #: Whether this instance observes a target, by its name, and the listed
        #: addresses by which that was chosen.
        self._is_observer_of: dict[str, bool] = {}
        self._observers_listed: list[str] = []

    def list_addresses(self, data_centre: str) -> list[str]:
        """Return the addresses that a lookup from a data centre returns."""
        lists = self._get_lists()
        if data_centre not in lists.addresses:
            now = self._read_clock()
            return self._choose(self._list_candidates(now), data_centre, 0)
        return lists.addresses[data_centre]

    def list_relay_peers(self) -> list[RelayPeer]:
        """Return the peers that callers are sent to, for requests of this one's."""
        listed = self._get_lists().listed
        return [
            RelayPeer(
                name=member.identity.name,
                data_centre=member.identity.data_centre,
                address=member.identity.caller_address,
            )
            for member in self._members.list_ready(now=self._read_clock())
            if member.identity.caller_address in listed
        ]

    def list_peer_addresses(self) -> frozenset[str]:
        """Return the peer addresses of the others that callers are sent to."""
        listed = self._get_lists().listed
        return frozenset(
            member.identity.peer_address
            for member in self._members.list_ready(now=self._read_clock())
            if member.identity.caller_address in listed
        )

    def count_listed(self) -> int:
        """Return how many instances are on any list."""
        return max(1, len(self._get_lists().listed))

    def is_own_listed(self) -> bool:
        """Return whether callers are sent to this instance."""
        return self._own.caller_address in self._get_lists().listed

    def is_observer(self, target: str) -> bool:
        """Return whether this instance probes a target on behalf of others.

        In a large fleet, a few listed instances of each data centre do so: their own
        requests give them evidence on most targets anyway. Guards against a failed
        target that is probed by each instance.
        """
        if not self._members.is_large:
            return True
        listed = self._get_lists().addresses.get(self._own.data_centre, [])
        if listed != self._observers_listed or len(self._is_observer_of) > MAX_OBSERVED:
            self._observers_listed = listed
            self._is_observer_of.clear()
        if target not in self._is_observer_of:
            self._is_observer_of[target] = is_among_first(
                target,
                own=self._own.caller_address,
                instances=listed,
                count=OBSERVERS,
            )
        return self._is_observer_of[target]

    def find_share(self) -> float:
        """Return this instance's share of the quotas that all instances share."""
        lists = self._get_lists()
        return compute_share(
            is_listed=self.is_own_listed(),
            listed=len(lists.listed),
            instances=lists.instances,
        )

    def _get_lists(self) -> _Lists:
        now = self._read_clock()
        if self._lists is None or self._is_outdated(self._lists, now):
            previous = self._lists
            self._lists = self._build_lists(now)
            if previous is None or previous.listed != self._lists.listed:
                self._log_change(self._lists)
        return self._lists

    def _is_outdated(self, lists: _Lists, now: float) -> bool:
        if now - lists.at > LIST_DURATION_S:
            return True
        is_changed = lists.lost_revision != self._members.lost_revision
        return is_changed and self._leaves_out_lost()

    def _log_change(self, lists: _Lists) -> None:
        """Log how many instances are listed, and whether this one is."""
        log_event(
            "listing_changed",
            is_listed=self._own.caller_address in lists.listed,
            listed=len(lists.listed),
            instances=lists.instances,
        )

    def _build_lists(self, now: float) -> _Lists:
        candidates = self._list_candidates(now)
        open_requests = self._count_open(now)
        addresses = {
            data_centre: self._choose(
                candidates, data_centre, open_requests.get(data_centre, 0)
            )
            for data_centre in {item.data_centre for item in candidates}
        }
        return _Lists(
            at=now,
            addresses=addresses,
            listed=frozenset(item for each in addresses.values() for item in each),
            instances=self._members.count_instances(now=now),
            lost_revision=self._members.lost_revision,
        )

    def _list_candidates(self, now: float) -> list[Candidate]:
        ready = [member.identity for member in self._members.list_ready(now=now)]
        if self._is_ready() and not self._is_isolated():
            ready.append(self._own)
        elif self._is_ready() and not ready:
            # Without any instance that reaches targets, callers learn from all of them
            # when to return.
            staying = self._members.list_staying(now=now)
            ready = [self._own, *(member.identity for member in staying)]
        lost = self._members.list_lost() if self._leaves_out_lost() else ()
        return [
            Candidate(
                name=item.name,
                data_centre=item.data_centre,
                address=item.caller_address,
                has_duty=self._members.has_duty(item.name, now=now),
                is_lost=item.name in lost,
            )
            for item in ready
        ]

    def _choose(
        self, candidates: list[Candidate], data_centre: str, open_requests: int
    ) -> list[str]:
        return choose_listed(
            candidates, data_centre=data_centre, open_requests=open_requests
        )

    def _count_open(self, now: float) -> dict[str, int]:
        """Return the known number of requests in flight in each data centre."""
        loads = self._ledger.sum_loads(now=now)
        counts: dict[str, int] = {}
        for record in self._catalogue.list_targets(now=now):
            load = loads.get(record.name)
            if load is not None:
                count = counts.get(record.data_centre, 0)
                counts[record.data_centre] = count + load.first_running
        return counts
