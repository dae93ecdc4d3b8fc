import unittest

from hypothesis import given, strategies as st

from fulmarward_core.admission import (
    FairQueue,
    Ticket,
    drop_expired,
    estimate_work_ahead_s,
    pop_next,
    pop_ticket,
    push_ticket,
    remove_ticket,
)
from fulmarward_core.declaration import Urgency

_WEIGHTS = {"large": 4.0, "middle": 2.0, "small": 1.0}
_TICKETS = st.lists(
    st.tuples(
        st.sampled_from(sorted(_WEIGHTS)),
        st.sampled_from(list(Urgency)),
        st.floats(0.1, 5),
        st.booleans(),
    ),
    max_size=60,
)


def _fill(queue, items):
    tickets = []
    for number, (team, urgency, service_s, is_lent) in enumerate(items):
        ticket = Ticket(
            request=str(number),
            team=team,
            urgency=urgency,
            tokens=1.0,
            service_s=service_s,
            deadline=number * 3.0,
            is_lent=is_lent,
        )
        push_ticket(queue, ticket, weight=_WEIGHTS[team])
        tickets.append(ticket)
    return tickets


class FairQueueTest(unittest.TestCase):
    @given(_TICKETS)
    def test_every_ticket_leaves_once_and_no_state_remains(self, items):
        queue = FairQueue()
        tickets = _fill(queue, items)
        removed = {ticket.request for ticket in drop_expired(queue, now=10.0)}
        for ticket in tickets[::5]:
            if remove_ticket(queue, ticket):
                removed.add(ticket.request)
        popped = []
        while (ticket := pop_ticket(queue)) is not None:
            popped.append(ticket)
            removed.add(ticket.request)
        self.assertEqual(len(removed), len(tickets))
        self.assertEqual(queue.length, 0)
        self.assertEqual(queue.waiting, {})
        self.assertEqual(queue.urgencies, {})
        lent = [ticket.is_lent for ticket in popped]
        self.assertEqual(lent, sorted(lent))

    @given(st.floats(0.1, 3), st.floats(0.1, 3), st.sampled_from([1.0, 2.0, 5.0]))
    def test_backlogged_teams_are_served_by_weight(self, first_s, second_s, weight):
        queue = FairQueue()
        costs = {"first": (first_s, weight), "second": (second_s, 1.0)}
        for number in range(200):
            for team, (cost_s, team_weight) in costs.items():
                push_ticket(
                    queue, _make_ticket(team, number, cost_s), weight=team_weight
                )
        served = {"first": 0.0, "second": 0.0}
        bound = first_s / weight + second_s
        for _ in range(150):
            team = pop_ticket(queue).team
            served[team] += costs[team][0]
            gap = abs(served["first"] / weight - served["second"])
            self.assertLessEqual(gap, bound + 1e-6)

    def test_only_urgent_work_uses_the_extra_places(self):
        queue = FairQueue()
        for number, urgency in enumerate(Urgency):
            push_ticket(queue, _make_ticket("team", number, 1.0, urgency), weight=1.0)
        self.assertIsNone(pop_next(queue, running=11, places=10.0))
        self.assertIs(pop_next(queue, running=10, places=10.0).urgency, Urgency.URGENT)
        self.assertIsNone(pop_next(queue, running=10, places=10.0))
        self.assertIs(pop_next(queue, running=9, places=10.0).urgency, Urgency.NORMAL)

    def test_bulk_is_not_starved_by_urgent_work(self):
        queue = FairQueue()
        push_ticket(queue, _make_ticket("team", 0, 1.0, Urgency.BULK), weight=1.0)
        for number in range(1, 40):
            push_ticket(
                queue, _make_ticket("team", number, 1.0, Urgency.URGENT), weight=1.0
            )
        order = [pop_ticket(queue).urgency for _ in range(10)]
        self.assertEqual(order.count(Urgency.BULK), 1)
        push_ticket(queue, _make_ticket("team", 50, 1.0, Urgency.BULK), weight=1.0)
        self.assertIs(pop_ticket(queue).urgency, Urgency.URGENT)

    @given(_TICKETS, st.sampled_from(sorted(_WEIGHTS)), st.sampled_from(list(Urgency)))
    def test_work_ahead_is_estimated_within_one_ticket_per_flow(
        self, items, team, urgency
    ):
        queue = FairQueue()
        _fill(queue, items)
        own = _make_ticket(team, 999, 1.0, urgency)
        estimate = estimate_work_ahead_s(queue, own, weight=_WEIGHTS[team])
        push_ticket(queue, own, weight=_WEIGHTS[team])
        ahead = 0.0
        while (ticket := pop_ticket(queue)) is not own:
            ahead += ticket.service_s
        slack = 5.0 * 3 * 3 * 4
        self.assertLessEqual(abs(ahead - estimate), slack)


def _make_ticket(team, number, service_s, urgency=Urgency.NORMAL):
    return Ticket(
        request=str(number),
        team=team,
        urgency=urgency,
        tokens=1.0,
        service_s=service_s,
        deadline=1e9,
    )
