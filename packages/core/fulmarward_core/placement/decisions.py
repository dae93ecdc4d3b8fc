"""Decisions about placement: what a target shall hold and which step comes next."""

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

from fulmarward_core.declaration import Declaration, TargetKind
from fulmarward_core.placement._types import (
    Action,
    ActionKind,
    EngineState,
    Held,
    Outcomes,
    Rollout,
    RolloutPhase,
    Wanted,
)

#: Targets of a pool that load weights at once. Load: all targets of a pool empty after
#: an outage; harm: the weight store's rate shared by so many loads that none ends;
#: reason: two keep it busy, and the first targets serve soon.
MOST_LOADS = 2

#: Attempts on the new version after which a rollout takes the next target.
ENOUGH_TRIES = 20

#: Seconds after which it takes the next one with fewer. Load: a pipeline in the night;
#: harm: a rollout that never ends; reason: longer than most requests take.
SOAK_S = 10.0

#: Seconds after a change for which a rollout waits in any case: requests sent to the
#: changed target have to end before they can count.
SETTLE_S = 1.0

#: Failures on the new version that stop a rollout, and by how much its rate of
#: failures has to be above the old one's. Load: a version that breaks some requests;
#: harm: all callers get it; reason: fewer failures, or a rate that is as bad with the
#: old version, come from elsewhere.
STOP_FAILURES = 3
STOP_RATE_ABOVE = 0.1


def can_serve(
    held: Held | None,
    *,
    model: str,
    versions: Collection[str],
    adapter: str | None,
    layers: tuple[int, int],
) -> bool:
    """Return whether a target that says it holds `held` can run a request.

    A target that has not reported is tried: its refusal costs one attempt and runs
    nothing. During a rollout every declared version serves, else the first target of
    the new version would have to carry the load of all.
    """
    if held is None:
        return True
    state = held.state
    return (
        not held.is_loading
        and state.role == "serving"
        and state.model == model
        and state.version in versions
        and state.layers == layers
        and (adapter is None or adapter in state.adapters)
    )


def list_wanted(declaration: Declaration, pool: str) -> dict[str, Wanted]:
    """Return what each engine of a pool (name of a model) shall hold."""
    model = declaration.models[pool]
    return {
        name: Wanted(
            model=pool,
            version=model.serving,
            layers=target.layers,
            adapters=tuple(sorted(model.adapters)),
            role="serving",
        )
        for name, target in declaration.targets.items()
        if target.kind is TargetKind.ENGINE and target.serves == pool
    }


def has_whole_chain(ranges: Collection[tuple[int, int]], layers: int) -> bool:
    """Return whether some of `ranges`, end to end, cover `[0, layers)`."""
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached


def needs_load(engine: EngineState) -> bool:
    """Return whether weights have to be loaded for what the engine shall hold."""
    if engine.held is None:
        return False
    return _list_weights(engine.held.state) != _list_weights(engine.wanted)


def _list_weights(state: Wanted) -> tuple[object, ...]:
    return (state.model, state.version, state.layers)


def _is_serving(engine: EngineState, versions: Collection[str]) -> bool:
    """Return whether requests can be sent to the engine now."""
    return (
        engine.held is not None
        and not (engine.is_leaving or engine.is_draining or engine.is_ordered)
        and can_serve(
            engine.held,
            model=engine.wanted.model,
            versions=versions,
            adapter=None,
            layers=engine.wanted.layers,
        )
    )


def leaves_whole_chain(
    engines: Iterable[EngineState],
    without: str,
    *,
    layers: int,
    versions: Sequence[str],
) -> bool:
    """Return whether the pool serves whole pipelines without one engine.

    Guards against a rollout or a move that takes the last serving target of a pipeline
    away: for one version at least the ranges of layers of the others cover the model.
    """
    ranges: dict[str, set[tuple[int, int]]] = {}
    for engine in engines:
        if engine.name != without and _is_serving(engine, versions):
            state = engine.held.state
            ranges.setdefault(state.version, set()).add(state.layers)
    return any(has_whole_chain(found, layers) for found in ranges.values())


def plan_actions(
    engines: Sequence[EngineState],
    *,
    layers: int,
    versions: Sequence[str],
    rollout: Rollout,
    may_take_next: bool,
) -> list[Action]:
    """Return what to do to a pool now. Repeating what was done is harmless.

    `may_take_next` is whether the rollout may change one more serving target.
    """
    answering = [
        engine
        for engine in engines
        if engine.held is not None and not engine.is_ordered
    ]
    loading = sum(
        engine.is_ordered or (engine.held is not None and engine.held.is_loading)
        for engine in engines
    )
    actions = [
        *_plan_light(answering),
        *_plan_loads(answering, versions, rollout, most=MOST_LOADS - loading),
    ]
    is_busy = loading > 0 or any(engine.is_draining for engine in answering)
    if may_take_next and not is_busy and not actions:
        actions += _plan_next(engines, layers, versions)
    return actions


