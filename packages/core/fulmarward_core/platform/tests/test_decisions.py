import heapq
import random
import unittest

from hypothesis import given, strategies as st

from fulmarward_core.platform import (
    Admitted,
    CallKind,
    CallLimiter,
    CircuitState,
    Rejected,
    admit_call,
    record_failure,
    record_success,
)
from fulmarward_core.platform.decisions import (
    FAILURES_TO_OPEN,
    FLEET_CALLS_PER_S,
    MAX_DELAY_S,
    MAX_OPEN_S,
    MIN_BURST,
)


def _admit(limiter, now, *, kind=CallKind.READ, instances=330, bypasses_circuit=False):
    return admit_call(
        limiter, kind, instances=instances, bypasses_circuit=bypasses_circuit, now=now
    )


class GateTest(unittest.TestCase):
    def test_no_thundering_herd_after_an_outage(self):
        # Guards against overloading a platform that recovers from an outage of half a
        # minute: 330 instances constantly have calls for it and could all call at once,
        # which causes the next outage.
        generator = random.Random(1)
        limiters = [CallLimiter() for _ in range(330)]
        pending = [(generator.uniform(0, 0.1), index) for index in range(330)]
        heapq.heapify(pending)
        calls = [0] * 80
        while pending[0][0] < 80:
            now, index = heapq.heappop(pending)
            limiter = limiters[index]
            decision = _admit(limiter, now)
            heapq.heappush(pending, (now + generator.uniform(0.05, 0.15), index))
            if isinstance(decision, Rejected):
                continue
            started = now + decision.seconds
            if started < 80:
                calls[int(started)] += 1
            if 20 <= started < 50:
                record_failure(limiter, now=now, generator=generator)
            else:
                record_success(limiter)
        self.assertLess(max(calls[26:50]), 200)
        after = calls[50:80]
        self.assertLessEqual(max(after), FLEET_CALLS_PER_S[CallKind.READ] * 1.05)
        self.assertGreater(sum(after[10:]) / 20, FLEET_CALLS_PER_S[CallKind.READ] * 0.9)

    @given(
        st.integers(1, 500),
        st.sampled_from(CallKind),
        st.lists(st.floats(0, 0.5), min_size=1, max_size=60),
    )
    def test_calls_of_an_instance_respect_its_rate(self, instances, kind, pauses):
        limiter, now, started = CallLimiter(), 0.0, []
        for pause in pauses:
            now += pause
            decision = _admit(limiter, now, kind=kind, instances=instances)
            if isinstance(decision, Admitted):
                self.assertLessEqual(decision.seconds, MAX_DELAY_S)
                started.append(now + decision.seconds)
        rate = max(
            FLEET_CALLS_PER_S[kind] / instances, 1.5 if kind is CallKind.WRITE else 2
        )
        burst = max(MIN_BURST, rate)
        for index, first in enumerate(started):
            for count, last in enumerate(started[index:], 1):
                self.assertLessEqual(count, burst + rate * (last - first) + 1.01)

    def test_circuit_opens_probes_and_closes(self):
        limiter, generator = CallLimiter(), random.Random(1)
        for _ in range(FAILURES_TO_OPEN):
            self.assertIsInstance(_admit(limiter, 0.0), Admitted)
            record_failure(limiter, now=0.0, generator=generator)
        self.assertEqual(_admit(limiter, 0.0), Rejected(reason="circuit_open"))
        self.assertIsInstance(_admit(limiter, 0.0, bypasses_circuit=True), Admitted)
        self.assertIsInstance(_admit(limiter, 1.0), Admitted)
        self.assertEqual(_admit(limiter, 1.0), Rejected(reason="circuit_probing"))
        record_failure(limiter, now=1.0, generator=generator)
        self.assertIs(limiter.circuit, CircuitState.OPEN)
        self.assertIsInstance(_admit(limiter, 1.0 + MAX_OPEN_S), Admitted)
        record_success(limiter)
        self.assertEqual((limiter.circuit, limiter.failures), (CircuitState.CLOSED, 0))

    def test_probe_without_a_result_does_not_block_calls_forever(self):
        # Guards against a probe call that is cancelled together with its request: its
        # result is never reported, and every later call would be rejected.
        limiter, generator = CallLimiter(), random.Random(1)
        for _ in range(FAILURES_TO_OPEN):
            record_failure(limiter, now=0.0, generator=generator)
        self.assertIsInstance(_admit(limiter, 1.0), Admitted)
        self.assertIsInstance(_admit(limiter, 1.0 + MAX_OPEN_S), Admitted)
