"""Placement decisions: desired state of targets and the next actions of a rollout."""

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

from fulmarward_core.declaration import Declaration, TargetKind
from fulmarward_core.placement._types import (
    Action,
    ActionKind,
    DesiredState,
    EngineState,
    Outcomes,
    ReportedState,
    Rollout,
    RolloutPhase,
)

#: Targets of a pool that load weights at the same time. After an outage all targets of
#: a pool may be empty; if all loaded at once, they would share the weight store's rate
#: and none would finish. Two loads use the full rate, and the first targets serve soon.
MAX_CONCURRENT_LOADS = 2

#: Attempts on the new version after which a rollout continues with the next target.
SOAK_ATTEMPTS = 20

#: Seconds after which a rollout continues even with fewer attempts, so that it also
#: ends for a pipeline with little traffic. Longer than most requests take.
SOAK_S = 10.0

#: Minimum seconds between a change and the next one: requests sent to the changed
#: target count only once they have ended.
SETTLE_S = 1.0

#: A rollout stops if the new version has at least this many failures and its failure
#: rate exceeds the old version's by this margin. Otherwise a version that breaks some
#: requests would reach all callers. Fewer failures, or a similar rate with the old
#: version, have other causes.
MIN_FAILURES_TO_STOP = 3
MAX_FAILURE_RATE_INCREASE = 0.1


