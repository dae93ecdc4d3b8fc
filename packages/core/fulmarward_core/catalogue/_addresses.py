"""Which targets have lost their address to another one.

An address belongs to one process at a time. A target whose address another one has
taken since it last wrote its row has ended.
"""

from collections import defaultdict
from dataclasses import dataclass

from fulmarward_core.fleet import TargetRecord


@dataclass(frozen=True, kw_only=True)
class _Holder:
    """A target that is listed at an address."""

    address: str
    process: str
    #: Versions of the first row of its process, and of its latest row.
    first_version: int
    version: int


class AddressTable:
    """The addresses of the listed targets."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        #: Names of the targets at each address.
        self._names: defaultdict[str, set[str]] = defaultdict(set)
        #: The version of the latest row of each superseded target.
        self._superseded: dict[str, int] = {}
        #: Changes since the last call of `take_changes`.
        self._new_superseded: dict[str, str] = {}
        self._new_regained: set[str] = set()

    def is_superseded(self, name: str) -> bool:
        """Return whether another target has taken the address of a target."""
        return name in self._superseded

    def is_taken(self, address: str) -> bool:
        """Return whether a target that was not superseded has an address."""
        names = self._names.get(address, ())
        return any(name not in self._superseded for name in names)

    def holds_address(self, name: str) -> bool:
        """Return whether a target was applied with an address."""
        return name in self._holders

    def take_changes(self) -> tuple[dict[str, str], set[str]]:
        """Return what has changed since the last call.

        That is the targets that were superseded, each with its successor, and those
        that no longer count as such.
        """
        changes = self._new_superseded, self._new_regained
        self._new_superseded, self._new_regained = {}, set()
        return changes

    def apply(self, name: str, record: TargetRecord | None, *, version: int) -> None:
        """Apply the newer row of a target, without a `record` if it was removed."""
        known = self._holders.pop(name, None)
        if known is not None:
            self._remove_name(name, known.address)
        if record is None:
            return
        is_same = known is not None and known.process == record.process_name
        self._holders[name] = _Holder(
            address=record.address,
            process=record.process_name,
            first_version=known.first_version if is_same else version,
            version=version,
        )
        self._names[record.address].add(name)
        self._compare(name)

    def forget(self, name: str) -> None:
        """Forget a target that is not listed any more."""
        self._superseded.pop(name, None)

    def _remove_name(self, name: str, address: str) -> None:
        names = self._names[address]
        names.discard(name)
        if not names:
            del self._names[address]

    def _compare(self, name: str) -> None:
        """Compare a target that has written its row with the others at its address."""
        holder = self._holders[name]
        if self._superseded.get(name, holder.version) < holder.version:
            del self._superseded[name]
            self._new_regained.add(name)
        for other in self._names[holder.address] - {name}:
            for earlier, later in ((other, name), (name, other)):
                if self._holders[later].first_version > self._holders[earlier].version:
                    self._supersede(earlier, later)

    def _supersede(self, name: str, successor: str) -> None:
        if name not in self._superseded:
            self._new_superseded[name] = successor
            self._new_regained.discard(name)
        self._superseded[name] = self._holders[name].version
