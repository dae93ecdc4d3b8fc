"""A discrete-event simulation: a heap of actions ordered by virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_standins.demand._types import Call, RunRecord, Scenario

#: Maximum number of resubmissions of a call.
MAX_RESUBMISSIONS = 3

#: Seconds before a resubmission if the refusal names no delay.
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(kw_only=True)
class Simulation:
    """Virtual time, the event queue, and the results so far."""

    scenario: Scenario
    generator: random.Random
    now: float = 0.0
    actions: list = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)
    record: RunRecord = field(default_factory=RunRecord)
    #: Delivers a call to an instance.
    submit: Callable[[Call], None] = lambda call: None

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Run `action` at virtual time `when`."""
        heapq.heappush(self.actions, (when, next(self.sequence), action))

    def schedule_every(self, period_s: float, action: Callable[[], None]) -> None:
        """Run `action` now and every `period_s`, until 60 s after `duration_s`."""

        def repeat() -> None:
            action()
            if self.now < self.scenario.duration_s + 60:
                self.schedule(self.now + period_s, repeat)

        self.schedule(self.now, repeat)


def run_simulation(simulation: Simulation) -> None:
    """Run actions until the queue is empty."""
    while simulation.actions:
        simulation.now, _, action = heapq.heappop(simulation.actions)
        action()


def finish_call(simulation: Simulation, call: Call, outcome: str) -> None:
    """Record the outcome of a call."""
    call.outcome = outcome
    call.ended_at = simulation.now


def refuse_call(
    simulation: Simulation, call: Call, code: str, retry_after_s: float | None
) -> None:
    """Refuse a call, and schedule its resubmission if the caller retries."""
    record = simulation.record
    record.refusals_s.append(simulation.now - call.arrived)
    record.codes[code] = record.codes.get(code, 0) + 1
    finish_call(simulation, call, "refused")
    if not call.retries_when_told or call.resubmissions >= MAX_RESUBMISSIONS:
        return
    after_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
    simulation.schedule(simulation.now + after_s, lambda: _resubmit(simulation, call))


def _resubmit(simulation: Simulation, call: Call) -> None:
    call.resubmissions += 1
    call.arrived = simulation.now
    call.outcome = ""
    simulation.submit(call)
    if call.outcome != "refused":
        call.resubmissions_admitted += 1
