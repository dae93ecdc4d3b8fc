"""An engine in virtual time: slots, a queue by urgency, a cache of prefixes."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fulmarward_standins.demand._types import Call, Scenario
from fulmarward_standins.demand._world import World

#: Streams that may wait in an engine; more are refused.
MOST_WAITING = 64

#: Seconds after which an engine that fails fast gives up a stream.
FAIL_FAST_S = 0.005


@dataclass(kw_only=True, eq=False)
class Stream:
    """A call on an engine."""

    call: Call
    #: Told `first`, then `whole` or `failed`.
    tell: Callable[[str], None]
    #: Whether nobody waits for it any more.
    is_over: bool = False


@dataclass(kw_only=True)
class Engine:
    """The state of one engine."""

    name: str
    data_centre: str
    scenario: Scenario
    #: Factor on its token time, and what else can be wrong with it.
    slow: float = 1.0
    is_failing: bool = False
    is_dead: bool = False
    is_lying: bool = False
    waiting: list[Stream] = field(default_factory=list)
    running: list[Stream] = field(default_factory=list)
    held: OrderedDict[int, None] = field(default_factory=OrderedDict)
    #: Loads seen each tenth of a second.
    loads: deque = field(default_factory=lambda: deque(maxlen=60))
    #: Told each change of the cache: the prefixes held now.
    tell_cache: Callable[[str, frozenset[str]], None] = lambda name, held: None


def start_stream(world: World, engine: Engine, stream: Stream) -> bool:
    """Take a stream in; return whether the engine did."""
    if engine.is_dead or len(engine.waiting) >= MOST_WAITING:
        return False
    if engine.is_failing:
        world.at(world.now + FAIL_FAST_S, lambda: _end(world, engine, stream, "failed"))
        return True
    engine.waiting.append(stream)
    engine.waiting.sort(key=lambda item: item.call.kind.urgency)
    _fill_slots(world, engine)
    return True


def cancel_stream(world: World, engine: Engine, stream: Stream) -> None:
    """Free the place of a stream that nobody waits for."""
    stream.is_over = True
    _leave(world, engine, stream)


def fail_all(world: World, engine: Engine) -> None:
    """End every stream of an engine that died."""
    for stream in [*engine.running, *engine.waiting]:
        _end(world, engine, stream, "failed")


def _fill_slots(world: World, engine: Engine) -> None:
    scenario = engine.scenario
    while engine.waiting and len(engine.running) < scenario.slots:
        stream = engine.waiting.pop(0)
        engine.running.append(stream)
        call = stream.call
        call.had_prefix = _use_prefix(engine, call)
        saved = scenario.prefix_tokens if call.had_prefix else 0
        token_s = scenario.token_s * engine.slow
        call.token_s = token_s
        first_s = max(0, call.prompt - saved) * scenario.prefill_s + token_s
        whole_s = first_s + (call.output - 1) * token_s
        world.at(world.now + first_s, lambda stream=stream: _tell_first(stream))
        world.at(
            world.now + whole_s,
            lambda stream=stream: _end(world, engine, stream, "whole"),
        )


def _use_prefix(engine: Engine, call: Call) -> bool:
    if call.prefix < 0:
        return False
    is_held = call.prefix in engine.held
    engine.held[call.prefix] = None
    engine.held.move_to_end(call.prefix)
    if len(engine.held) > engine.scenario.cache_entries:
        engine.held.popitem(last=False)
    if not is_held:
        engine.tell_cache(engine.name, frozenset(map(str, engine.held)))
    return is_held


def _tell_first(stream: Stream) -> None:
    if not stream.is_over:
        stream.tell("first")


def _end(world: World, engine: Engine, stream: Stream, how: str) -> None:
    if stream.is_over:
        return
    stream.is_over = True
    _leave(world, engine, stream)
    stream.tell(how)


def _leave(world: World, engine: Engine, stream: Stream) -> None:
    if stream in engine.running:
        engine.running.remove(stream)
    if stream in engine.waiting:
        engine.waiting.remove(stream)
    if not engine.is_dead:
        _fill_slots(world, engine)
