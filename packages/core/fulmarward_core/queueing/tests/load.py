"""Simulation of callers, and of instances that share the places of a fleet."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from fulmarward_core.queueing import (
    WaitingRequest,
    WaitQueue,
    choose_retry_after_s,
    classify_request,
    find_kv_share,
)

#: Length of a simulation step, and delay until other instances' requests are known.
STEP_S = 0.04
REPORT_LAG_S = 0.2

OBJECTIVE_S = 0.6
DEADLINE_S = 20.0
FIRST_EVENT_S = 0.15
TIMEOUT_S = 0.9
PLANNED_SHARE = 0.9

INSTANCES = 20


@dataclass(kw_only=True)
class Caller:
    """A caller, which retries once after a rejection."""

    number: int
    first_attempt_at: float
    arrived_at: float
    service_s: float
    attempts: int = 1


@dataclass(kw_only=True)
class Outcome:
    """Results of the callers."""

    on_time: int = 0
    late: int = 0
    rejected: int = 0
    #: Callers answered in time, and all callers, by the second of their first attempt.
    on_time_at: Counter = field(default_factory=Counter)
    total_at: Counter = field(default_factory=Counter)

    @property
    def total(self):
        return self.on_time + self.late + self.rejected

    @property
    def on_time_share(self):
        return self.on_time / self.total

    @property
    def served_share(self):
        return (self.on_time + self.late) / self.total

    def find_worst_share(self, width_s=4):
        """Return the lowest share answered in time within any span of `width_s`."""
        spans = range(max(self.total_at) - width_s + 2)
        return min(
            sum(self.on_time_at[s + i] for i in range(width_s))
            / sum(self.total_at[s + i] for i in range(width_s))
            for s in spans
        )


class Policy(Protocol):
    """How an instance orders and limits its waiting callers."""

    def arrive(self, caller: Caller, now: float) -> None:
        """Register a caller."""

    def find_limit(self, caller: Caller, now: float) -> float:
        """Return the share of the capacity that a caller may fill."""

    def find_retry_after_s(self) -> float:
        """Return the retry delay of a rejected caller."""

    def sort(self, waiting: list[Caller], now: float) -> list[Caller]:
        """Return the waiting callers in the order in which they are served."""


class ArrivalOrderPolicy:
    """Baseline: callers are served in order of arrival, with one limit for all."""

    def arrive(self, caller, now):
        pass

    def find_limit(self, caller, now):
        return PLANNED_SHARE

    def find_retry_after_s(self):
        return 0.8

    def sort(self, waiting, now):
        return sorted(waiting, key=lambda caller: caller.arrived_at)


class OnTimeFirstPolicy:
    """The policy of `fulmarward_core.queueing`."""

    def __init__(self, rng):
        self._rng = rng
        self._requests = {}

    def arrive(self, caller, now):
        self._requests[caller.number] = WaitingRequest(
            key=caller.number,
            urgency=0,
            arrived_at=now,
            objective_s=OBJECTIVE_S,
            is_started=False,
        )

    def find_limit(self, caller, now):
        wait_class = classify_request(self._requests[caller.number], now=now)
        return PLANNED_SHARE * find_kv_share(wait_class)

    def find_retry_after_s(self):
        return choose_retry_after_s(self._rng.random())

    def sort(self, waiting, now):
        queue = WaitQueue()
        for caller in waiting:
            queue.add(self._requests[caller.number])
        remaining, ordered = list(waiting), []
        while remaining:
            next_caller = next(
                caller
                for caller in remaining
                if queue.is_next(self._requests[caller.number], now=now)
            )
            ordered.append(next_caller)
            remaining.remove(next_caller)
            queue.remove(self._requests[next_caller.number])
        return ordered


class _Instance:
    def __init__(self, policy):
        self.policy = policy
        self.waiting = []
        self._sent_at = deque()

    def count_sent(self, now):
        while self._sent_at and self._sent_at[0] < now - REPORT_LAG_S:
            self._sent_at.popleft()
        return len(self._sent_at)

    def record_sent(self, now):
        self._sent_at.append(now)


def simulate_load(
    make_policy: Callable[[random.Random], Policy],
    *,
    seed: int,
    find_places: Callable[[float], float],
    find_rate: Callable[[float], float],
    duration_s: float,
) -> Outcome:
    """Return the results of callers that arrive during `duration_s` seconds.

    Each instance knows the number of running requests with a delay, and adds the
    requests that it sent itself in the meantime.
    """
    rng = random.Random(seed)
    instances = [_Instance(make_policy(rng)) for _ in range(INSTANCES)]
    outcome = Outcome()
    running: list[float] = []
    running_history: deque[int] = deque(maxlen=round(REPORT_LAG_S / STEP_S) + 1)
    retrying: list[tuple[float, int, Caller]] = []
    number, now = 0, 0.0
    while now < duration_s + 2 * DEADLINE_S / 3:
        while running and running[0] <= now:
            heapq.heappop(running)
        arrived = []
        # Ten draws per step approximate a Poisson process.
        chance = find_rate(now) * STEP_S / 10 if now < duration_s else 0.0
        for _ in range(sum(rng.random() < chance for _ in range(10))):
            number += 1
            service_s = max(0.5, rng.gauss(1.6, 0.4))
            arrived.append(
                Caller(
                    number=number,
                    first_attempt_at=now,
                    arrived_at=now,
                    service_s=service_s,
                )
            )
            outcome.total_at[int(now)] += 1
        while retrying and retrying[0][0] <= now:
            arrived.append(heapq.heappop(retrying)[2])
        for caller in arrived:
            caller.arrived_at = now
            instance = rng.choice(instances)
            instance.policy.arrive(caller, now)
            instance.waiting.append(caller)
        places, known_running = (
            find_places(now),
            running_history[0] if running_history else 0,
        )
        for instance in rng.sample(instances, len(instances)):
            waiting = instance.policy.sort(instance.waiting, now)
            while waiting:
                limit = places * instance.policy.find_limit(waiting[0], now)
                if known_running + instance.count_sent(now) + 1 > limit:
                    break
                if len(running) + 1 > places:
                    break
                caller = waiting.pop(0)
                instance.record_sent(now)
                heapq.heappush(running, now + caller.service_s)
                is_on_time = (
                    now + FIRST_EVENT_S - caller.first_attempt_at <= OBJECTIVE_S
                )
                outcome.on_time += is_on_time
                outcome.late += not is_on_time
                outcome.on_time_at[int(caller.first_attempt_at)] += is_on_time
            instance.waiting = []
            for caller in waiting:
                if now - caller.arrived_at < TIMEOUT_S:
                    instance.waiting.append(caller)
                elif caller.attempts > 1:
                    outcome.rejected += 1
                else:
                    caller.attempts += 1
                    left_s = caller.first_attempt_at + DEADLINE_S - now
                    retry_s = min(instance.policy.find_retry_after_s(), left_s / 3)
                    entry = now + retry_s, caller.number, caller
                    heapq.heappush(retrying, entry)
        running_history.append(len(running))
        now += STEP_S
    return outcome
