"""Choice of the targets that show whether a service is reached, and of relays."""

from collections.abc import Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import TargetRecord
from fulmarward_core.probing import choose_controls

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
    peers: Sequence[RelayPeer], *, data_centre: str, count: int, offset: int
) -> list[RelayPeer]:
    """Return the peers to relay a request to, in order, those nearby first.

    `offset` rotates the choice, so that requests are spread over all peers nearby.
    """
    ordered: list[RelayPeer] = []
    for is_near in (True, False):
        group = sorted(
            (peer for peer in peers if (peer.data_centre == data_centre) is is_near),
            key=lambda peer: peer.name,
        )
        start = offset % len(group) if group else 0
        ordered += group[start:] + group[:start]
    return ordered[:count]
