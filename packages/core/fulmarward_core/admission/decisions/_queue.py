"""Weighted fair queueing of the waiting requests."""

from collections import deque
from collections.abc import Iterator

from fulmarward_core.admission._types import FairQueue, Flow, FlowSchedule, Ticket
from fulmarward_core.declaration import Urgency

#: Weights of the urgencies within one team. When a nightly bulk job and interactive
#: lookups coincide, strict priority would starve the bulk job and no priority would
#: delay the lookups. With these weights urgent work gets nearly all that it requests,
#: and bulk work always gets a part.
URGENCY_WEIGHTS = {Urgency.URGENT: 16.0, Urgency.NORMAL: 4.0, Urgency.BULK: 1.0}

#: Places for urgent tickets, as a multiple of the places for all, so that urgent
#: lookups do not queue under saturation. The extra tenth covers most of the urgent work
#: at any time and keeps the queues of the engines short.
URGENT_PLACES_FACTOR = 1.1


def _push_flow(
    schedule: FlowSchedule, key: object, weight: float, cost_s: float
) -> None:
    flow = schedule.flows.setdefault(key, Flow(weight=weight))
    flow.weight = weight
    if flow.backlog_s <= 0:
        flow.start_tag = max(flow.start_tag, schedule.virtual_time)
        flow.backlog_s = 0.0
    flow.backlog_s += cost_s


def _pop_flow(schedule: FlowSchedule, key: object, cost_s: float) -> None:
    flow = schedule.flows[key]
    schedule.virtual_time = max(schedule.virtual_time, flow.start_tag)
    flow.start_tag += cost_s / flow.weight
    flow.backlog_s -= cost_s


def _drop_idle_flows(schedule: FlowSchedule, key: object, *, is_empty: bool) -> None:
    """Drop idle flows whose start tag the virtual time has reached.

    Until then the tag records service that the other flows have not yet caught up with.
    """
    if is_empty:
        schedule.flows[key].backlog_s = 0.0
    idle = [
        name
        for name, flow in schedule.flows.items()
        if flow.backlog_s <= 0 and flow.start_tag <= schedule.virtual_time
    ]
    for name in idle:
        del schedule.flows[name]


def push_ticket(queue: FairQueue, ticket: Ticket, *, weight: float) -> None:
    """Queue a ticket; `weight` is that of its team, from the team's sold share."""
    tier = (ticket.is_lent, ticket.team)
    key = (*tier, ticket.urgency)
    urgencies = queue.urgencies.setdefault(tier, FlowSchedule())
    urgency_weight = URGENCY_WEIGHTS[ticket.urgency]
    _push_flow(queue.teams[ticket.is_lent], ticket.team, weight, ticket.service_s)
    _push_flow(urgencies, ticket.urgency, urgency_weight, ticket.service_s)
    queue.waiting.setdefault(key, deque()).append(ticket)
    queue.length += 1


def _choose_flow(schedule: FlowSchedule, waiting: Iterator[object]) -> object:
    return min(waiting, key=lambda key: (schedule.flows[key].start_tag, key))


def _list_waiting_teams(
    queue: FairQueue, is_lent: bool, least_urgent: Urgency
) -> list[str]:
    return [
        team
        for lent, team in queue.urgencies
        if lent is is_lent
        and _list_waiting_urgencies(queue, is_lent, team, least_urgent)
    ]


def _list_waiting_urgencies(
    queue: FairQueue, is_lent: bool, team: str, least_urgent: Urgency = Urgency.BULK
) -> list[Urgency]:
    return [
        urgency
        for urgency in Urgency
        if urgency <= least_urgent and queue.waiting.get((is_lent, team, urgency))
    ]


def pop_next(queue: FairQueue, *, running: int, places: float) -> Ticket | None:
    """Remove and return the ticket that may start now, if there is one.

    Urgent tickets may exceed the places a little: engines serve them first, so they
    wait there for one running request to end instead of queueing here.
    """
    if running < places:
        return pop_ticket(queue)
    if running < places * URGENT_PLACES_FACTOR:
        return pop_ticket(queue, least_urgent=Urgency.URGENT)
    return None


