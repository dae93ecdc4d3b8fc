"""Acquisition, renewal and release of leases, from the view of one instance."""

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
    StoreUnavailable,
)
from fulmarward_core.store_versions import find_era

#: Share of the term after which a holder renews. Leaves time for two more attempts.
RENEWAL_SHARE = 1 / 3

#: Maximum number of remembered writes of one instance. The leases of older writes have
#: expired.
MAX_REMEMBERED_WRITES = 8


#: Fencing numbers of each era of the store. Guards against a number that is given out
#: again after the store lost the row with it.
_FENCING_PER_ERA = 10**6


class StepKind(Enum):
    """Kind of the next action on a lease."""

    READ = "read"
    WRITE = "write"
    WAIT = "wait"


@dataclass(frozen=True, kw_only=True)
class Step:
    """The next action on a lease."""

    kind: StepKind
    #: `WRITE`: the lease to write, on condition that the row still has this version.
    lease: Lease | None = None
    version: int = 0
    #: `WAIT`: end of the wait, in seconds on the monotonic clock.
    until: float = 0.0


def may_order(state: LeaseState, *, now: float) -> bool:
    """Return whether this instance may send an order now. Call it before each order.

    Guards against a holder that was paused until after its lease expired. If it is
    paused between this check and the sending, the order carries an old fencing number.
    """
    return now < state.held_until


#: Seconds after the end of its lease within which a holder may still learn that no
#: instance reaches the store, since instances detect an outage at different times. If
#: it learns so later, the outage is not the reason that its lease expired.
OUTAGE_DETECTION_S = 2.0


def update_store_state(state: LeaseState, *, is_out: bool, now: float) -> LeaseState:
    """Update the state with whether no instance reaches the store.

    To be called at least once a second. If the lease expires while the store answers
    other instances, one of these may acquire it.
    """
    if (
        is_out
        or not state.is_last_holder
        or now < state.held_until + OUTAGE_DETECTION_S
    ):
        return state
    return replace(state, is_last_holder=False)


def may_order_in_outage(state: LeaseState) -> bool:
    """Return whether this instance may send orders while no instance reaches the store.

    Guards against data centres that lack a whole model during an outage of the store,
    when no instance can acquire the lease. Since the lease can be acquired in the store
    only, the last holder is still the only one. The caller must know that no instance
    reaches the store. If it is wrong, its orders carry the fencing number of the
    expired lease, which is lower than a successor's.
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
    """Return the next action on the lease.

    `token` must not have been used before. `wanted` is whether this instance should
    hold the lease; otherwise it releases a lease that it holds. `is_holder_gone` is
    whether the process that holds the lease is known to have ended, for example because
    its instance runs with a later boot number. Such a lease is acquired without waiting
    for its end, since the process sends no more orders.
    """
    if is_holder_gone and state.phase is Phase.WATCHING:
        state = replace(state, unchanged_since=float("-inf"))
    return _STEPS[state.phase](state, terms, token, wanted, now)


def _step_unsure(
    state: LeaseState, terms: LeaseTerms, token: str, wanted: bool, now: float
) -> Step:
    return Step(kind=StepKind.READ)


def _step_watching(
    state: LeaseState, terms: LeaseTerms, token: str, wanted: bool, now: float
) -> Step:
    free_from = state.lost_until
    if state.lease.holder:
        free_from = max(free_from, state.unchanged_since + terms.takeover_wait_s)
    if not wanted or now < free_from:
        until = state.unchanged_since + terms.takeover_wait_s
        return Step(kind=StepKind.WAIT, until=max(free_from, until))
    return _write(state, token, state.own_name, _find_next_fencing(state))


def _find_next_fencing(state: LeaseState) -> int:
    """Return a fencing number above all that were given out, also those lost."""
    lowest = find_era(state.version) * _FENCING_PER_ERA
    return max(state.highest_fencing, lowest) + 1


def _step_holding(
    state: LeaseState, terms: LeaseTerms, token: str, wanted: bool, now: float
) -> Step:
    if not may_order(state, now=now):
        # The lease expired, and another instance may have acquired it. Read the row
        # first; acquiring the lease again takes a new fencing number.
        return Step(kind=StepKind.READ)
    if not wanted:
        return _write(state, token, "", state.fencing)
    renew_at = state.held_until - terms.held_s * (1 - RENEWAL_SHARE)
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


def record_write(state: LeaseState, step: Step, *, now: float) -> LeaseState:
    """Record the start time of a write, from which the term of the lease counts.

    A write that releases the lease ends the holding at once and discards earlier
    writes. It may be committed late: if this instance reads the old row before that, it
    must not consider itself the holder because of an earlier write.
    """
    if not step.lease.holder:
        return replace(
            state, write_started_at={}, held_until=float("-inf"), is_last_holder=False
        )
    started = {**state.write_started_at, step.lease.token: now}
    return replace(
        state, write_started_at=dict(list(started.items())[-MAX_REMEMBERED_WRITES:])
    )


def abandon_lease(state: LeaseState) -> LeaseState:
    """Stop holding the lease; the row is read next."""
    return replace(
        state,
        phase=Phase.UNSURE,
        held_until=float("-inf"),
        write_started_at={},
        is_last_holder=False,
    )


def apply_event(
    state: LeaseState, terms: LeaseTerms, event: LeaseEvent, *, now: float
) -> LeaseState:
    """Return the state after an event; `now` is when its reply was received."""
    return _EVENTS[type(event)](state, terms, event, now)


def _apply_row(
    state: LeaseState, terms: LeaseTerms, event: LeaseRead | LeaseWritten, now: float
) -> LeaseState:
    """Apply the row as it was when the platform sent the reply.

    Guards against a lost reply: the row has the token of the write that was committed,
    and the term counts from the start of that write. A row of this instance with an
    unknown token is treated like another instance's: its term must end first. So is
    each row of a restored store, whose version may have been given out twice; any lease
    that the store lost must end first, too.
    """
    lease = event.lease
    if state.version > 0 and find_era(event.version) > find_era(state.version):
        state = replace(
            state, write_started_at={}, lost_until=now + terms.takeover_wait_s
        )
    has_changed = (event.version, lease) != (state.version, state.lease)
    seen = replace(
        state,
        phase=Phase.WATCHING,
        lease=lease,
        version=event.version,
        unchanged_since=now if has_changed else state.unchanged_since,
        is_last_holder=False,
        highest_fencing=max(state.highest_fencing, lease.fencing),
    )
    is_own = (lease.holder, lease.boot) == (state.own_name, state.own_boot)
    if not is_own or lease.token not in state.write_started_at:
        return replace(seen, held_until=float("-inf"))
    held_until = state.write_started_at[lease.token] + terms.held_s
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
    """Have the row read next. A lease already held stays valid until its end."""
    return replace(state, phase=Phase.UNSURE)


def _keep_state(
    state: LeaseState, terms: LeaseTerms, event: StoreUnavailable, now: float
) -> LeaseState:
    return state


_EVENTS: dict[type, Callable[..., LeaseState]] = {
    LeaseRead: _apply_row,
    LeaseWritten: _apply_row,
    ReplyLost: _become_unsure,
    StoreUnavailable: _keep_state,
}
