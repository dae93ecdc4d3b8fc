"""The control loop of a pool's lease holder: poll engines, plan, send orders."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fulmarward._instance import Instance
from fulmarward.health import note_placement
from fulmarward.observability import log_event
from fulmarward.peers import PeerLinks
from fulmarward.placement._lease import LeaseKeeper, is_holder
from fulmarward.placement._peer_queries import count_in_flight, gather_outcomes
from fulmarward.placement._status import PoolStatus, read_rollout, write_status
from fulmarward.platform import PlatformUnavailable
from fulmarward.targets import (
    OrderAccepted,
    OrderRefused,
    StreamBroken,
    read_load,
    send_order,
)
from fulmarward_core.declaration import Model, Target
from fulmarward_core.health import (
    REPORT_BYTES,
    LeavingSource,
    Pacer,
    list_sources,
    reserve,
)
from fulmarward_core.leases import abandon_lease
from fulmarward_core.placement import (
    Action,
    ActionKind,
    DesiredState,
    EngineState,
    ReportedState,
    Rollout,
    RolloutPhase,
    add_outcomes,
    advance_rollout,
    has_soaked,
    list_desired_states,
    plan_actions,
)

#: Seconds between two iterations of a pool's control loop.
LOOP_INTERVAL_S = 0.25

#: Seconds after the start of a drain for which an engine is not taken as idle. The
#: drain has to reach 330 instances over 9 gossip hops of some tens of milliseconds
#: each, requests already sent have to arrive, and an engine's load report lags. With
#: less time a request can reach an engine that is loading.
DRAIN_SETTLE_S = 1.5

#: Bytes a second for polling engines, beside the reports of followed targets.
POLL_BYTES_PER_S = 800.0

#: Seconds for which an engine is not polled again. Polling more often costs bytes for
#: state that rarely changes; in a small pool the effect of a late order is still found
#: within this time.
FRESH_S = 1.0

#: Age in seconds at which an observation expires and the engine counts as not
#: answering: one round over 1,025 engines polled at POLL_BYTES_PER_S.
OBSERVATION_TTL_S = 900.0

#: Iterations between two checks of outcomes, about two seconds. Each check costs
#: traffic between peers.
OUTCOME_CHECK_ITERATIONS = 8


@dataclass(frozen=True, kw_only=True)
class _Observation:
    held: ReportedState
    load: int
    at: float


@dataclass(kw_only=True)
class PoolPlacement:
    """State of a pool's control loop, reset each time the lease is acquired."""

    #: The pool's lease.
    keeper: LeaseKeeper
    #: The fencing number of the lease term that the fields below belong to.
    fencing: int = 0
    #: Earliest time at which orders may be sent.
    orders_from: float = float("inf")
    #: Progress of the rollout of the declared version.
    rollout: Rollout | None = None
    #: The last observation of each engine.
    observations: dict[str, _Observation] = field(default_factory=dict)
    #: Engines that have applied an order sent under this fencing number.
    asserted: set[str] = field(default_factory=set)
    #: Orders in flight by target.
    orders: dict[str, asyncio.Task] = field(default_factory=dict)
    #: Start of the drain of each draining engine.
    drained_at: dict[str, float] = field(default_factory=dict)
    #: The status last written.
    status: PoolStatus | None = None
    #: Iterations so far.
    iterations: int = 0
    #: Limits polling to POLL_BYTES_PER_S.
    pacer: Pacer = field(default_factory=lambda: Pacer(bytes_per_s=POLL_BYTES_PER_S))


def _start_term(instance: Instance, placement: PoolPlacement) -> None:
    """Reset the state, and delay orders until those of the last holder have expired.

    A paused predecessor may have an order still in flight. An engine that checks
    fencing numbers refuses it once it has applied an order of this holder. An engine
    that ignores them applies it, so no order is sent before the longest flight time
    (`order_ms`) is over, and the engine's state is polled repeatedly after that.
    """
    limits = instance.settings.limits
    targets = instance.snapshot.declaration.targets
    pool = placement.keeper.pool
    all_check = all(
        target.checks_fencing for target in targets.values() if target.serves == pool
    )
    flight_s = 0.0 if all_check else limits.order_ms / 1000
    placement.fencing = placement.keeper.state.fencing
    placement.orders_from = instance.read_clock() + flight_s
    placement.rollout = None
    placement.observations = {}
    placement.asserted = set()
    placement.drained_at = {}
    placement.status = None
    log_event("placement_begun", pool=pool, fencing=placement.fencing, wait_s=flight_s)


async def _poll(
    instance: Instance, placement: PoolPlacement, name: str, target: Target
) -> None:
    now = instance.read_clock()
    report = await read_load(instance.session, target.address, now=now)
    if isinstance(report, StreamBroken):
        placement.observations.pop(name, None)
        return
    load = report.load.running + report.load.waiting
    placement.observations[name] = _Observation(held=report.held, load=load, at=now)


