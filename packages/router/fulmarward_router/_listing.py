"""Which instances callers are sent to, and what share of the fleet that gives each."""

from collections.abc import Callable
from dataclasses import dataclass

from fulmarward_core.catalogue import TargetCatalogue
from fulmarward_core.listing import Candidate, choose_listed
from fulmarward_core.loads import LoadLedger
from fulmarward_core.quotas import compute_share
from fulmarward_router.mesh import InstanceIdentity, MemberTable

#: Seconds for which a list is given out again: many callers ask at the same time.
LIST_DURATION_S = 0.25


@dataclass(frozen=True, kw_only=True)
class _Lists:
    """The lists of all data centres, as of a time."""

    at: float
    addresses: dict[str, list[str]]
    #: Addresses on any of them.
    listed: frozenset[str]
    #: All instances, this one included.
    instances: int


class CallerListing:
    """Lists instances for callers, by who is ready and how many requests run."""

    def __init__(
        self,
        *,
        own: InstanceIdentity,
        members: MemberTable,
        catalogue: TargetCatalogue,
        ledger: LoadLedger,
        is_ready: Callable[[], bool],
        read_clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._members = members
        self._catalogue = catalogue
        self._ledger = ledger
        self._is_ready = is_ready
        self._read_clock = read_clock
        self._lists: _Lists | None = None

    def list_addresses(self, data_centre: str) -> list[str]:
        """Return the addresses to give to a caller in a data centre."""
        lists = self._find_lists()
        if data_centre not in lists.addresses:
            now = self._read_clock()
            return self._choose(self._list_candidates(now), data_centre, 0)
        return lists.addresses[data_centre]

    def count_listed(self) -> int:
        """Return how many instances callers are sent to."""
        return max(1, len(self._find_lists().listed))

    def find_share(self) -> float:
        """Return the share of this instance in what all use together."""
        lists = self._find_lists()
        return compute_share(
            is_listed=self._own.caller_address in lists.listed,
            listed=len(lists.listed),
            instances=lists.instances,
        )

    def _find_lists(self) -> _Lists:
        now = self._read_clock()
        if self._lists is None or now - self._lists.at > LIST_DURATION_S:
            self._lists = self._make_lists(now)
        return self._lists

    def _make_lists(self, now: float) -> _Lists:
        candidates = self._list_candidates(now)
        open_requests = self._count_open(now)
        addresses = {
            centre: self._choose(candidates, centre, open_requests.get(centre, 0))
            for centre in {item.data_centre for item in candidates}
        }
        return _Lists(
            at=now,
            addresses=addresses,
            listed=frozenset(item for its in addresses.values() for item in its),
            instances=self._members.count_instances(now=now),
        )

    def _list_candidates(self, now: float) -> list[Candidate]:
        ready = [member.identity for member in self._members.list_ready(now=now)]
        if self._is_ready():
            ready.append(self._own)
        return [
            Candidate(
                name=item.name,
                data_centre=item.data_centre,
                address=item.caller_address,
                has_duty=self._members.has_duty(item.name, now=now),
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
        """Return how many requests run in each data centre, as far as known."""
        loads = self._ledger.sum_loads(now=now)
        counts: dict[str, int] = {}
        for record in self._catalogue.list_targets(now=now):
            load = loads.get(record.name)
            if load is not None:
                known = counts.get(record.data_centre, 0)
                counts[record.data_centre] = known + load.first_running
        return counts
