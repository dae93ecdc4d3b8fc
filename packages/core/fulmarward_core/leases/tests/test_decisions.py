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
    abandon_lease,
    apply_event,
    choose_step,
    may_order,
    may_order_in_outage,
    record_write,
    update_store_state,
)

_TERMS = LeaseTerms(term_s=10.0)


def _step(state, now, *, token="t", wanted=True):
    return choose_step(state, _TERMS, token=token, wanted=wanted, now=now)


def _acquire(now=0.0, reply_at=0.0):
    state = LeaseState(own_name="i1", own_boot=1)
    read = LeaseRead(lease=ABSENT_LEASE, version=0)
    state = apply_event(state, _TERMS, read, now=now)
    step = _step(state, now)
    state = record_write(state, step, now=now)
    written = LeaseWritten(lease=step.lease, version=1)
    return apply_event(state, _TERMS, written, now=reply_at)


class LeaseTest(unittest.TestCase):
    def test_term_counts_from_before_the_request(self):
        # Guards against two concurrent holders if the store's reply to the write is
        # eight seconds late: a holder that counted from the reply would send orders
        # when a successor, which waited for the end of the term, does so too.
        state = _acquire(now=0.0, reply_at=8.0)
        self.assertTrue(may_order(state, now=_TERMS.held_s - 0.01))
        self.assertFalse(may_order(state, now=_TERMS.held_s))

    def test_write_with_a_lost_reply_is_recognized_in_the_row(self):
        # Guards against a committed write whose reply was lost. If the instance took
        # the row for another's, no instance would place anything during that term.
        state = LeaseState(own_name="i1", own_boot=1, phase=Phase.WATCHING)
        step = _step(state, 0.0)
        state = record_write(state, step, now=0.0)
        state = apply_event(state, _TERMS, ReplyLost(), now=2.0)
        self.assertEqual(_step(state, 2.0).kind, StepKind.READ)
        read = LeaseRead(lease=step.lease, version=1)
        state = apply_event(state, _TERMS, read, now=2.5)
        self.assertEqual((state.phase, state.fencing), (Phase.HOLDING, 1))
        self.assertFalse(may_order(state, now=_TERMS.held_s))

    def test_holder_whose_lease_expired_takes_a_new_fencing_number(self):
        # A holder is paused until after the end of its lease, and no other instance
        # acquires it. With the old fencing number, new orders could not be told from
        # those still in flight.
        state = _acquire()
        step = _step(state, 60.0)
        self.assertEqual(step.kind, StepKind.READ)
        read = LeaseRead(lease=state.lease, version=1)
        state = apply_event(state, _TERMS, read, now=60.0)
        step = _step(state, 60.0, token="u")
        self.assertEqual((step.kind, step.lease.fencing), (StepKind.WRITE, 2))

    def test_another_run_of_the_same_name_waits_for_the_end_of_the_term(self):
        held = _acquire()
        state = LeaseState(own_name="i1", own_boot=2)
        read = LeaseRead(lease=held.lease, version=1)
        state = apply_event(state, _TERMS, read, now=0.0)
        self.assertEqual(
            _step(state, _TERMS.takeover_wait_s - 0.01).kind, StepKind.WAIT
        )
        self.assertEqual(_step(state, _TERMS.takeover_wait_s).lease.fencing, 2)

    def test_released_lease_is_free_at_once_and_no_longer_held(self):
        state = _acquire()
        step = _step(state, 1.0, wanted=False, token="u")
        self.assertEqual((step.lease.holder, step.lease.fencing), ("", 1))
        state = record_write(state, step, now=1.0)
        self.assertFalse(may_order(state, now=1.0))
        old_row = LeaseRead(lease=state.lease, version=1)
        state = apply_event(state, _TERMS, old_row, now=1.1)
        self.assertFalse(may_order(state, now=1.1))
        other = LeaseState(own_name="i2", own_boot=1)
        read = LeaseRead(lease=step.lease, version=2)
        other = apply_event(other, _TERMS, read, now=0.0)
        self.assertEqual(_step(other, 0.0).lease.fencing, 2)


class OutageTest(unittest.TestCase):
    def test_last_holder_may_send_orders_during_an_outage_of_the_store(self):
        # Guards against data centres without a whole model. The store was down for
        # eight seconds while engines left. The lease expired after three and could not
        # be acquired; no data centre had a whole model from six seconds after the start
        # until four seconds after the end of the outage.
        state = _acquire()
        later = _TERMS.held_s + 5.0
        state = update_store_state(state, is_out=True, now=later)
        self.assertFalse(may_order(state, now=later))
        self.assertTrue(may_order_in_outage(state))

    def test_outage_may_be_detected_shortly_after_the_lease_expired(self):
        state = _acquire()
        state = update_store_state(state, is_out=False, now=_TERMS.held_s + 1.5)
        self.assertTrue(may_order_in_outage(state))

    def test_holder_whose_lease_expired_before_the_outage_sends_no_orders(self):
        # Guards against two last holders. An instance is isolated, another one acquires
        # the lease, and the first does not read the row again since it is no candidate.
        # In a later outage of the store both would consider themselves the last holder.
        state = _acquire()
        state = update_store_state(state, is_out=False, now=_TERMS.held_s + 3.0)
        state = update_store_state(state, is_out=True, now=_TERMS.held_s + 9.0)
        self.assertFalse(may_order_in_outage(state))

    def test_instance_that_read_of_another_holder_or_released_sends_no_orders(self):
        state = _acquire()
        other = Lease(holder="i2", boot=1, fencing=2, token="x")
        read = LeaseRead(lease=other, version=2)
        self.assertFalse(
            may_order_in_outage(apply_event(state, _TERMS, read, now=20.0))
        )
        self.assertFalse(may_order_in_outage(abandon_lease(state)))
        released = record_write(state, _step(state, 1.0, wanted=False), now=1.0)
        self.assertFalse(may_order_in_outage(released))

    def test_lease_of_an_ended_process_is_acquired_without_waiting(self):
        # Guards against a delay after a restart. The holder was stopped during an
        # outage of the store and could not release its lease. Its next run read the
        # row of the previous one and waited for three seconds.
        state = LeaseState(own_name="i1", own_boot=2)
        lease = Lease(holder="i1", boot=1, fencing=3, token="x")
        state = apply_event(state, _TERMS, LeaseRead(lease=lease, version=7), now=50.0)
        self.assertEqual(_step(state, 50.0).kind, StepKind.WAIT)
        step = choose_step(
            state, _TERMS, token="t", wanted=True, now=50.0, is_holder_gone=True
        )
        self.assertEqual((step.kind, step.version), (StepKind.WRITE, 7))
        self.assertEqual(step.lease.fencing, 4)