async def _poll_draining(
    instance: Instance,
    links: PeerLinks,
    placement: PoolPlacement,
    name: str,
    target: Target,
) -> None:
    """Poll a draining engine and count the requests that instances have on it."""
    await _poll(instance, placement, name, target)
    observation = placement.observations.get(name)
    settled_at = placement.drained_at[name] + DRAIN_SETTLE_S
    if observation is None or observation.load > 0:
        return
    if observation.at < settled_at:
        # Requests may still be arriving, so the engine does not count as idle yet.
        placement.observations[name] = replace(observation, load=1)
        return
    in_flight = await count_in_flight(instance, links, name)
    placement.observations[name] = replace(observation, load=in_flight)


async def _poll_engines(
    instance: Instance,
    links: PeerLinks,
    placement: PoolPlacement,
    targets: dict[str, Target],
) -> None:
    """Poll all draining engines, and the stalest other engine within the byte budget.

    Reports of followed engines are taken from the views, which sends nothing.
    """
    now = instance.read_clock()
    for name in targets:
        view = instance.views.get(name)
        last_observation = placement.observations.get(name)
        if view is None or view.held is None:
            continue
        if last_observation is None or last_observation.at < view.report.received_at:
            load = view.report.running + view.report.waiting
            placement.observations[name] = _Observation(
                held=view.held, load=load, at=view.report.received_at
            )
    polls = [
        _poll_draining(instance, links, placement, name, targets[name])
        for name in targets
        if name in placement.drained_at and name not in placement.orders
    ]
    name = _find_stale(placement, targets, now)
    if name and placement.pacer.free_from <= now:
        reserve(placement.pacer, REPORT_BYTES, now=now)
        polls.append(_poll(instance, placement, name, targets[name]))
    await asyncio.gather(*polls)


def _find_stale(placement: PoolPlacement, names: Iterable[str], now: float) -> str:
    """Return the engine polled longest ago, or "" when all are fresh."""
    stale = [
        name
        for name in names
        if name not in placement.drained_at
        and name not in placement.orders
        and now - _get_observed_at(placement, name) >= FRESH_S
    ]
    return min(stale, key=lambda name: _get_observed_at(placement, name), default="")


def _get_observed_at(placement: PoolPlacement, name: str) -> float:
    observation = placement.observations.get(name)
    return observation.at if observation else float("-inf")


def _list_engines(
    instance: Instance, placement: PoolPlacement, wanted: dict[str, DesiredState]
) -> list[EngineState]:
    now = instance.read_clock()
    engines = []
    for name, state in sorted(wanted.items()):
        sources = list_sources(instance.leaving, name)
        is_draining = LeavingSource.PLACEMENT in sources
        if is_draining:
            placement.drained_at.setdefault(name, now)
        else:
            placement.drained_at.pop(name, None)
        drained_at = placement.drained_at.get(name, now)
        observation = placement.observations.get(name)
        is_current = (
            observation is not None and now - observation.at < OBSERVATION_TTL_S
        )
        engines.append(
            EngineState(
                name=name,
                wanted=state,
                held=observation.held if is_current else None,
                load=observation.load if is_current else 0,
                is_leaving=any(item is not LeavingSource.PLACEMENT for item in sources),
                is_draining=is_draining,
                is_drain_settled=is_draining and now - drained_at >= DRAIN_SETTLE_S,
                is_asserted=name in placement.asserted,
                is_ordered=name in placement.orders,
            )
        )
    return engines


async def _send_order(
    instance: Instance,
    placement: PoolPlacement,
    target: Target,
    wanted: DesiredState,
    action: Action,
) -> None:
    """Send one order unless the lease has lapsed or its fencing number changed."""
    keeper = placement.keeper
    fencing = placement.fencing
    log_fields = {"pool": keeper.pool, "target": action.target, "fencing": fencing}
    if not is_holder(instance, keeper) or keeper.state.fencing != fencing:
        log_event("order_dropped", reason="lease_lapsed", **log_fields)
        return
    log_event(
        "order_issued", reason=action.reason, version=wanted.version, **log_fields
    )
    outcome = await send_order(
        instance.session,
        target.address,
        wanted,
        fencing=fencing,
        timeout_s=instance.settings.limits.order_ms / 1000,
    )
    now = instance.read_clock()
    if isinstance(outcome, OrderAccepted):
        placement.observations[action.target] = _Observation(
            held=outcome.held, load=0, at=now
        )
        placement.asserted.add(action.target)
        if action.reason in ("drained", "empty") and placement.rollout is not None:
            placement.rollout = replace(placement.rollout, changed_at=now)
        return
    detail = outcome.detail
    log_event("order_failed", level=logging.WARNING, detail=detail, **log_fields)
    placement.observations.pop(action.target, None)
    if isinstance(outcome, OrderRefused) and detail == "old_fencing":
        keeper.state = abandon_lease(keeper.state)


