"""Ranges that cover all layers, at the least cost from the ranges that are held."""

from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import LayerRange

#: Costs that count one before the other: targets that move, targets that take more
#: layers beside those that they hold, layers that are loaded.
_MOVE, _EXTENSION, _LOAD = 1e3, 10.0, 0.01


@dataclass(frozen=True, kw_only=True)
class Holder:
    """A target that holds layers."""

    name: str
    held: LayerRange
    #: Most layers that it may hold.
    size: int
    #: Whether it may be given other layers.
    is_free: bool
    #: Whether it may move anywhere, since others hold all that it holds.
    is_spare: bool


@dataclass(frozen=True, kw_only=True)
class Change:
    """Another range for a target."""

    name: str
    layers: LayerRange
    #: `extended` beside what it holds, `moved` (a spare one) or `shifted`.
    kind: str


@dataclass(frozen=True, kw_only=True)
class _Step:
    """The cheapest way to have all layers below a point covered, and how it ends."""

    cost: float
    change: Change | None
    before: "_Step | None"


#: A point up to which layers are covered, and the spare holders that are used.
_State = tuple[int, frozenset[str]]


def find_cover(
    layers: int,
    holders: Sequence[Holder],
    *,
    may_shift: Callable[[Holder, LayerRange], bool],
) -> list[Change] | None:
    """Return the changes after which all layers are covered, `None` if none do that.

    Holders keep their order by layers, but for spare ones. `may_shift` says whether one
    that is not spare may give up what it holds beside a range.
    """
    ordered = sorted(holders, key=lambda item: (item.held, item.name))
    spares = [item for item in holders if item.is_spare and item.is_free]
    spares.sort(key=lambda item: item.name)
    steps: dict[_State, _Step] = {
        (0, frozenset()): _Step(cost=0.0, change=None, before=None)
    }
    _use_spares(layers, steps, spares)
    for holder in ordered:
        found = dict(steps)
        for (end, used), step in steps.items():
            if holder.name in used:
                continue
            for new_end, cost, change in _list_options(layers, holder, end, may_shift):
                now_used = used | {holder.name} if holder.is_spare else used
                reached = _Step(cost=step.cost + cost, change=change, before=step)
                _put(found, (new_end, now_used), reached)
        steps = found
        _use_spares(layers, steps, spares)
    ends = [step for (end, _), step in steps.items() if end >= layers]
    if not ends:
        return None
    least = min(step.cost for step in ends)
    ways = [_list_changes(step) for step in ends if step.cost == least]
    best = min(ways, key=lambda changes: [change.name for change in changes])
    return _trim(best, ordered)


def _put(steps: dict[_State, _Step], state: _State, step: _Step) -> None:
    known = steps.get(state)
    if known is None or step.cost < known.cost:
        steps[state] = step


def _use_spares(
    layers: int, steps: dict[_State, _Step], spares: Sequence[Holder]
) -> None:
    """Add the states that are reached by moving spare holders."""
    waiting = deque(steps.items())
    while waiting:
        (end, used), step = waiting.popleft()
        if end >= layers:
            continue
        for spare in spares:
            if spare.name in used:
                continue
            start = min(end, layers - spare.size)
            moved = LayerRange(start=max(0, start), end=max(0, start) + spare.size)
            change = Change(name=spare.name, layers=moved, kind="moved")
            cost = step.cost + _MOVE + _LOAD * spare.size
            reached = _Step(cost=cost, change=change, before=step)
            state = (moved.end, used | {spare.name})
            known = steps.get(state)
            if known is None or cost < known.cost:
                steps[state] = reached
                waiting.append((state, reached))


def _list_options(
    layers: int,
    holder: Holder,
    end: int,
    may_shift: Callable[[Holder, LayerRange], bool],
) -> Iterator[tuple[int, float, Change | None]]:
    """Yield how far a holder covers when all is covered up to `end`, and its cost."""
    held = holder.held
    if held.start <= end < held.end:
        yield held.end, 0.0, None
    if not holder.is_free:
        return
    start = min(held.start, end)
    reach = min(layers, start + holder.size)
    if reach > end and reach >= held.end and (start, reach) != (held.start, held.end):
        extended = LayerRange(start=start, end=reach)
        change = Change(name=holder.name, layers=extended, kind="extended")
        yield reach, _EXTENSION + _LOAD * (len(extended) - len(held)), change
    start = max(0, min(end, layers - holder.size))
    if start + holder.size <= end:
        return
    shifted = LayerRange(start=start, end=start + holder.size)
    if may_shift(holder, shifted):
        loaded = len(shifted) - _count_common(held, shifted)
        change = Change(name=holder.name, layers=shifted, kind="shifted")
        yield shifted.end, _MOVE + _LOAD * loaded, change


def _count_common(one: LayerRange, other: LayerRange) -> int:
    return max(0, min(one.end, other.end) - max(one.start, other.start))


def _list_changes(step: _Step) -> list[Change]:
    changes = []
    at: _Step | None = step
    while at is not None:
        if at.change is not None:
            changes.append(at.change)
        at = at.before
    return changes[::-1]


def _trim(changes: Sequence[Change], holders: Sequence[Holder]) -> list[Change]:
    """Return the changes, no range extended further than it is needed."""
    held: Mapping[str, LayerRange] = {item.name: item.held for item in holders}
    moved = {change.name: change.layers for change in changes}
    trimmed = []
    for change in changes:
        if change.kind != "extended":
            trimmed.append(change)
            continue
        others = [
            moved.get(item.name, item.held)
            for item in holders
            if item.name != change.name
        ]
        layers = _shrink(change.layers, held[change.name], others)
        moved[change.name] = layers
        trimmed.append(Change(name=change.name, layers=layers, kind=change.kind))
    return [change for change in trimmed if change.layers != held[change.name]]


def _shrink(
    wanted: LayerRange, held: LayerRange, others: Sequence[LayerRange]
) -> LayerRange:
    """Return the part of a range, around what is held, that no other covers."""

    def is_covered(layer: int) -> bool:
        return any(other.start <= layer < other.end for other in others)

    start, end = wanted.start, wanted.end
    while start < held.start and is_covered(start):
        start += 1
    while end > held.end and is_covered(end - 1):
        end -= 1
    return LayerRange(start=start, end=end)
