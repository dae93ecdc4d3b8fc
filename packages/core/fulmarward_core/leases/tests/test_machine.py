from dataclasses import dataclass

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarward_core.leases import (
    ABSENT_LEASE,
    Lease,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    ReplyLost,
    StepKind,
    StoreOut,
    choose_step,
    may_order,
    note_asking,
    take_event,
)

_TERMS = LeaseTerms(term_s=10.0, drift=0.03, margin_s=0.2)

#: How fast each instance's clock goes: at most 2 in 100 apart.
_RATES = (0.99, 1.0, 1.01)
_PLAYERS = st.integers(0, len(_RATES) - 1)


@dataclass
class _Write:
    player: int
    lease: Lease
    version: int


class LeaseMachine(RuleBasedStateMachine):
    """Three instances, their drifting clocks, and a store that loses replies.

    A paused instance is one that takes no step while time goes on; an order of it
    may land at any later time.
    """

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.row, self.version = ABSENT_LEASE, 0
        self.states = [
            LeaseState(own_name=f"i{number}", own_boot=1) for number in range(3)
        ]
        self.late_writes = []
        self.orders = []
        self.engine_fencing = 0
        self.owners = {}
        self.tokens = 0

    def _now(self, player):
        return self.time * _RATES[player]

    def _take(self, player, event):
        state = self.states[player]
        now = self._now(player)
        self.states[player] = take_event(state, _TERMS, event, now=now)

    def _commit(self, write):
        if write.version != self.version:
            return False
        self.row, self.version = write.lease, self.version + 1
        if write.lease.holder:
            owner = self.owners.setdefault(write.lease.fencing, write.lease.holder)
            assert owner == write.lease.holder
        return True

    @rule(seconds=st.floats(0.0, 13.0))
    def pass_time(self, seconds):
        self.time += seconds

    @rule(
        player=_PLAYERS,
        wanted=st.sampled_from([True, True, True, False]),
        delay=st.floats(0.0, 4.0),
        fate=st.sampled_from(["told", "told", "lost", "refused", "late"]),
    )
    def step(self, player, wanted, delay, fate):
        self.tokens += 1
        step = choose_step(
            self.states[player],
            _TERMS,
            token=str(self.tokens),
            wanted=wanted,
            now=self._now(player),
        )
        if step.kind is StepKind.READ:
            event = LeaseRead(lease=self.row, version=self.version)
            self.time += delay
            self._take(player, StoreOut() if fate == "refused" else event)
        if step.kind is StepKind.WRITE:
            self._write(player, step, delay, fate)

    def _write(self, player, step, delay, fate):
        state = self.states[player]
        self.states[player] = note_asking(state, step, now=self._now(player))
        write = _Write(player, step.lease, step.version)
        if fate == "refused":
            self._take(player, StoreOut())
            return
        if fate == "late":
            self.late_writes.append(write)
            self._take(player, ReplyLost())
            return
        self.time += delay
        if not self._commit(write):
            self._take(player, LeaseRead(lease=self.row, version=self.version))
            return
        self.time += delay
        told = LeaseWritten(lease=step.lease, version=step.version + 1)
        self._take(player, told if fate == "told" else ReplyLost())

    @precondition(lambda self: self.late_writes)
    @rule(which=st.integers(0, 5))
    def land_late_write(self, which):
        self._commit(self.late_writes.pop(which % len(self.late_writes)))

    @rule(player=_PLAYERS)
    def send_order(self, player):
        state = self.states[player]
        if may_order(state, now=self._now(player)):
            self.orders.append((state.fencing, state.own_name))

    @precondition(lambda self: self.orders)
    @rule(which=st.integers(0, 5))
    def land_order(self, which):
        fencing, owner = self.orders.pop(which % len(self.orders))
        if fencing >= self.engine_fencing:
            assert self.owners[fencing] == owner
            self.engine_fencing = fencing

    @invariant()
    def at_most_one_believes_that_it_holds_the_lease(self):
        holders = [
            state
            for player, state in enumerate(self.states)
            if may_order(state, now=self._now(player))
        ]
        assert len(holders) <= 1, holders
        for holder in holders:
            assert holder.fencing == self.row.fencing, (holder, self.row)


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = settings(max_examples=120, stateful_step_count=40)
