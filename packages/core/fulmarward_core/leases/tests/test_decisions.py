import unittest

from fulmarward_core.leases import (
    ABSENT_LEASE,
    Lease,
    LeaseRead,
    LeaseState,
    LeaseTerms,
    LeaseWritten,
    Phase,
    ReplyLost,
    StepKind,
    choose_step,
    drop_hold,
    may_order,
    may_order_in_outage,
    note_asking,
    take_event,
    take_store_state,
)

_TERMS = LeaseTerms(term_s=10.0)


def _step(state, now, *, token="t", wanted=True):
    return choose_step(state, _TERMS, token=token, wanted=wanted, now=now)


def _acquire(now=0.0, reply_at=0.0):
    state = LeaseState(own_name="i1", own_boot=1)
    read = LeaseRead(lease=ABSENT_LEASE, version=0)
    state = take_event(state, _TERMS, read, now=now)
    step = _step(state, now)
    state = note_asking(state, step, now=now)
    written = LeaseWritten(lease=step.lease, version=1)
    return take_event(state, _TERMS, written, now=reply_at)


class LeaseTest(unittest.TestCase):
    def test_a_lease_counts_from_before_it_was_asked_for(self):
        # The store is slow: its reply to the write comes eight seconds late. The
        # holder counts from the reply, and sends orders when a successor, who waited
        # out the row it saw, does so too.
        state = _acquire(now=0.0, reply_at=8.0)
        self.assertTrue(may_order(state, now=_TERMS.held_s - 0.01))
        self.assertFalse(may_order(state, now=_TERMS.held_s))

    def test_a_lost_reply_is_found_by_reading_back(self):
        # The write that took the lease took effect and its reply was lost. The
        # instance believes that it does not hold it, and nobody places anything for
        # as long as it takes the row for another's.
        state = LeaseState(own_name="i1", own_boot=1, phase=Phase.WATCHING)
        step = _step(state, 0.0)
        state = note_asking(state, step, now=0.0)
        state = take_event(state, _TERMS, ReplyLost(), now=2.0)
        self.assertEqual(_step(state, 2.0).kind, StepKind.READ)
        read = LeaseRead(lease=step.lease, version=1)
        state = take_event(state, _TERMS, read, now=2.5)
        self.assertEqual((state.phase, state.fencing), (Phase.HOLDING, 1))
        self.assertFalse(may_order(state, now=_TERMS.held_s))

    def test_a_holder_that_slept_takes_a_new_number(self):
        # A holder is paused past its lease and nobody took it meanwhile. Renewing
        # under the old number would make its orders equal to those still in flight.
        state = _acquire()
        step = _step(state, 60.0)
        self.assertEqual(step.kind, StepKind.READ)
        read = LeaseRead(lease=state.lease, version=1)
        state = take_event(state, _TERMS, read, now=60.0)
        step = _step(state, 60.0, token="u")
        self.assertEqual((step.kind, step.lease.fencing), (StepKind.WRITE, 2))

    def test_another_run_of_the_same_name_waits_like_anyone(self):
        held = _acquire()
        state = LeaseState(own_name="i1", own_boot=2)
        read = LeaseRead(lease=held.lease, version=1)
        state = take_event(state, _TERMS, read, now=0.0)
        self.assertEqual(_step(state, _TERMS.waited_s - 0.01).kind, StepKind.WAIT)
        self.assertEqual(_step(state, _TERMS.waited_s).lease.fencing, 2)

    def test_a_lease_given_back_is_free_at_once_and_held_no_more(self):
        state = _acquire()
        step = _step(state, 1.0, wanted=False, token="u")
        self.assertEqual((step.lease.holder, step.lease.fencing), ("", 1))
        state = note_asking(state, step, now=1.0)
        self.assertFalse(may_order(state, now=1.0))
        old_row = LeaseRead(lease=state.lease, version=1)
        state = take_event(state, _TERMS, old_row, now=1.1)
        self.assertFalse(may_order(state, now=1.1))
        other = LeaseState(own_name="i2", own_boot=1)
        read = LeaseRead(lease=step.lease, version=2)
        other = take_event(other, _TERMS, read, now=0.0)
        self.assertEqual(_step(other, 0.0).lease.fencing, 2)


class OutageTest(unittest.TestCase):
    def test_last_holder_orders_on_while_nobody_reaches_the_store(self):
        # The store is silent for eight seconds and engines leave. The lease lapsed
        # after three, nobody could take it, and no data centre had a whole model from
        # six seconds after the beginning until four seconds after the end.
        state = _acquire()
        later = _TERMS.held_s + 5.0
        state = take_store_state(state, is_out=True, now=later)
        self.assertFalse(may_order(state, now=later))
        self.assertTrue(may_order_in_outage(state))

    def test_outage_noticed_a_little_late_counts(self):
        state = _acquire()
        state = take_store_state(state, is_out=False, now=_TERMS.held_s + 1.5)
        self.assertTrue(may_order_in_outage(state))

    def test_holder_whose_lease_lapsed_before_the_outage_orders_nothing(self):
        # An instance is cut off, its lease goes to another, and it does not read the
        # row again since it is not its turn. Later the store is out for all: both
        # took themselves for the last holder.
        state = _acquire()
        state = take_store_state(state, is_out=False, now=_TERMS.held_s + 3.0)
        state = take_store_state(state, is_out=True, now=_TERMS.held_s + 9.0)
        self.assertFalse(may_order_in_outage(state))

    def test_who_reads_of_another_holder_or_gave_back_orders_nothing(self):
        state = _acquire()
        other = Lease(holder="i2", boot=1, fencing=2, token="x")
        read = LeaseRead(lease=other, version=2)
        self.assertFalse(may_order_in_outage(take_event(state, _TERMS, read, now=20.0)))
        self.assertFalse(may_order_in_outage(drop_hold(state)))
        given_back = note_asking(state, _step(state, 1.0, wanted=False), now=1.0)
        self.assertFalse(may_order_in_outage(given_back))

    def test_lease_of_a_process_that_has_ended_is_not_waited_out(self):
        # The holder is stopped while the store is out and cannot give its lease back.
        # Its next start saw the row of its last one and waited for three seconds.
        state = LeaseState(own_name="i1", own_boot=2)
        lease = Lease(holder="i1", boot=1, fencing=3, token="x")
        state = take_event(state, _TERMS, LeaseRead(lease=lease, version=7), now=50.0)
        self.assertEqual(_step(state, 50.0).kind, StepKind.WAIT)
        step = choose_step(
            state, _TERMS, token="t", wanted=True, now=50.0, is_holder_gone=True
        )
        self.assertEqual((step.kind, step.version), (StepKind.WRITE, 7))
        self.assertEqual(step.lease.fencing, 4)
