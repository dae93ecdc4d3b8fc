"""The work of a pool's holder: look at its engines, decide, send orders."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from fulmarward._instance import Instance
from fulmarward.health import note_placement
from fulmarward.observability import log_event
from fulmarward.peers import PeerLinks
from fulmarward.placement._asking import count_in_flight, gather_outcomes
from fulmarward.placement._lease import LeaseKeeper, is_holder
from fulmarward.placement._status import PoolStatus, read_rollout, write_status
from fulmarward.platform import PlatformOut
from fulmarward.targets import (
    OrderRefused,
    OrderTaken,
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
from fulmarward_core.leases import drop_hold
from fulmarward_core.placement import (
    Action,
    ActionKind,
    EngineState,
    Held,
    Rollout,
    RolloutPhase,
    Wanted,
    add_outcomes,
    advance_rollout,
    has_soaked,
    list_wanted,
    plan_actions,
)

#: Seconds between two looks at a pool.
LOOK_S = 0.25

#: Seconds after a drain in which instances hear of it and what they had sent arrives.
#: Load: 330 instances, 9 hops; harm: a request meets an engine that loads; reason: a
#: hop takes some tens of milliseconds, and an engine's report lags.
DRAIN_SETTLE_S = 1.5

#: Bytes a second for looking at engines besides what is reported of followed ones.
LOOK_BYTES_PER_S = 800.0

#: Seconds for which a look at an engine is fresh. Harm: bytes for what cannot have
#: changed; reason: a late order is found as soon in a small pool.
FRESH_S = 1.0

#: Seconds after which what an engine said is old and it counts as not answering.
#: Load: 1,025 engines looked at with LOOK_BYTES_PER_S; reason: one round of them.
BELIEVE_S = 900.0

#: Looks between two checks of outcomes. Harm: bytes of peers; reason: two seconds.
OUTCOMES_EVERY = 8


@dataclass(frozen=True, kw_only=True)
class _Look:
    held: Held
    load: int
    at: float


@dataclass(kw_only=True)
class PoolPlacement:
    """What a holder remembers of its pool; forgotten with each new holding."""

    #: The pool's lease.
    keeper: LeaseKeeper
    #: The fencing number of the holding that all below belongs to.
    fencing: int = 0
    #: From when orders may be sent.
    orders_from: float = float("inf")
    #: Where the rollout of the declared version stands.
    rollout: Rollout | None = None
    #: The last look at each engine.
    looks: dict[str, _Look] = field(default_factory=dict)
    #: Engines that have obeyed an order of this holding.
    asserted: set[str] = field(default_factory=set)
    #: Orders under way by target.
    orders: dict[str, asyncio.Task] = field(default_factory=dict)
    #: Since when each draining engine has been so.
    drained_at: dict[str, float] = field(default_factory=dict)
    #: The status last written.
    status: PoolStatus | None = None
    #: Looks so far.
    turns: int = 0
    #: Shares out LOOK_BYTES_PER_S.
    pacer: Pacer = field(default_factory=lambda: Pacer(bytes_per_s=LOOK_BYTES_PER_S))


def _begin_holding(instance: Instance, placement: PoolPlacement) -> None:
    """Forget the last holding, and wait out orders of the last holder if need be.

    Guards against a late order of a paused predecessor. An engine that checks fencing
    numbers refuses it as soon as it has obeyed this holder. One that ignores them
    obeys it: so nothing is asserted before the longest flight is over, and what the
    engine holds is looked at again and again after that.
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
    placement.looks = {}
    placement.asserted = set()
    placement.drained_at = {}
    placement.status = None
    log_event("placement_begun", pool=pool, fencing=placement.fencing, wait_s=flight_s)


async def _look(
    instance: Instance, placement: PoolPlacement, name: str, target: Target
) -> None:
    now = instance.read_clock()
    report = await read_load(instance.session, target.address, now=now)
    if isinstance(report, StreamBroken):
        placement.looks.pop(name, None)
        return
    load = report.load.running + report.load.waiting
    placement.looks[name] = _Look(held=report.held, load=load, at=now)