def _plan_light(engines: Iterable[EngineState]) -> Iterator[Action]:
    """Plan what loads no weights, so that the target serves on meanwhile.

    The first order of a holding goes to every engine, also to one that holds what it
    shall: an engine that checks fencing numbers refuses a paused predecessor's orders
    only after it has seen a higher number.
    """
    for engine in engines:
        if needs_load(engine) or engine.held.is_loading:
            continue
        if engine.held.state != engine.wanted:
            yield _order(engine, "differs")
        elif not engine.is_asserted:
            yield _order(engine, "assert")
        elif engine.is_draining:
            yield Action(kind=ActionKind.OPEN, target=engine.name, reason="as_wanted")


def _plan_loads(
    engines: Iterable[EngineState],
    versions: Sequence[str],
    rollout: Rollout,
    *,
    most: int,
) -> Iterator[Action]:
    """Plan loads on targets that serve nothing: empty ones, and the drained one."""
    is_stopped = rollout.phase is RolloutPhase.STOPPED
    for engine in engines:
        if not needs_load(engine) or engine.held.is_loading:
            continue
        if is_stopped:
            if engine.is_draining:
                yield Action(kind=ActionKind.OPEN, target=engine.name, reason="stopped")
            continue
        if engine.is_leaving or _is_serving(engine, versions) or most <= 0:
            continue
        is_idle = engine.load == 0 and engine.is_drain_settled
        is_of_use = _could_serve(engine, versions)
        if is_idle or not is_of_use:
            most -= 1
            yield _order(engine, "drained" if is_of_use else "empty")


def _could_serve(engine: EngineState, versions: Sequence[str]) -> bool:
    opened = replace(engine, is_leaving=False, is_draining=False)
    return _is_serving(opened, versions)


def _plan_next(
    engines: Sequence[EngineState], layers: int, versions: Sequence[str]
) -> list[Action]:
    for engine in engines:
        if engine.is_leaving or not needs_load(engine):
            continue
        if leaves_whole_chain(engines, engine.name, layers=layers, versions=versions):
            return [Action(kind=ActionKind.DRAIN, target=engine.name, reason="rollout")]
    return []


def _order(engine: EngineState, reason: str) -> Action:
    return Action(kind=ActionKind.ORDER, target=engine.name, reason=reason)


def is_worse(new: Outcomes, old: Outcomes) -> bool:
    """Return whether the new version fails so much more often that it has to stop."""
    return new.failures >= STOP_FAILURES and _has_worse_rate(new, old)


def _has_worse_rate(new: Outcomes, old: Outcomes) -> bool:
    old_rate = old.failures / old.tries if old.tries else 0.0
    new_rate = new.failures / new.tries if new.tries else 0.0
    return new_rate > old_rate + STOP_RATE_ABOVE


def has_soaked(
    rollout: Rollout, engines: Iterable[EngineState], new: Outcomes, *, now: float
) -> bool:
    """Return whether the targets changed so far have served for long enough.

    Guards against a target that fails and is set aside by routing: it is hardly tried
    any more, and time alone would take the rollout to the next one.
    """
    holders = (
        engine.held is not None and engine.held.state.version == rollout.version
        for engine in engines
    )
    if not any(holders):
        return True
    passed = now - rollout.changed_at
    if passed < SETTLE_S or rollout.has_failed:
        return False
    return new.tries >= ENOUGH_TRIES or passed >= SOAK_S


def advance_rollout(
    rollout: Rollout,
    engines: Sequence[EngineState],
    *,
    layers: int,
    versions: Sequence[str],
    new: Outcomes,
    old: Outcomes,
) -> Rollout:
    """Return where the rollout stands now; one that was stopped stays so.

    A stopped rollout ends when another version is declared: that is another rollout.
    """
    if rollout.phase is RolloutPhase.STOPPED:
        return rollout
    if new.tries > 0:
        rollout = replace(rollout, has_failed=_has_worse_rate(new, old))
    behind = [
        engine for engine in engines if needs_load(engine) and not engine.is_leaving
    ]
    if behind and is_worse(new, old):
        reason = (
            f"{new.failures} of {new.tries} attempts failed on {new.version}, "
            f"{old.failures} of {old.tries} before"
        )
        return replace(rollout, phase=RolloutPhase.STOPPED, reason=reason)
    if not behind:
        return replace(rollout, phase=RolloutPhase.DONE)
    can_go_on = any(engine.is_draining or engine.is_ordered for engine in engines)
    can_go_on = can_go_on or any(
        not _is_serving(engine, versions)
        or leaves_whole_chain(engines, engine.name, layers=layers, versions=versions)
        for engine in behind
    )
    phase = RolloutPhase.RUNNING if can_go_on else RolloutPhase.BLOCKED
    return replace(rollout, phase=phase)


def add_outcomes(counts: Iterable[Outcomes], version: str) -> tuple[Outcomes, Outcomes]:
    """Return the sums of the new version's outcomes and of all others'."""
    found: Mapping[bool, list[Outcomes]] = {True: [], False: []}
    for item in counts:
        found[item.version == version].append(item)
    return tuple(
        Outcomes(
            version=name,
            tries=sum(item.tries for item in found[is_new]),
            failures=sum(item.failures for item in found[is_new]),
        )
        for is_new, name in ((True, version), (False, ""))
    )
