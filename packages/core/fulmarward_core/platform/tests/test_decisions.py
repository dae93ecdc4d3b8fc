import heapq
import random
import unittest

from hypothesis import given, strategies as st

from fulmarward_core.platform import (
    CallKind,
    Circuit,
    Gate,
    Refused,
    Wait,
    admit_call,
    note_failure,
    note_success,
)
from fulmarward_core.platform.decisions import (
    ALL_PER_S,
    FAILURES_TO_OPEN,
    LEAST_BURST,
    MOST_PAUSE_S,
    MOST_WAIT_S,
)


def _admit(gate, now, *, kind=CallKind.READ, instances=330, is_for_operator=False):
    return admit_call(
        gate, kind, instances=instances, is_for_operator=is_for_operator, now=now
    )


class GateTest(unittest.TestCase):
    def test_no_stampede_after_an_outage(self):
        # The platform is out for half a minute. 330 instances have work for it all the
        # time, and when it comes back they all call at once; it goes out again.
        generator = random.Random(1)
        gates = [Gate() for _ in range(330)]
        wants = [(generator.uniform(0, 0.1), index) for index in range(330)]
        heapq.heapify(wants)
        calls = [0] * 80
        while wants[0][0] < 80:
            now, index = heapq.heappop(wants)
            gate = gates[index]
            verdict = _admit(gate, now)
            heapq.heappush(wants, (now + generator.uniform(0.05, 0.15), index))
            if isinstance(verdict, Refused):
                continue
            begun = now + verdict.seconds
            if begun < 80:
                calls[int(begun)] += 1
            if 20 <= begun < 50:
                note_failure(gate, now=now, generator=generator)
            else:
                note_success(gate)
        self.assertLess(max(calls[26:50]), 200)
        after = calls[50:80]
        self.assertLessEqual(max(after), ALL_PER_S[CallKind.READ] * 1.05)
        self.assertGreater(sum(after[10:]) / 20, ALL_PER_S[CallKind.READ] * 0.9)

    @given(
        st.integers(1, 500),
        st.sampled_from(CallKind),
        st.lists(st.floats(0, 0.5), min_size=1, max_size=60),
    )
    def test_calls_of_one_instance_stay_at_its_rate(self, instances, kind, pauses):
        gate, now, begun = Gate(), 0.0, []
        for pause in pauses:
            now += pause
            verdict = _admit(gate, now, kind=kind, instances=instances)
            if isinstance(verdict, Wait):
                self.assertLessEqual(verdict.seconds, MOST_WAIT_S)
                begun.append(now + verdict.seconds)
        rate = max(ALL_PER_S[kind] / instances, 1.5 if kind is CallKind.WRITE else 2)
        burst = max(LEAST_BURST, rate)
        for index, first in enumerate(begun):
            for later, last in enumerate(begun[index:], 1):
                self.assertLessEqual(later, burst + rate * (last - first) + 1.01)

    def test_the_circuit(self):
        gate, generator = Gate(), random.Random(1)
        for _ in range(FAILURES_TO_OPEN):
            self.assertIsInstance(_admit(gate, 0.0), Wait)
            note_failure(gate, now=0.0, generator=generator)
        self.assertEqual(_admit(gate, 0.0), Refused(reason="circuit_open"))
        self.assertIsInstance(_admit(gate, 0.0, is_for_operator=True), Wait)
        self.assertIsInstance(_admit(gate, 1.0), Wait)
        self.assertEqual(_admit(gate, 1.0), Refused(reason="circuit_probing"))
        note_failure(gate, now=1.0, generator=generator)
        self.assertIs(gate.circuit, Circuit.OPEN)
        self.assertIsInstance(_admit(gate, 1.0 + MOST_PAUSE_S), Wait)
        note_success(gate)
        self.assertEqual((gate.circuit, gate.failures), (Circuit.CLOSED, 0))

    def test_a_probe_that_never_ends_does_not_close_the_platform_for_ever(self):
        # The call that was the probe is cancelled with the request that wanted it.
        # Nobody tells its outcome, and every later call is refused.
        gate, generator = Gate(), random.Random(1)
        for _ in range(FAILURES_TO_OPEN):
            note_failure(gate, now=0.0, generator=generator)
        self.assertIsInstance(_admit(gate, 1.0), Wait)
        self.assertIsInstance(_admit(gate, 1.0 + MOST_PAUSE_S), Wait)