async def _look_closely(
    instance: Instance,
    links: PeerLinks,
    placement: PoolPlacement,
    name: str,
    target: Target,
) -> None:
    """Look at an engine that is being drained, and at what instances have on it."""
    await _look(instance, placement, name, target)
    look = placement.looks.get(name)
    settled_from = placement.drained_at[name] + DRAIN_SETTLE_S
    if look is None or look.load > 0:
        return
    if look.at < settled_from:
        # Too early to believe that it is idle.
        placement.looks[name] = replace(look, load=1)
        return
    in_flight = await count_in_flight(instance, links, name)
    placement.looks[name] = replace(look, load=in_flight)


async def _look_at_engines(
    instance: Instance,
    links: PeerLinks,
    placement: PoolPlacement,
    targets: dict[str, Target],
) -> None:
    """Look closely at engines that are being changed, and now and then at the rest.

    What the followed engines report is taken from the views and costs nothing.
    """
    now = instance.read_clock()
    for name in targets:
        view = instance.views.get(name)
        known = placement.looks.get(name)
        if view is None or view.held is None:
            continue
        if known is None or known.at < view.report.received_at:
            load = view.report.running + view.report.waiting
            placement.looks[name] = _Look(
                held=view.held, load=load, at=view.report.received_at
            )
    looks = [
        _look_closely(instance, links, placement, name, targets[name])
        for name in targets
        if name in placement.drained_at and name not in placement.orders
    ]
    name = _find_stale(placement, targets, now)
    if name and placement.pacer.free_from <= now:
        reserve(placement.pacer, REPORT_BYTES, now=now)
        looks.append(_look(instance, placement, name, targets[name]))
    await asyncio.gather(*looks)


def _find_stale(placement: PoolPlacement, names: Iterable[str], now: float) -> str:
    """Return the engine that was looked at longest ago; empty when all are fresh."""
    stale = [
        name
        for name in names
        if name not in placement.drained_at
        and name not in placement.orders
        and now - _get_look_time(placement, name) >= FRESH_S
    ]
    return min(stale, key=lambda name: _get_look_time(placement, name), default="")


def _get_look_time(placement: PoolPlacement, name: str) -> float:
    look = placement.looks.get(name)
    return look.at if look else float("-inf")


