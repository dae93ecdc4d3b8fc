"""Plays callers before instances that share the places of a fleet, in played time."""

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

#: Seconds of a step of played time, and by which news of others' requests lags.
STEP_S = 0.04
LAG_S = 0.2

OBJECTIVE_S = 0.6
DEADLINE_S = 20.0
FIRST_EVENT_S = 0.15
TIMEOUT_S = 0.9
PLANNED_SHARE = 0.9

INSTANCES = 20


@dataclass(kw_only=True)
class Caller:
    """A caller, who returns once after a rejection."""

    number: int
    first_at: float
    arrived_at: float
    service_s: float
    tries: int = 1


@dataclass(kw_only=True)
class Outcome:
    """What the callers got."""

    on_time: int = 0
    late: int = 0
    rejected: int = 0
    #: Callers answered in time, and all of them, by second of their first try.
    on_time_at: Counter = field(default_factory=Counter)
    asked_at: Counter = field(default_factory=Counter)

    @property
    def asked(self):
        return self.on_time + self.late + self.rejected

    @property
    def on_time_share(self):
        return self.on_time / self.asked

    @property
    def served_share(self):
        return (self.on_time + self.late) / self.asked

    def find_worst_share(self, width_s=4):
        """Return the least share answered in time in a span of that many seconds."""
        spans = range(max(self.asked_at) - width_s + 2)
        return min(
            sum(self.on_time_at[s + i] for i in range(width_s))
            / sum(self.asked_at[s + i] for i in range(width_s))
            for s in spans
        )


class Policy(Protocol):
    """How one instance treats those that wait."""

    def arrive(self, caller: Caller, now: float) -> None:
        """Take in a caller."""

    def find_limit(self, caller: Caller, now: float) -> float:
        """Return the share of the capacity that may be filled for a caller."""

    def find_retry_after_s(self) -> float:
        """Return when a rejected caller returns."""

    def sort(self, waiting: list[Caller], now: float) -> list[Caller]:
        """Return those that wait, the next one first."""


class InOrderOfArrival:
    """The plain policy: whoever came first goes first, up to the same limit."""

    def arrive(self, caller, now):
        pass

    def find_limit(self, caller, now):
        return PLANNED_SHARE

    def find_retry_after_s(self):
        return 0.8

    def sort(self, waiting, now):
        return sorted(waiting, key=lambda caller: caller.arrived_at)


class OnTimeFirst:
    """The policy of the slice."""

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
        left, ordered = list(waiting), []
        while left:
            following = next(
                caller
                for caller in left
                if queue.is_next(self._requests[caller.number], now=now)
            )
            ordered.append(following)
            left.remove(following)
            queue.remove(self._requests[following.number])
        return ordered


class _Instance:
    def __init__(self, policy):
        self.policy = policy
        self.waiting = []
        self._sent_at = deque()

    def count_sent(self, now):
        while self._sent_at and self._sent_at[0] < now - LAG_S:
            self._sent_at.popleft()
        return len(self._sent_at)

    def note_sent(self, now):
        self._sent_at.append(now)


def play_load(
    make_policy: Callable[[random.Random], Policy],
    *,
    seed: int,
    find_places: Callable[[float], float],
    find_rate: Callable[[float], float],
    for_s: float,
) -> Outcome:
    """Return what callers got while they came for so many seconds.

    Each instance knows what runs by news that lag, and what it sent since.
    """
    rng = random.Random(seed)
    instances = [_Instance(make_policy(rng)) for _ in range(INSTANCES)]
    outcome = Outcome()
    running: list[float] = []
    known: deque[int] = deque(maxlen=round(LAG_S / STEP_S) + 1)
    returning: list[tuple[float, int, Caller]] = []
    number, now = 0, 0.0
    while now < for_s + 2 * DEADLINE_S / 3:
        while running and running[0] <= now:
            heapq.heappop(running)
        arrived = []
        # Ten chances a step: close to a Poisson process.
        chance = find_rate(now) * STEP_S / 10 if now < for_s else 0.0
        for _ in range(sum(rng.random() < chance for _ in range(10))):
            number += 1
            service_s = max(0.5, rng.gauss(1.6, 0.4))
            arrived.append(
                Caller(number=number, first_at=now, arrived_at=now, service_s=service_s)
            )
            outcome.asked_at[int(now)] += 1
        while returning and returning[0][0] <= now:
            arrived.append(heapq.heappop(returning)[2])
        for caller in arrived:
            caller.arrived_at = now
            instance = rng.choice(instances)
            instance.policy.arrive(caller, now)
            instance.waiting.append(caller)
        places, before = find_places(now), known[0] if known else 0
        for instance in rng.sample(instances, len(instances)):
            waiting = instance.policy.sort(instance.waiting, now)
            while waiting:
                limit = places * instance.policy.find_limit(waiting[0], now)
                if before + instance.count_sent(now) + 1 > limit:
                    break
                if len(running) + 1 > places:
                    break
                caller = waiting.pop(0)
                instance.note_sent(now)
                heapq.heappush(running, now + caller.service_s)
                is_on_time = now + FIRST_EVENT_S - caller.first_at <= OBJECTIVE_S
                outcome.on_time += is_on_time
                outcome.late += not is_on_time
                outcome.on_time_at[int(caller.first_at)] += is_on_time
            instance.waiting = []
            for caller in waiting:
                if now - caller.arrived_at < TIMEOUT_S:
                    instance.waiting.append(caller)
                elif caller.tries > 1:
                    outcome.rejected += 1
                else:
                    caller.tries += 1
                    left_s = caller.first_at + DEADLINE_S - now
                    retry_s = min(instance.policy.find_retry_after_s(), left_s / 3)
                    entry = now + retry_s, caller.number, caller
                    heapq.heappush(returning, entry)
        known.append(len(running))
        now += STEP_S
    return outcome