def _start_order(
    instance: Instance,
    placement: PoolPlacement,
    target: Target,
    wanted: DesiredState,
    action: Action,
) -> None:
    sending = _send_order(instance, placement, target, wanted, action)
    task = asyncio.create_task(sending)
    placement.orders[action.target] = task
    task.add_done_callback(lambda _: placement.orders.pop(action.target, None))


def _perform_actions(
    instance: Instance,
    placement: PoolPlacement,
    targets: dict[str, Target],
    wanted: dict[str, DesiredState],
    actions: list[Action],
) -> None:
    for action in actions:
        if action.kind is ActionKind.ORDER:
            name = action.target
            _start_order(instance, placement, targets[name], wanted[name], action)
            continue
        is_drain = action.kind is ActionKind.DRAIN
        log_event(
            "placement_drain_changed",
            pool=placement.keeper.pool,
            target=action.target,
            action=action.kind.value,
            reason=action.reason,
        )
        note_placement(instance, action.target, leaving=is_drain)


async def _advance_rollout(
    instance: Instance,
    links: PeerLinks,
    placement: PoolPlacement,
    model: Model,
    engines: list[EngineState],
) -> bool:
    """Advance the rollout; return whether the next target may be updated."""
    pool = placement.keeper.pool
    before = placement.rollout
    is_running = before.phase is RolloutPhase.RUNNING
    is_check_due = is_running and placement.iterations % OUTCOME_CHECK_ITERATIONS == 0
    counts = await gather_outcomes(instance, links, pool) if is_check_due else []
    new, old = add_outcomes(counts, model.serving)
    after = advance_rollout(
        before,
        engines,
        layers=model.layers,
        versions=model.versions,
        new=new,
        old=old,
    )
    if placement.rollout is before:
        placement.rollout = after
    if after.phase is RolloutPhase.STOPPED and before.phase is not after.phase:
        log_event(
            "rollout_stopped",
            level=logging.WARNING,
            pool=pool,
            version=after.version,
            reason=after.reason,
        )
    soaked = has_soaked(after, engines, new, now=instance.read_clock())
    return is_check_due and after.phase is RolloutPhase.RUNNING and soaked


async def _get_rollout(
    instance: Instance, placement: PoolPlacement, version: str
) -> Rollout | None:
    if placement.rollout is None or placement.rollout.version != version:
        found = await read_rollout(instance, placement.keeper.pool, version)
        placement.rollout = None if isinstance(found, PlatformUnavailable) else found
    return placement.rollout


async def _publish_status(
    instance: Instance, placement: PoolPlacement, engines: list[EngineState]
) -> None:
    answering = [engine for engine in engines if engine.held is not None]
    status = PoolStatus(
        version=placement.rollout.version,
        phase=placement.rollout.phase.value,
        reason=placement.rollout.reason,
        declared=len(engines),
        answering=len(answering),
        as_wanted=sum(engine.held.state == engine.wanted for engine in answering),
        draining=tuple(engine.name for engine in engines if engine.is_draining),
    )
    if status != placement.status and is_holder(instance, placement.keeper):
        if await write_status(instance, placement.keeper, status):
            placement.status = status


async def _run_iteration(
    instance: Instance, links: PeerLinks, placement: PoolPlacement
) -> None:
    """Run one iteration, using one declaration throughout."""
    keeper = placement.keeper
    declaration = instance.snapshot.declaration
    model = declaration.models.get(keeper.pool)
    if model is None:
        return
    if placement.fencing != keeper.state.fencing:
        _start_term(instance, placement)
    wanted = list_desired_states(declaration, keeper.pool)
    targets = {name: declaration.targets[name] for name in wanted}
    await _poll_engines(instance, links, placement, targets)
    engines = _list_engines(instance, placement, wanted)
    rollout = await _get_rollout(instance, placement, model.serving)
    if rollout is None or instance.read_clock() < placement.orders_from:
        return
    may_take_next = await _advance_rollout(instance, links, placement, model, engines)
    actions = plan_actions(
        engines,
        layers=model.layers,
        versions=model.versions,
        rollout=placement.rollout,
        may_take_next=may_take_next,
    )
    placement.iterations += 1
    _perform_actions(instance, placement, targets, wanted, actions)
    await _publish_status(instance, placement, engines)


async def run_pool(
    instance: Instance, links: PeerLinks, placement: PoolPlacement
) -> None:
    """Run the control loop while this instance holds the lease."""
    was_holder = False
    while True:
        is_holding = is_holder(instance, placement.keeper)
        if is_holding:
            await _run_iteration(instance, links, placement)
        elif was_holder:
            log_event("placement_ended", pool=placement.keeper.pool)
        was_holder = is_holding
        await asyncio.sleep(LOOP_INTERVAL_S * instance.generator.uniform(0.8, 1.2))