def can_serve(
    held: ReportedState | None,
    *,
    model: str,
    versions: Collection[str],
    adapter: str | None,
    layers: tuple[int, int],
) -> bool:
    """Return whether a target with the reported state `held` can run a request.

    A target without a report counts as able: if it refuses, one attempt is lost and
    nothing has run. During a rollout all declared versions serve; otherwise the first
    target of the new version would have to take the whole load.
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


def list_desired_states(declaration: Declaration, pool: str) -> dict[str, DesiredState]:
    """Return the desired state of each engine of the pool (the model's name)."""
    model = declaration.models[pool]
    return {
        name: DesiredState(
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
    """Return whether some of `ranges`, placed end to end, cover `[0, layers)`."""
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached


def needs_load(engine: EngineState) -> bool:
    """Return whether the engine must load weights to reach its desired state."""
    if engine.held is None:
        return False
    return _identify_weights(engine.held.state) != _identify_weights(engine.wanted)


def _identify_weights(state: DesiredState) -> tuple[object, ...]:
    return (state.model, state.version, state.layers)


def _is_serving(engine: EngineState, versions: Collection[str]) -> bool:
    """Return whether the engine accepts requests now."""
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
    """Return whether the pool still serves complete pipelines without one engine.

    The layer ranges of the other engines must cover the model in at least one version,
    so that a rollout or a move never takes away a pipeline's last serving target.
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
    """Return the actions that a pool needs now. Repeating an action is harmless.

    `may_take_next` tells whether the rollout may change another serving target.
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
        *_plan_without_load(answering),
        *_plan_loads(
            answering, versions, rollout, max_loads=MAX_CONCURRENT_LOADS - loading
        ),
    ]
    is_busy = loading > 0 or any(engine.is_draining for engine in answering)
    if may_take_next and not is_busy and not actions:
        actions += _plan_next(engines, layers, versions)
    return actions


def _plan_without_load(engines: Iterable[EngineState]) -> Iterator[Action]:
    """Plan orders that load no weights, during which the target keeps serving.

    A new lease holder sends an order to every engine, even if the engine has the
    desired state already: an engine that checks fencing numbers refuses the orders of a
    paused previous holder only after it has seen a higher number.
    """
    for engine in engines:
        if needs_load(engine) or engine.held.is_loading:
            continue
        if engine.held.state != engine.wanted:
            yield _make_order(engine, "differs")
        elif not engine.is_asserted:
            yield _make_order(engine, "assert")
        elif engine.is_draining:
            yield Action(kind=ActionKind.OPEN, target=engine.name, reason="as_wanted")


def _plan_loads(
    engines: Iterable[EngineState],
    versions: Sequence[str],
    rollout: Rollout,
    *,
    max_loads: int,
) -> Iterator[Action]:
    """Plan loads on targets that serve nothing: empty ones and the drained one."""
    is_stopped = rollout.phase is RolloutPhase.STOPPED
    for engine in engines:
        if not needs_load(engine) or engine.held.is_loading:
            continue
        if is_stopped:
            if engine.is_draining:
                yield Action(kind=ActionKind.OPEN, target=engine.name, reason="stopped")
            continue
        if engine.is_leaving or _is_serving(engine, versions) or max_loads <= 0:
            continue
        is_idle = engine.load == 0 and engine.is_drain_settled
        would_serve = _would_serve(engine, versions)
        if is_idle or not would_serve:
            max_loads -= 1
            yield _make_order(engine, "drained" if would_serve else "empty")


def _would_serve(engine: EngineState, versions: Sequence[str]) -> bool:
    undrained = replace(engine, is_leaving=False, is_draining=False)
    return _is_serving(undrained, versions)


def _plan_next(
    engines: Sequence[EngineState], layers: int, versions: Sequence[str]
) -> list[Action]:
    for engine in engines:
        if engine.is_leaving or not needs_load(engine):
            continue
        if leaves_whole_chain(engines, engine.name, layers=layers, versions=versions):
            return [Action(kind=ActionKind.DRAIN, target=engine.name, reason="rollout")]
    return []


def _make_order(engine: EngineState, reason: str) -> Action:
    return Action(kind=ActionKind.ORDER, target=engine.name, reason=reason)


def is_worse(new: Outcomes, old: Outcomes) -> bool:
    """Return whether the new version's failures must stop the rollout."""
    return new.failures >= MIN_FAILURES_TO_STOP and _has_worse_rate(new, old)


def _has_worse_rate(new: Outcomes, old: Outcomes) -> bool:
    old_rate = old.failures / old.tries if old.tries else 0.0
    new_rate = new.failures / new.tries if new.tries else 0.0
    return new_rate > old_rate + MAX_FAILURE_RATE_INCREASE


def has_soaked(
    rollout: Rollout, engines: Iterable[EngineState], new: Outcomes, *, now: float
) -> bool:
    """Return whether the targets changed so far have served for long enough.

    Time alone is no proof: routing avoids a target that fails, so it gets hardly any
    attempts, and the rollout would continue with the next target.
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
    return new.tries >= SOAK_ATTEMPTS or passed >= SOAK_S


def advance_rollout(
    rollout: Rollout,
    engines: Sequence[EngineState],
    *,
    layers: int,
    versions: Sequence[str],
    new: Outcomes,
    old: Outcomes,
) -> Rollout:
    """Return the rollout with its current phase.

    A stopped rollout stays stopped until another version is declared, which starts a
    new rollout.
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
    can_proceed = any(engine.is_draining or engine.is_ordered for engine in engines)
    can_proceed = can_proceed or any(
        not _is_serving(engine, versions)
        or leaves_whole_chain(engines, engine.name, layers=layers, versions=versions)
        for engine in behind
    )
    phase = RolloutPhase.RUNNING if can_proceed else RolloutPhase.BLOCKED
    return replace(rollout, phase=phase)


def add_outcomes(counts: Iterable[Outcomes], version: str) -> tuple[Outcomes, Outcomes]:
    """Return the summed outcomes of the new version and of all other versions."""
    groups: Mapping[bool, list[Outcomes]] = {True: [], False: []}
    for item in counts:
        groups[item.version == version].append(item)
    return tuple(
        Outcomes(
            version=name,
            tries=sum(item.tries for item in groups[is_new]),
            failures=sum(item.failures for item in groups[is_new]),
        )
        for is_new, name in ((True, version), (False, ""))
    )