def _list_engines(
    instance: Instance, placement: PoolPlacement, wanted: dict[str, Wanted]
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
        look = placement.looks.get(name)
        is_known = look is not None and now - look.at < BELIEVE_S
        engines.append(
            EngineState(
                name=name,
                wanted=state,
                held=look.held if is_known else None,
                load=look.load if is_known else 0,
                is_leaving=any(item is not LeavingSource.PLACEMENT for item in sources),
                is_draining=is_draining,
                is_drain_settled=is_draining and now - drained_at >= DRAIN_SETTLE_S,
                is_asserted=name in placement.asserted,
                is_ordered=name in placement.orders,
            )
        )
    return engines


async def _send(
    instance: Instance,
    placement: PoolPlacement,
    target: Target,
    wanted: Wanted,
    action: Action,
) -> None:
    """Send one order, if this instance still holds the lease right before."""
    keeper = placement.keeper
    fencing = placement.fencing
    members = {"pool": keeper.pool, "target": action.target, "fencing": fencing}
    if not is_holder(instance, keeper) or keeper.state.fencing != fencing:
        log_event("order_dropped", reason="lease_lapsed", **members)
        return
    log_event("order", reason=action.reason, version=wanted.version, **members)
    outcome = await send_order(
        instance.session,
        target.address,
        wanted,
        fencing=fencing,
        timeout_s=instance.settings.limits.order_ms / 1000,
    )
    now = instance.read_clock()
    if isinstance(outcome, OrderTaken):
        placement.looks[action.target] = _Look(held=outcome.held, load=0, at=now)
        placement.asserted.add(action.target)
        if action.reason in ("drained", "empty") and placement.rollout is not None:
            placement.rollout = replace(placement.rollout, changed_at=now)
        return
    detail = outcome.detail
    log_event("order_failed", level=logging.WARNING, detail=detail, **members)
    placement.looks.pop(action.target, None)
    if isinstance(outcome, OrderRefused) and detail == "old_fencing":
        keeper.state = drop_hold(keeper.state)


def _start_order(
    instance: Instance,
    placement: PoolPlacement,
    target: Target,
    wanted: Wanted,
    action: Action,
) -> None:
    sending = _send(instance, placement, target, wanted, action)
    task = asyncio.create_task(sending)
    placement.orders[action.target] = task
    task.add_done_callback(lambda _: placement.orders.pop(action.target, None))


def _perform(
    instance: Instance,
    placement: PoolPlacement,
    targets: dict[str, Target],
    wanted: dict[str, Wanted],
    actions: list[Action],
) -> None:
    for action in actions:
        if action.kind is ActionKind.ORDER:
            name = action.target
            _start_order(instance, placement, targets[name], wanted[name], action)
            continue
        is_drain = action.kind is ActionKind.DRAIN
        log_event(
            "placement",
            pool=placement.keeper.pool,
            target=action.target,
            action=action.kind.value,
            reason=action.reason,
        )
        note_placement(instance, action.target, leaving=is_drain)


async def _advance(
    instance: Instance,
    links: PeerLinks,
    placement: PoolPlacement,
    model: Model,
    engines: list[EngineState],
) -> bool:
    """Bring the rollout up to date; return whether it may take its next target."""
    pool = placement.keeper.pool
    before = placement.rollout
    is_running = before.phase is RolloutPhase.RUNNING
    is_turn = is_running and placement.turns % OUTCOMES_EVERY == 0
    counts = await gather_outcomes(instance, links, pool) if is_turn else []
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
    return is_turn and after.phase is RolloutPhase.RUNNING and soaked


async def _get_rollout(
    instance: Instance, placement: PoolPlacement, version: str
) -> Rollout | None:
    if placement.rollout is None or placement.rollout.version != version:
        found = await read_rollout(instance, placement.keeper.pool, version)
        placement.rollout = None if isinstance(found, PlatformOut) else found
    return placement.rollout


async def _tell_status(
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


async def _work(instance: Instance, links: PeerLinks, placement: PoolPlacement) -> None:
    """Do one look's work, all of it by the declaration that is in force now."""
    keeper = placement.keeper
    declaration = instance.snapshot.declaration
    model = declaration.models.get(keeper.pool)
    if model is None:
        return
    if placement.fencing != keeper.state.fencing:
        _begin_holding(instance, placement)
    wanted = list_wanted(declaration, keeper.pool)
    targets = {name: declaration.targets[name] for name in wanted}
    await _look_at_engines(instance, links, placement, targets)
    engines = _list_engines(instance, placement, wanted)
    rollout = await _get_rollout(instance, placement, model.serving)
    if rollout is None or instance.read_clock() < placement.orders_from:
        return
    may_take_next = await _advance(instance, links, placement, model, engines)
    actions = plan_actions(
        engines,
        layers=model.layers,
        versions=model.versions,
        rollout=placement.rollout,
        may_take_next=may_take_next,
    )
    placement.turns += 1
    _perform(instance, placement, targets, wanted, actions)
    await _tell_status(instance, placement, engines)


async def run_pool(
    instance: Instance, links: PeerLinks, placement: PoolPlacement
) -> None:
    """Do a holder's work while this instance holds the lease; else stand still."""
    was_holder = False
    while True:
        is_holding = is_holder(instance, placement.keeper)
        if is_holding:
            await _work(instance, links, placement)
        elif was_holder:
            log_event("placement_rests", pool=placement.keeper.pool)
        was_holder = is_holding
        await asyncio.sleep(LOOK_S * instance.generator.uniform(0.8, 1.2))
