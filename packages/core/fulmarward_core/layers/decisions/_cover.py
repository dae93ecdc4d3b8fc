"""Search for the cheapest changes of ranges after which all layers are covered."""

from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from fulmarward_core.fleet import LayerRange

#: Costs of moving a target, of extending its range and of loading one layer. Their
#: magnitudes make the first outweigh the second, and the second the third.
_MOVE, _EXTENSION, _LOAD = 1e3, 10.0, 0.01


@dataclass(frozen=True, kw_only=True)
class Holder:
    """A target that holds layers."""

    name: str
    held: LayerRange
    #: Maximum number of layers.
    size: int
    #: Whether its range may be changed.
    is_free: bool
    #: Whether it may move to any range, since other targets hold all its layers.
    is_spare: bool


@dataclass(frozen=True, kw_only=True)
class Change:
    """A new range for a target."""

    name: str
    layers: LayerRange
    #: `extended` (adjacent layers added), `moved` (a spare target) or `shifted`.
    kind: str


@dataclass(frozen=True, kw_only=True)
class _Step:
    """The last step of the cheapest way to cover all layers below a boundary."""

    cost: float
    change: Change | None
    previous: "_Step | None"


#: The boundary up to which layers are covered, and the spare holders used so far.
_State = tuple[int, frozenset[str]]


def find_cover(
    layers: int,
    holders: Sequence[Holder],
    *,
    may_shift: Callable[[Holder, LayerRange], bool],
) -> list[Change] | None:
    """Return the cheapest changes that cover all layers, `None` if there are none.

    Dynamic programming over holders in the order of their layers; only spare holders
    may leave this order. `may_shift` tells whether a holder that is not spare may give
    up the layers that it holds outside the given range.
    """
    ordered = sorted(holders, key=lambda item: (item.held, item.name))
    spares = [item for item in holders if item.is_spare and item.is_free]
    spares.sort(key=lambda item: item.name)
    steps: dict[_State, _Step] = {
        (0, frozenset()): _Step(cost=0.0, change=None, previous=None)
    }
    _use_spares(layers, steps, spares)
    for holder in ordered:
        found = dict(steps)
        for (end, used), step in steps.items():
            if holder.name in used:
                continue
            for new_end, cost, change in _list_options(layers, holder, end, may_shift):
                new_used = used | {holder.name} if holder.is_spare else used
                reached = _Step(cost=step.cost + cost, change=change, previous=step)
                _keep_cheapest(found, (new_end, new_used), reached)
        steps = found
        _use_spares(layers, steps, spares)
    ends = [step for (end, _), step in steps.items() if end >= layers]
    if not ends:
        return None
    min_cost = min(step.cost for step in ends)
    candidates = [_list_changes(step) for step in ends if step.cost == min_cost]
    best = min(candidates, key=lambda changes: [change.name for change in changes])
    return _trim_extensions(best, ordered)


def _keep_cheapest(steps: dict[_State, _Step], state: _State, step: _Step) -> None:
    known = steps.get(state)
    if known is None or step.cost < known.cost:
        steps[state] = step


def _use_spares(
    layers: int, steps: dict[_State, _Step], spares: Sequence[Holder]
) -> None:
    """Add the states that moving spare holders leads to."""
    queue = deque(steps.items())
    while queue:
        (end, used), step = queue.popleft()
        if end >= layers:
            continue
        for spare in spares:
            if spare.name in used:
                continue
            start = min(end, layers - spare.size)
            moved = LayerRange(start=max(0, start), end=max(0, start) + spare.size)
            change = Change(name=spare.name, layers=moved, kind="moved")
            cost = step.cost + _MOVE + _LOAD * spare.size
            reached = _Step(cost=cost, change=change, previous=step)
            state = (moved.end, used | {spare.name})
            known = steps.get(state)
            if known is None or cost < known.cost:
                steps[state] = reached
                queue.append((state, reached))


def _list_options(
    layers: int,
    holder: Holder,
    end: int,
    may_shift: Callable[[Holder, LayerRange], bool],
) -> Iterator[tuple[int, float, Change | None]]:
    """Yield the boundary, cost and change of each use of a holder from `end` on."""
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
        loaded = len(shifted) - _count_shared(held, shifted)
        change = Change(name=holder.name, layers=shifted, kind="shifted")
        yield shifted.end, _MOVE + _LOAD * loaded, change


def _count_shared(one: LayerRange, other: LayerRange) -> int:
    return max(0, min(one.end, other.end) - max(one.start, other.start))


def _list_changes(step: _Step) -> list[Change]:
    changes = []
    current: _Step | None = step
    while current is not None:
        if current.change is not None:
            changes.append(current.change)
        current = current.previous
    return changes[::-1]


def _trim_extensions(
    changes: Sequence[Change], holders: Sequence[Holder]
) -> list[Change]:
    """Return the changes, with each extension cut to the layers that are needed."""
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
    """Return `wanted` without the layers outside `held` that others cover."""

    def is_covered(layer: int) -> bool:
        return any(other.start <= layer < other.end for other in others)

    start, end = wanted.start, wanted.end
    while start < held.start and is_covered(start):
        start += 1
    while end > held.end and is_covered(end - 1):
        end -= 1
    return LayerRange(start=start, end=end)
