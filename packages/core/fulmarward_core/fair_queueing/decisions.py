"""Which flow is served first, and how much work precedes an item.

The cost of an item is in any unit, for example in seconds of service; tags are costs
divided by weights. The items themselves are kept by the caller.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

_Key = TypeVar("_Key", bound=Hashable)


@dataclass(kw_only=True)
class Flow:
    """A queue that shares a schedule with others in proportion to its weight."""

    #: A flow of weight 2 receives twice the service of one of weight 1.
    weight: float
    #: Start tag of its next item, in the virtual time of the schedule.
    start_tag: float = 0.0
    #: Cost of the queued items.
    backlog: float = 0.0
    #: Number of queued items. Sums of costs are rounded, so that `backlog` may differ
    #: from 0 for an empty flow.
    length: int = 0


@dataclass(kw_only=True)
class FlowSchedule:
    """Start-time fair queueing (SFQ) over several flows."""

    #: Flows by key.
    flows: dict[Hashable, Flow] = field(default_factory=dict)
    #: Start tag of the item that was served last.
    virtual_time: float = 0.0


def compute_tag(cost: float, *, weight: float) -> float:
    """Return the tag that corresponds to the cost of the work of a flow."""
    return cost / weight


def push(schedule: FlowSchedule, key: Hashable, *, weight: float, cost: float) -> None:
    """Queue an item in the flow `key`, whose weight is `weight` from now on."""
    flow = schedule.flows.setdefault(key, Flow(weight=weight))
    flow.weight = weight
    if not flow.length:
        flow.start_tag = max(flow.start_tag, schedule.virtual_time)
    flow.backlog += cost
    flow.length += 1


def choose(schedule: FlowSchedule, keys: Iterable[_Key]) -> _Key:
    """Return which of the flows `keys` is served next, the first key among equals.

    Raises `ValueError` if there are none, and `KeyError` for a flow that is not in the
    schedule.
    """
    return min(keys, key=lambda key: (schedule.flows[key].start_tag, key))


def pop(schedule: FlowSchedule, key: Hashable, *, cost: float) -> None:
    """Record that an item of a flow is served."""
    flow = schedule.flows[key]
    schedule.virtual_time = max(schedule.virtual_time, flow.start_tag)
    flow.start_tag += compute_tag(cost, weight=flow.weight)
    remove(schedule, key, cost=cost)


def remove(schedule: FlowSchedule, key: Hashable, *, cost: float) -> None:
    """Record that an item of a flow leaves without being served."""
    flow = schedule.flows[key]
    flow.length -= 1
    flow.backlog = flow.backlog - cost if flow.length else 0.0
    _drop_idle_flows(schedule)


def _drop_idle_flows(schedule: FlowSchedule) -> None:
    """Drop idle flows whose start tag the virtual time has reached.

    Until then the tag records service that the other flows have not yet caught up with.
    """
    idle = [
        key
        for key, flow in schedule.flows.items()
        if not flow.length and flow.start_tag <= schedule.virtual_time
    ]
    for key in idle:
        del schedule.flows[key]


def estimate_ahead(
    schedule: FlowSchedule, key: Hashable, *, weight: float, own: float = 0.0
) -> float:
    """Return the cost of the work ahead of an item if it were queued now.

    While the backlog of a flow is served, each other flow is served in proportion to
    its weight, up to its whole backlog. `own` is the cost of the work ahead of it in
    its own flow; with 0 that is the whole backlog of the flow.
    """
    known = schedule.flows.get(key)
    own_offset = _compute_offset(schedule, known) if known else 0.0
    own = own or (known.backlog if known else 0.0)
    ahead = own
    for name, flow in schedule.flows.items():
        if name == key:
            continue
        own_end = own_offset + compute_tag(own, weight=weight)
        due = (own_end - _compute_offset(schedule, flow)) * flow.weight
        ahead += min(flow.backlog, max(0.0, due))
    return ahead


def _compute_offset(schedule: FlowSchedule, flow: Flow) -> float:
    """Return how far the start tag of a flow is ahead of the virtual time."""
    return max(0.0, flow.start_tag - schedule.virtual_time)
