"""The order in which waiting requests are served."""

from collections import deque
from collections.abc import Iterator

from fulmarward_core.admission._types import FairQueue, Flow, Order, Ticket
from fulmarward_core.declaration import Urgency

#: Weights of the urgencies inside one team. Load: a nightly bulk of codings and
#: lookups at once; harm: strict priority starves the bulk, none lets the van wait;
#: reason: urgent work gets nearly all that it asks for, and bulk a part for ever.
URGENCY_WEIGHTS = {Urgency.URGENT: 16.0, Urgency.NORMAL: 4.0, Urgency.BULK: 1.0}

#: Places for urgent tickets, as a multiple of the places for all. Load: saturation;
#: harm: a lookup waits for its turn while a van waits; reason: a tenth is most of what
#: urgent work asks for at once, and the engines' queues stay short.
URGENT_PLACES = 1.1


def _push_flow(order: Order, key: object, weight: float, cost_s: float) -> None:
    flow = order.flows.setdefault(key, Flow(weight=weight))
    flow.weight = weight
    if flow.backlog_s <= 0:
        flow.tag = max(flow.tag, order.virtual)
        flow.backlog_s = 0.0
    flow.backlog_s += cost_s


def _pop_flow(order: Order, key: object, cost_s: float) -> None:
    flow = order.flows[key]
    order.virtual = max(order.virtual, flow.tag)
    flow.tag += cost_s / flow.weight
    flow.backlog_s -= cost_s


def _forget_idle(order: Order, key: object, *, is_empty: bool) -> None:
    """Forget what an idle flow has used once all others have caught up with it."""
    if is_empty:
        order.flows[key].backlog_s = 0.0
    done = [
        name
        for name, flow in order.flows.items()
        if flow.backlog_s <= 0 and flow.tag <= order.virtual
    ]
    for name in done:
        del order.flows[name]


def push_ticket(queue: FairQueue, ticket: Ticket, *, weight: float) -> None:
    """Put a ticket in; `weight` is its team's, from the share that it was sold."""
    tier = (ticket.is_lent, ticket.team)
    place = (*tier, ticket.urgency)
    urgencies = queue.urgencies.setdefault(tier, Order())
    inner = URGENCY_WEIGHTS[ticket.urgency]
    _push_flow(queue.teams[ticket.is_lent], ticket.team, weight, ticket.service_s)
    _push_flow(urgencies, ticket.urgency, inner, ticket.service_s)
    queue.waiting.setdefault(place, deque()).append(ticket)
    queue.length += 1


def _pick(order: Order, waiting: Iterator[object]) -> object:
    return min(waiting, key=lambda key: (order.flows[key].tag, key))


def _list_teams(queue: FairQueue, is_lent: bool, most: Urgency) -> list[str]:
    return [
        team
        for lent, team in queue.urgencies
        if lent is is_lent and _list_urgencies(queue, is_lent, team, most)
    ]


def _list_urgencies(
    queue: FairQueue, is_lent: bool, team: str, most: Urgency = Urgency.BULK
) -> list[Urgency]:
    return [
        urgency
        for urgency in Urgency
        if urgency <= most and queue.waiting.get((is_lent, team, urgency))
    ]


def pop_next(queue: FairQueue, *, running: int, places: float) -> Ticket | None:
    """Take out the ticket that may start now, if there is one.

    Urgent tickets may use some places more than there are: engines put them first, so
    they wait for the end of one running request there and not for a turn here.
    """
    if running < places:
        return pop_ticket(queue)
    if running < places * URGENT_PLACES:
        return pop_ticket(queue, most=Urgency.URGENT)
    return None


def pop_ticket(queue: FairQueue, *, most: Urgency = Urgency.BULK) -> Ticket | None:
    """Take out the ticket whose turn it is among those of urgency `most` or sooner."""
    for is_lent in (False, True):
        teams = _list_teams(queue, is_lent, most)
        if not teams:
            continue
        team = _pick(queue.teams[is_lent], iter(teams))
        order = queue.urgencies[is_lent, team]
        urgency = _pick(order, iter(_list_urgencies(queue, is_lent, team, most)))
        ticket = queue.waiting[is_lent, team, urgency].popleft()
        _pop_flow(queue.teams[is_lent], team, ticket.service_s)
        _pop_flow(order, urgency, ticket.service_s)
        _clean(queue, ticket)
        return ticket
    return None


def _clean(queue: FairQueue, ticket: Ticket) -> None:
    """Drop what a leaving ticket leaves empty, so that memory stays bounded."""
    tier = (ticket.is_lent, ticket.team)
    place = (*tier, ticket.urgency)
    queue.length -= 1
    is_empty = not queue.waiting[place]
    _forget_idle(queue.urgencies[tier], ticket.urgency, is_empty=is_empty)
    if is_empty:
        del queue.waiting[place]
    is_silent = not _list_urgencies(queue, *tier)
    _forget_idle(queue.teams[ticket.is_lent], ticket.team, is_empty=is_silent)
    if is_silent:
        del queue.urgencies[tier]


def remove_ticket(queue: FairQueue, ticket: Ticket) -> bool:
    """Take out a ticket that waits no more; return whether it was there."""
    tier = (ticket.is_lent, ticket.team)
    waiting = queue.waiting.get((*tier, ticket.urgency))
    if waiting is None or ticket not in waiting:
        return False
    waiting.remove(ticket)
    queue.teams[ticket.is_lent].flows[ticket.team].backlog_s -= ticket.service_s
    queue.urgencies[tier].flows[ticket.urgency].backlog_s -= ticket.service_s
    _clean(queue, ticket)
    return True


def drop_late(queue: FairQueue, *, now: float) -> list[Ticket]:
    """Take out at once all that can no longer make its deadline or waited too long."""
    late = [
        ticket
        for waiting in queue.waiting.values()
        for ticket in waiting
        if now > min(ticket.latest_start, ticket.deadline - ticket.service_s)
    ]
    for ticket in late:
        remove_ticket(queue, ticket)
    return late


def estimate_ahead_s(queue: FairQueue, ticket: Ticket, *, weight: float) -> float:
    """Return the seconds of service that go before `ticket` if it came now.

    While a flow is served its own backlog, another is served as much in proportion
    to its weight, or all that it has; lent work also waits for all sold work.
    """
    tier = (ticket.is_lent, ticket.team)
    inner = queue.urgencies.get(tier, Order())
    own_s = _share_ahead_s(inner, ticket.urgency, URGENCY_WEIGHTS[ticket.urgency], 0.0)
    order = queue.teams[ticket.is_lent]
    ahead_s = _share_ahead_s(order, ticket.team, weight, own_s)
    if ticket.is_lent:
        ahead_s += sum(flow.backlog_s for flow in queue.teams[False].flows.values())
    return ahead_s


def _share_ahead_s(order: Order, key: object, weight: float, own_s: float) -> float:
    own = order.flows.get(key)
    lead = max(0.0, own.tag - order.virtual) if own else 0.0
    own_s = own_s or (own.backlog_s if own else 0.0)
    ahead_s = own_s
    for name, flow in order.flows.items():
        if name == key:
            continue
        due = (lead + own_s / weight - max(0.0, flow.tag - order.virtual)) * flow.weight
        ahead_s += min(flow.backlog_s, max(0.0, due))
    return ahead_s
