"""Who holds a lease, as one instance may believe it."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from fulmarward_core.leases._types import (
    Lease,
    LeaseEvent,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    Phase,
    ReplyLost,
    StoreOut,
)

#: Share of the term after which a holder renews: two more tries fit in.
RENEW_AT = 1 / 3

#: Upper bound on the writes of one instance that are remembered; the leases of older
#: ones have lapsed.
MAX_REMEMBERED_WRITES = 8


class StepKind(Enum):
    """What to do next about a lease."""

    READ = "read"
    WRITE = "write"
    WAIT = "wait"


@dataclass(frozen=True, kw_only=True)
class Step:
    """What to do next about a lease."""

    #: The kind.
    kind: StepKind
    #: `WRITE`: the lease to write, if the row still has this version.
    lease: Lease | None = None
    version: int = 0
    #: `WAIT`: until when, seconds on the steady clock.
    until: float = 0.0


def may_order(state: LeaseState, *, now: float) -> bool:
    """Return whether this instance may send an order now; ask right before each.

    Guards against a holder that was paused: it wakes believing what it knew, and the
    time tells it otherwise. What it sends in spite of this, paused between this
    question and the sending, carries its old fencing number.
    """
    return now < state.held_until


#: Seconds after its lease lapsed in which a holder may still learn that nobody reaches
#: the store: instances notice an outage one after the other. Later, the outage is not
#: what ended its lease.
OUTAGE_NOTICE_S = 2.0


def take_store_state(state: LeaseState, *, is_out: bool, now: float) -> LeaseState:
    """Take in whether nobody reaches the store; call it at least each second.

    A lease that lapses while the store answers others is another's to take.
    """
    if is_out or not state.is_last_holder or now < state.held_until + OUTAGE_NOTICE_S:
        return state
    return replace(state, is_last_holder=False)


def may_order_in_outage(state: LeaseState) -> bool:
    """Return whether this instance may go on ordering while nobody reaches the store.

    Guards against data centres that stay without a whole model during an outage of the
    store, when nobody can take the lease. It changes hands in the store only, so that
    the last holder is still the only one. The caller knows whether nobody reaches the
    store; one that is wrong about it sends the fencing number of its lapsed lease,
    which is lower than a successor's.
    """
    return state.is_last_holder


def choose_step(
    state: LeaseState,
    terms: LeaseTerms,
    *,
    token: str,
    wanted: bool,
    now: float,
    is_holder_gone: bool = False,
) -> Step:
    """Return what to do now. `token` has never been used; `wanted` is whether this
    instance would hold the lease, and if not it gives back what it holds.

    `is_holder_gone` is whether the process that holds the lease is known to have ended,
    as when its instance was heard under a later boot number. Its lease need not be
    waited out: who has ended orders nothing.
    """
    if is_holder_gone and state.phase is Phase.WATCHING:
        state = replace(state, seen_since=float("-inf"))
    return _STEPS[state.phase](state, terms, token, wanted, now)


def _step_unsure(
    state: LeaseState, terms: LeaseTerms, token: str, wanted: bool, now: float
) -> Step:
    return Step(kind=StepKind.READ)


def _step_watching(
    state: LeaseState, terms: LeaseTerms, token: str, wanted: bool, now: float
) -> Step:
    free_from = state.seen_since + terms.waited_s
    is_free = not state.lease.holder or now >= free_from
    if not (wanted and is_free):
        return Step(kind=StepKind.WAIT, until=free_from)
    return _write(state, token, state.own_name, state.lease.fencing + 1)


def _step_holding(
    state: LeaseState, terms: LeaseTerms, token: str, wanted: bool, now: float
) -> Step:
    if not may_order(state, now=now):
        # It lapsed. Whether anyone took it, the row says; until then it is as any
        # other's, and taking it anew takes a new number.
        return Step(kind=StepKind.READ)
    if not wanted:
        return _write(state, token, "", state.fencing)
    renew_at = state.held_until - terms.held_s * (1 - RENEW_AT)
    if now < renew_at:
        return Step(kind=StepKind.WAIT, until=renew_at)
    return _write(state, token, state.own_name, state.fencing)


_STEPS: dict[Phase, Callable[..., Step]] = {
    Phase.UNSURE: _step_unsure,
    Phase.WATCHING: _step_watching,
    Phase.HOLDING: _step_holding,
}


def _write(state: LeaseState, token: str, holder: str, fencing: int) -> Step:
    lease = Lease(holder=holder, boot=state.own_boot, fencing=fencing, token=token)
    return Step(kind=StepKind.WRITE, lease=lease, version=state.version)


def note_asking(state: LeaseState, step: Step, *, now: float) -> LeaseState:
    """Remember when a write was begun; the lease counts from before it was asked for.

    A write that gives the lease back ends the holding for good, and no earlier write
    counts any more: it may take effect late, when this instance has read the row as it
    was before and would believe itself the holder still.
    """
    if not step.lease.holder:
        return replace(
            state, asked_at={}, held_until=float("-inf"), is_last_holder=False
        )
    asked = {**state.asked_at, step.lease.token: now}
    return replace(state, asked_at=dict(list(asked.items())[-MAX_REMEMBERED_WRITES:]))


def drop_hold(state: LeaseState) -> LeaseState:
    """Believe no more that this instance holds the lease; the row is read next."""
    return replace(
        state,
        phase=Phase.UNSURE,
        held_until=float("-inf"),
        asked_at={},
        is_last_holder=False,
    )


def take_event(
    state: LeaseState, terms: LeaseTerms, event: LeaseEvent, *, now: float
) -> LeaseState:
    """Return the state after an event; `now` is when its reply came."""
    return _EVENTS[type(event)](state, terms, event, now)


def _take_row(
    state: LeaseState, terms: LeaseTerms, event: LeaseRead | LeaseWritten, now: float
) -> LeaseState:
    """Take in the row as it was when the reply left the platform.

    Guards against a lost reply: the row has the token of the write that took effect,
    and the lease counts from when that write was begun. A row of this instance whose
    token it does not know is treated as another's and waited out.
    """
    lease = event.lease
    is_news = (event.version, lease) != (state.version, state.lease)
    seen = replace(
        state,
        phase=Phase.WATCHING,
        lease=lease,
        version=event.version,
        seen_since=now if is_news else state.seen_since,
        is_last_holder=False,
    )
    is_own = (lease.holder, lease.boot) == (state.own_name, state.own_boot)
    if not is_own or lease.token not in state.asked_at:
        return replace(seen, held_until=float("-inf"))
    held_until = state.asked_at[lease.token] + terms.held_s
    if now >= held_until:
        return replace(seen, held_until=float("-inf"))
    return replace(
        seen,
        phase=Phase.HOLDING,
        held_until=held_until,
        fencing=lease.fencing,
        is_last_holder=True,
    )


def _become_unsure(
    state: LeaseState, terms: LeaseTerms, event: ReplyLost, now: float
) -> LeaseState:
    """Read the row before anything else; an older hold stands until its own end."""
    return replace(state, phase=Phase.UNSURE)


def _stay(
    state: LeaseState, terms: LeaseTerms, event: StoreOut, now: float
) -> LeaseState:
    return state


_EVENTS: dict[type, Callable[..., LeaseState]] = {
    LeaseRead: _take_row,
    LeaseWritten: _take_row,
    ReplyLost: _become_unsure,
    StoreOut: _stay,
}
