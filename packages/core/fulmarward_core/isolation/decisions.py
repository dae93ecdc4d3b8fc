"""Choice of the targets that show whether a service is reached, and of relays."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import chain, zip_longest
from typing import TypeVar

from fulmarward_core.fleet import TargetRecord
from fulmarward_core.probing import choose_controls

_Item = TypeVar("_Item")

#: Targets of a service that are probed to find out whether any of them answers. Enough
#: that targets which fail together are not taken for an isolation of this instance.
SAMPLE_SIZE = 8


@dataclass(frozen=True, kw_only=True)
class RelayPeer:
    """A peer that callers are sent to, and so may be sent a request of theirs."""

    name: str
    data_centre: str
    #: `IP:PORT` for callers.
    address: str


def choose_sample(
    records: Sequence[TargetRecord],
    *,
    unreachable: frozenset[str],
    count: int,
    offset: int,
) -> list[TargetRecord]:
    """Return targets of a service to probe, spread over its data centres.

    The one that started last comes first: it is known to live. `unreachable` targets
    are chosen only if there are too few others; `offset` rotates the choice.
    """
    staying = [record for record in records if not record.is_leaving]
    if not staying:
        return []
    newest = max(staying, key=lambda record: (record.started_ms, record.name))
    others = choose_controls(
        staying,
        excluded={newest.name},
        suspected=unreachable,
        count=count - 1,
        offset=offset,
    )
    return [newest, *others]


def choose_relay_peers(
    peers: Sequence[RelayPeer],
    *,
    unreached: Collection[str],
    data_centre: str,
    count: int,
    offset: int,
) -> list[RelayPeer]:
    """Return the peers to relay a request to, in order.

    A peer nearby comes first, and the next ones are from other data centres: a cut
    often isolates a data centre as a whole. Peers that are known not to reach the
    service either (`unreached`) come last. `offset` rotates the choice, so that
    requests are spread over all peers nearby.
    """
    groups: dict[str, list[RelayPeer]] = {}
    for peer in sorted(peers, key=lambda peer: (peer.data_centre, peer.name)):
        groups.setdefault(peer.data_centre, []).append(peer)
    near = _rotate(groups.pop(data_centre, []), offset)
    others = [
        _rotate(group, offset) for group in _rotate(list(groups.values()), offset)
    ]
    ranks = zip_longest(near, *others)
    ranked = [peer for peer in chain(*ranks) if peer is not None]
    return sorted(ranked, key=lambda peer: peer.name in unreached)[:count]


def _rotate(items: list[_Item], offset: int) -> list[_Item]:
    start = offset % len(items) if items else 0
    return items[start:] + items[:start]
