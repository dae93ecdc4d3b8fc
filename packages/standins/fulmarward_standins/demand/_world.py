"""Virtual time: a heap of actions, run in order without a clock."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_standins.demand._types import Call, Scenario, Tally

#: Times that a caller comes back when told to.
MOST_RETURNS = 3

#: Seconds after which a caller comes back when not told when.
UNTOLD_RETURN_S = 1.0


@dataclass(kw_only=True)
class World:
    """The present time, what is to happen, and what came out so far."""

    scenario: Scenario
    generator: random.Random
    now: float = 0.0
    actions: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    tally: Tally = field(default_factory=Tally)
    #: How a call reaches an instance.
    submit: Callable[[Call], None] = lambda call: None

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run `action` at a moment."""
        heapq.heappush(self.actions, (when, next(self.numbers), action))

    def every(self, period_s: float, action: Callable[[], None]) -> None:
        """Run `action` now and each `period_s` until well after the last arrival."""

        def again() -> None:
            action()
            if self.now < self.scenario.length_s + 60:
                self.at(self.now + period_s, again)

        self.at(self.now, again)


def run_world(world: World) -> None:
    """Run until nothing is left to happen."""
    while world.actions:
        world.now, _, action = heapq.heappop(world.actions)
        action()


def finish_call(world: World, call: Call, end: str) -> None:
    """Note the end of a call."""
    call.end = end
    call.ended_at = world.now


def refuse_call(
    world: World, call: Call, code: str, retry_after_s: float | None
) -> None:
    """Tell a caller that its request was not run; one that obeys comes back."""
    tally = world.tally
    tally.refusals_s.append(world.now - call.arrived)
    tally.codes[code] = tally.codes.get(code, 0) + 1
    finish_call(world, call, "refused")
    if not call.obeys or call.returns >= MOST_RETURNS:
        return
    after_s = UNTOLD_RETURN_S if retry_after_s is None else retry_after_s
    world.at(world.now + after_s, lambda: _come_back(world, call))


def _come_back(world: World, call: Call) -> None:
    call.returns += 1
    call.arrived = world.now
    call.end = ""
    world.submit(call)
    if call.end != "refused":
        call.returns_taken += 1
