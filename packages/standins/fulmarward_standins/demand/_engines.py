"""A simulated engine: slots, a queue ordered by urgency, and a prefix cache."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_standins.demand._simulation import Simulation
from fulmarward_standins.demand._types import Call, Scenario

#: Maximum queue length of an engine; further streams are refused.
MAX_WAITING = 64

#: Seconds after which a failing engine aborts a stream.
FAIL_FAST_S = 0.005


@dataclass(kw_only=True, eq=False)
class Stream:
    """A call that is queued or running on an engine."""

    call: Call
    #: Called with `first` at the first token, then with `whole` or `failed`.
    on_event: Callable[[str], None]
    #: Whether the stream has ended or was cancelled.
    is_over: bool = False


@dataclass(kw_only=True)
class Engine:
    """State of an engine."""

    name: str
    data_centre: str
    scenario: Scenario
    #: Factor on the time per output token, and flags of other faults.
    slowdown: float = 1.0
    is_failing: bool = False
    is_dead: bool = False
    reports_no_load: bool = False
    waiting: list[Stream] = field(default_factory=list)
    running: list[Stream] = field(default_factory=list)
    cached_prefixes: OrderedDict[int, None] = field(default_factory=OrderedDict)
    #: Time and numbers of running and waiting streams, every 0.1 s of the last 6 s.
    loads: deque = field(default_factory=lambda: deque(maxlen=60))
    #: Called with the cached prefixes after each change.
    on_cache_change: Callable[[str, frozenset[str]], None] = (
        lambda name, cached_prefixes: None
    )


def start_stream(simulation: Simulation, engine: Engine, stream: Stream) -> bool:
    """Queue a stream; return whether the engine accepted it."""
    if engine.is_dead or len(engine.waiting) >= MAX_WAITING:
        return False
    if engine.is_failing:
        simulation.schedule(
            simulation.now + FAIL_FAST_S,
            lambda: _end_stream(simulation, engine, stream, "failed"),
        )
        return True
    engine.waiting.append(stream)
    engine.waiting.sort(key=lambda item: item.call.kind.urgency)
    _fill_slots(simulation, engine)
    return True


def cancel_stream(simulation: Simulation, engine: Engine, stream: Stream) -> None:
    """Cancel a stream and free its slot."""
    stream.is_over = True
    _release_slot(simulation, engine, stream)


def fail_all(simulation: Simulation, engine: Engine) -> None:
    """Fail all streams of an engine."""
    for stream in [*engine.running, *engine.waiting]:
        _end_stream(simulation, engine, stream, "failed")


def _fill_slots(simulation: Simulation, engine: Engine) -> None:
    scenario = engine.scenario
    while engine.waiting and len(engine.running) < scenario.slots:
        stream = engine.waiting.pop(0)
        engine.running.append(stream)
        call = stream.call
        call.had_prefix = _use_prefix(engine, call)
        saved = scenario.prefix_tokens if call.had_prefix else 0
        token_s = scenario.token_s * engine.slowdown
        call.token_s = token_s
        first_s = max(0, call.prompt - saved) * scenario.prefill_s + token_s
        whole_s = first_s + (call.output - 1) * token_s
        simulation.schedule(
            simulation.now + first_s, lambda stream=stream: _report_first_token(stream)
        )
        simulation.schedule(
            simulation.now + whole_s,
            lambda stream=stream: _end_stream(simulation, engine, stream, "whole"),
        )


def _use_prefix(engine: Engine, call: Call) -> bool:
    if call.prefix < 0:
        return False
    is_held = call.prefix in engine.cached_prefixes
    engine.cached_prefixes[call.prefix] = None
    engine.cached_prefixes.move_to_end(call.prefix)
    if len(engine.cached_prefixes) > engine.scenario.cache_entries:
        engine.cached_prefixes.popitem(last=False)
    if not is_held:
        engine.on_cache_change(engine.name, frozenset(map(str, engine.cached_prefixes)))
    return is_held


def _report_first_token(stream: Stream) -> None:
    if not stream.is_over:
        stream.on_event("first")


def _end_stream(
    simulation: Simulation, engine: Engine, stream: Stream, how: str
) -> None:
    if stream.is_over:
        return
    stream.is_over = True
    _release_slot(simulation, engine, stream)
    stream.on_event(how)


def _release_slot(simulation: Simulation, engine: Engine, stream: Stream) -> None:
    if stream in engine.running:
        engine.running.remove(stream)
    if stream in engine.waiting:
        engine.waiting.remove(stream)
    if not engine.is_dead:
        _fill_slots(simulation, engine)