def pop_ticket(
    queue: FairQueue, *, least_urgent: Urgency = Urgency.BULK
) -> Ticket | None:
    """Remove and return the next ticket of an urgency up to `least_urgent`."""
    for is_lent in (False, True):
        teams = _list_waiting_teams(queue, is_lent, least_urgent)
        if not teams:
            continue
        team = _choose_flow(queue.teams[is_lent], iter(teams))
        schedule = queue.urgencies[is_lent, team]
        urgency = _choose_flow(
            schedule, iter(_list_waiting_urgencies(queue, is_lent, team, least_urgent))
        )
        ticket = queue.waiting[is_lent, team, urgency].popleft()
        _pop_flow(queue.teams[is_lent], team, ticket.service_s)
        _pop_flow(schedule, urgency, ticket.service_s)
        _remove_empty(queue, ticket)
        return ticket
    return None


def _remove_empty(queue: FairQueue, ticket: Ticket) -> None:
    """Remove the entries that a removed ticket left empty, to keep memory bounded."""
    tier = (ticket.is_lent, ticket.team)
    key = (*tier, ticket.urgency)
    queue.length -= 1
    is_empty = not queue.waiting[key]
    _drop_idle_flows(queue.urgencies[tier], ticket.urgency, is_empty=is_empty)
    if is_empty:
        del queue.waiting[key]
    has_no_tickets = not _list_waiting_urgencies(queue, *tier)
    _drop_idle_flows(queue.teams[ticket.is_lent], ticket.team, is_empty=has_no_tickets)
    if has_no_tickets:
        del queue.urgencies[tier]


def remove_ticket(queue: FairQueue, ticket: Ticket) -> bool:
    """Remove a ticket from the queue; return whether it was queued."""
    tier = (ticket.is_lent, ticket.team)
    waiting = queue.waiting.get((*tier, ticket.urgency))
    if waiting is None or ticket not in waiting:
        return False
    waiting.remove(ticket)
    queue.teams[ticket.is_lent].flows[ticket.team].backlog_s -= ticket.service_s
    queue.urgencies[tier].flows[ticket.urgency].backlog_s -= ticket.service_s
    _remove_empty(queue, ticket)
    return True


def drop_expired(queue: FairQueue, *, now: float) -> list[Ticket]:
    """Remove and return tickets that waited too long or cannot meet the deadline."""
    late = [
        ticket
        for waiting in queue.waiting.values()
        for ticket in waiting
        if now > min(ticket.latest_start, ticket.deadline - ticket.service_s)
    ]
    for ticket in late:
        remove_ticket(queue, ticket)
    return late


def estimate_work_ahead_s(queue: FairQueue, ticket: Ticket, *, weight: float) -> float:
    """Return the seconds of service ahead of `ticket` if it were queued now.

    While the backlog of a flow is served, each other flow is served in proportion to
    its weight, up to its whole backlog. Lent work also waits for all sold work.
    """
    tier = (ticket.is_lent, ticket.team)
    schedule = queue.urgencies.get(tier, FlowSchedule())
    own_s = _estimate_flow_ahead_s(
        schedule, ticket.urgency, URGENCY_WEIGHTS[ticket.urgency], 0.0
    )
    team_schedule = queue.teams[ticket.is_lent]
    ahead_s = _estimate_flow_ahead_s(team_schedule, ticket.team, weight, own_s)
    if ticket.is_lent:
        ahead_s += sum(flow.backlog_s for flow in queue.teams[False].flows.values())
    return ahead_s


def _estimate_flow_ahead_s(
    schedule: FlowSchedule, key: object, weight: float, own_s: float
) -> float:
    own = schedule.flows.get(key)
    own_offset = max(0.0, own.start_tag - schedule.virtual_time) if own else 0.0
    own_s = own_s or (own.backlog_s if own else 0.0)
    ahead_s = own_s
    for name, flow in schedule.flows.items():
        if name == key:
            continue
        due = (
            own_offset
            + own_s / weight
            - max(0.0, flow.start_tag - schedule.virtual_time)
        ) * flow.weight
        ahead_s += min(flow.backlog_s, max(0.0, due))
    return ahead_s
