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
    StoreUnavailable,
    apply_event,
    choose_step,
    may_order,
    record_write,
)
from fulmarward_core.store_versions import find_era, find_number, make_store_version

_TERMS = LeaseTerms(term_s=10.0, drift=0.03, margin_s=0.2)

#: Relative rate of each instance's clock; they differ by at most 2 in 100.
_RATES = (0.99, 1.0, 1.01)
_INSTANCES = st.integers(0, len(_RATES) - 1)


@dataclass
class _Write:
    instance: int
    lease: Lease
    version: int


class LeaseMachine(RuleBasedStateMachine):
    """Three instances with drifting clocks, and a store that loses replies.

    An instance is paused if it takes no step while time passes. Its orders may arrive
    at any later time.
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

    def _now(self, instance):
        return self.time * _RATES[instance]

    def _apply(self, instance, event):
        state = self.states[instance]
        now = self._now(instance)
        self.states[instance] = apply_event(state, _TERMS, event, now=now)

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
        instance=_INSTANCES,
        wanted=st.sampled_from([True, True, True, False]),
        delay=st.floats(0.0, 4.0),
        outcome=st.sampled_from(["answered", "answered", "lost", "refused", "late"]),
    )
    def step(self, instance, wanted, delay, outcome):
        self.tokens += 1
        step = choose_step(
            self.states[instance],
            _TERMS,
            token=str(self.tokens),
            wanted=wanted,
            now=self._now(instance),
        )
        if step.kind is StepKind.READ:
            event = LeaseRead(lease=self.row, version=self.version)
            self.time += delay
            self._apply(instance, StoreUnavailable() if outcome == "refused" else event)
        if step.kind is StepKind.WRITE:
            self._write(instance, step, delay, outcome)

    def _write(self, instance, step, delay, outcome):
        state = self.states[instance]
        self.states[instance] = record_write(state, step, now=self._now(instance))
        write = _Write(instance, step.lease, step.version)
        if outcome == "refused":
            self._apply(instance, StoreUnavailable())
            return
        if outcome == "late":
            self.late_writes.append(write)
            self._apply(instance, ReplyLost())
            return
        self.time += delay
        if not self._commit(write):
            self._apply(instance, LeaseRead(lease=self.row, version=self.version))
            return
        self.time += delay
        reply = LeaseWritten(lease=step.lease, version=self.version)
        self._apply(instance, reply if outcome == "answered" else ReplyLost())

    @precondition(lambda self: self.late_writes)
    @rule(index=st.integers(0, 5))
    def commit_late_write(self, index):
        self._commit(self.late_writes.pop(index % len(self.late_writes)))

    @rule(instance=_INSTANCES)
    def send_order(self, instance):
        state = self.states[instance]
        if may_order(state, now=self._now(instance)):
            self.orders.append((state.fencing, state.own_name))

    @precondition(lambda self: self.orders)
    @rule(index=st.integers(0, 5))
    def deliver_order(self, index):
        fencing, owner = self.orders.pop(index % len(self.orders))
        if fencing >= self.engine_fencing:
            assert self.owners[fencing] == owner
            self.engine_fencing = fencing

    @invariant()
    def at_most_one_instance_holds_the_lease(self):
        holders = [
            state
            for instance, state in enumerate(self.states)
            if may_order(state, now=self._now(instance))
        ]
        assert len(holders) <= 1, holders
        for holder in holders:
            assert holder.fencing == self.row.fencing, (holder, self.row)


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = settings(max_examples=120, stateful_step_count=40)


class RestoredStoreMachine(LeaseMachine):
    """The same instances, and a store that also comes back from older copies.

    Conditions name the number of a version only, so that one of an earlier era holds if
    the number was given out again.
    """

    def __init__(self):
        super().__init__()
        self.version = make_store_version(1, 0)
        self.copies = [(self.row, self.version)]
        for instance in range(3):
            self._apply(instance, LeaseRead(lease=self.row, version=self.version))

    def _commit(self, write):
        if find_number(write.version) != find_number(self.version):
            return False
        self.row, self.version = write.lease, self.version + 1
        self.copies.append((self.row, self.version))
        return True

    @rule(instance=_INSTANCES)
    def send_order(self, instance):
        """An order shows who uses a number; a row that was lost shows nothing."""
        state = self.states[instance]
        if may_order(state, now=self._now(instance)):
            owner = self.owners.setdefault(state.fencing, state.own_name)
            assert owner == state.own_name
        super().send_order(instance)

    @rule(age=st.integers(0, 5))
    def restore(self, age):
        self.row, version = self.copies[-1 - age % len(self.copies)]
        era = find_era(self.version) + 1
        self.version = make_store_version(era, find_number(version))
        self.copies.append((self.row, self.version))

    @invariant()
    def at_most_one_instance_holds_the_lease(self):
        """The row of a holder may be lost, so that only the others matter."""
        holders = [
            state
            for instance, state in enumerate(self.states)
            if may_order(state, now=self._now(instance))
        ]
        assert len(holders) <= 1, holders


RestoredStoreMachineTest = RestoredStoreMachine.TestCase
RestoredStoreMachineTest.settings = settings(max_examples=120, stateful_step_count=40)
