"""Weighted fair queueing of the waiting requests."""

from collections import deque

from fulmarward_core import fair_queueing
from fulmarward_core.admission._types import FairQueue, Ticket
from fulmarward_core.declaration import Urgency
from fulmarward_core.fair_queueing import FlowSchedule

#: Weights of the urgencies within one team. When a nightly bulk job and interactive
#: lookups coincide, strict priority would starve the bulk job and no priority would
#: delay the lookups. With these weights urgent work gets nearly all that it requests,
#: and bulk work always gets a part.
URGENCY_WEIGHTS = {Urgency.URGENT: 16.0, Urgency.NORMAL: 4.0, Urgency.BULK: 1.0}

#: Places for urgent tickets, as a multiple of the places for all, so that urgent
#: lookups do not queue under saturation. The extra tenth covers most of the urgent work
#: at any time and keeps the queues of the engines short.
URGENT_PLACES_FACTOR = 1.1


def push_ticket(queue: FairQueue, ticket: Ticket, *, weight: float) -> None:
    """Queue a ticket; `weight` is that of its team, from the team's sold share."""
    tier = (ticket.is_lent, ticket.team)
    key = (*tier, ticket.urgency)
    urgencies = queue.urgencies.setdefault(tier, FlowSchedule())
    fair_queueing.push(
        queue.teams[ticket.is_lent], ticket.team, weight=weight, cost=ticket.service_s
    )
    fair_queueing.push(
        urgencies,
        ticket.urgency,
        weight=URGENCY_WEIGHTS[ticket.urgency],
        cost=ticket.service_s,
    )
    queue.waiting.setdefault(key, deque()).append(ticket)
    queue.length += 1


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
        team = fair_queueing.choose(queue.teams[is_lent], teams)
        schedule = queue.urgencies[is_lent, team]
        urgency = fair_queueing.choose(
            schedule, _list_waiting_urgencies(queue, is_lent, team, least_urgent)
        )
        ticket = queue.waiting[is_lent, team, urgency].popleft()
        fair_queueing.pop(queue.teams[is_lent], team, cost=ticket.service_s)
        fair_queueing.pop(schedule, urgency, cost=ticket.service_s)
        _remove_empty(queue, ticket)
        return ticket
    return None


def _remove_empty(queue: FairQueue, ticket: Ticket) -> None:
    """Remove the entries that a removed ticket left empty, to keep memory bounded."""
    tier = (ticket.is_lent, ticket.team)
    key = (*tier, ticket.urgency)
    queue.length -= 1
    if not queue.waiting[key]:
        del queue.waiting[key]
    if not _list_waiting_urgencies(queue, *tier):
        del queue.urgencies[tier]


def remove_ticket(queue: FairQueue, ticket: Ticket) -> bool:
    """Remove a ticket from the queue; return whether it was queued."""
    tier = (ticket.is_lent, ticket.team)
    waiting = queue.waiting.get((*tier, ticket.urgency))
    if waiting is None or ticket not in waiting:
        return False
    waiting.remove(ticket)
    cost = ticket.service_s
    fair_queueing.remove(queue.teams[ticket.is_lent], ticket.team, cost=cost)
    fair_queueing.remove(queue.urgencies[tier], ticket.urgency, cost=cost)
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
    own_s = fair_queueing.estimate_ahead(
        schedule, ticket.urgency, weight=URGENCY_WEIGHTS[ticket.urgency]
    )
    ahead_s = fair_queueing.estimate_ahead(
        queue.teams[ticket.is_lent], ticket.team, weight=weight, own=own_s
    )
    if ticket.is_lent:
        ahead_s += sum(flow.backlog for flow in queue.teams[False].flows.values())
    return ahead_s
