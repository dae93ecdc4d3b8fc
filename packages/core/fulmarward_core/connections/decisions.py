"""What all callers together can make an instance hold, and whom it closes first."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

#: Share of the memory of a machine that the connections of callers may hold, and the
#: multiple of it that they may hold for a moment while all make progress.
MEMORY_SHARE = 0.125
HARD_FACTOR = 2

#: Descriptors that are kept for files, and the share of the others that connections of
#: callers may use: each open request needs one for its target too.
RESERVED_DESCRIPTORS = 200
DESCRIPTOR_SHARE = 0.5

#: Lower bound on the connections of callers, for a machine with few descriptors.
MIN_CONNECTIONS = 16

#: Seconds without progress after which a connection may be closed for what it holds.
MIN_IDLE_S = 1.0

#: Share of a limit down to which connections are closed once it is exceeded.
RELIEF_SHARE = 0.75


@dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Bounds on what the connections of callers hold, all ports together."""

    #: Bytes of heads, bodies and answers, in this process and in its sockets. Up to
    #: `HARD_FACTOR` times as many may be held while all connections make progress.
    held_bytes: int = 32 << 20
    connections: int = 2_000


@dataclass(frozen=True, kw_only=True)
class Holding:
    """What one connection holds."""

    key: Hashable
    held_bytes: int
    #: Seconds for which the caller has not done its part: sent on, or read.
    idle_s: float
    #: Whether its caller has done its part, and waits for an answer.
    is_served: bool = False


def make_limits(
    *, memory_bytes: int | None, descriptors: int | None
) -> ConnectionLimits:
    """Return the limits on a machine; `None` for what is not known of it."""
    limits = ConnectionLimits()
    held_bytes, connections = limits.held_bytes, limits.connections
    if memory_bytes is not None:
        held_bytes = int(memory_bytes * MEMORY_SHARE)
    if descriptors is not None:
        free = max(0, descriptors - RESERVED_DESCRIPTORS)
        connections = max(MIN_CONNECTIONS, int(free * DESCRIPTOR_SHARE))
    return ConnectionLimits(held_bytes=held_bytes, connections=connections)


def choose_closed(
    holdings: Iterable[Holding], *, limits: ConnectionLimits
) -> list[Hashable]:
    """Return the connections to close so that the others keep the limits.

    Of too many connections, those that made no progress for longest are closed. If they
    hold too much, first those without progress, the longest first; only if it is more
    than may be held even for a moment, those that hold most. One whose caller waits for
    an answer is never closed: its deadline bounds it.
    """
    every = list(holdings)
    closable = [each for each in every if not each.is_served]
    excess = max(0, len(every) - limits.connections)
    closable.sort(key=lambda each: each.idle_s, reverse=True)
    closed, closable = closable[:excess], sorted(closable[excess:], key=_rank)
    held_bytes = sum(each.held_bytes for each in every)
    held_bytes -= sum(each.held_bytes for each in closed)
    is_too_much = held_bytes > limits.held_bytes
    target_bytes = limits.held_bytes * (RELIEF_SHARE if is_too_much else 1)
    for each in closable:
        is_idle = each.idle_s >= MIN_IDLE_S
        is_due = is_idle or held_bytes > limits.held_bytes * HARD_FACTOR
        if is_due and held_bytes > target_bytes and each.held_bytes > 0:
            closed.append(each)
            held_bytes -= each.held_bytes
    return [each.key for each in closed]


def _rank(holding: Holding) -> tuple[bool, float, int]:
    is_idle = holding.idle_s >= MIN_IDLE_S
    return (not is_idle, -holding.idle_s if is_idle else 0.0, -holding.held_bytes)
