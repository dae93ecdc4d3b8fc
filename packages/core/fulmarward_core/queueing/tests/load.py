"""Simulation of callers, and of instances that share the places of a fleet."""

import heapq
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from fulmarward_core.demand import ClassDemand
from fulmarward_core.queueing import (
    WaitingRequest,
    WaitQueue,
    choose_retry_after_s,
    classify_request,
    find_kv_share,
)
from fulmarward_core.reservations import ClassQueue, ClassSettings
from fulmarward_core.team_shares import TeamShares, TeamTable

#: Length of a simulation step, and delay until other instances' requests are known.
STEP_S = 0.04
REPORT_LAG_S = 0.2

OBJECTIVE_S = 0.6
DEADLINE_S = 20.0
FIRST_EVENT_S = 0.15
TIMEOUT_S = 0.9
PLANNED_SHARE = 0.9
#: Span over which the rate of arrivals is measured.
RATE_WINDOW_S = 1.0
#: Time between two reports of an instance on its teams.
TEAM_REPORT_INTERVAL_S = 0.24

INSTANCES = 20


@dataclass(kw_only=True)
class Caller:
    """A caller, which retries once after a rejection."""

    number: int
    first_attempt_at: float
    arrived_at: float
    service_s: float
    urgency: int = 0
    objective_s: float = OBJECTIVE_S
    attempts: int = 1
    team: str = ""


@dataclass(kw_only=True)
class Outcome:
    """Results of the callers."""

    on_time: int = 0
    late: int = 0
    rejected: int = 0
    #: Callers answered in time, late, and rejected, by urgency.
    by_class: dict[int, Counter] = field(default_factory=lambda: defaultdict(Counter))
    #: The same by team.
    by_team: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    #: Callers answered in time, and all callers, by the second of their first attempt.
    on_time_at: Counter = field(default_factory=Counter)
    total_at: Counter = field(default_factory=Counter)

    @property
    def total(self):
        return self.on_time + self.late + self.rejected

    @property
    def on_time_share(self):
        return self.on_time / self.total

    @property
    def served_share(self):
        return (self.on_time + self.late) / self.total

    def find_class_share(self, urgency, *results):
        """Return the share of the callers of a class that had one of the results."""
        return _find_share(self.by_class[urgency], results)

    def find_team_share(self, teams, *results):
        """Return the share of the callers of some teams that had one of the results."""
        counts = sum((self.by_team[team] for team in teams), Counter())
        return _find_share(counts, results)

    def record(self, caller, result):
        self.by_class[caller.urgency][result] += 1
        self.by_team[caller.team][result] += 1

    def find_worst_share(self, width_s=4):
        """Return the lowest share answered in time within any span of `width_s`."""
        spans = range(max(self.total_at) - width_s + 2)
        return min(
            sum(self.on_time_at[s + i] for i in range(width_s))
            / sum(self.total_at[s + i] for i in range(width_s))
            for s in spans
        )


def _find_share(counts, results):
    return sum(counts[result] for result in results) / counts.total()


class Policy(Protocol):
    """How an instance orders and limits its waiting callers."""

    def arrive(self, caller: Caller, now: float) -> None:
        """Register a caller."""

    def find_limit(self, caller: Caller, now: float, places: float) -> float:
        """Return the share of the capacity `places` that a caller may fill."""

    def find_retry_after_s(self) -> float:
        """Return the retry delay of a rejected caller."""

    def find_next(self, waiting: list[Caller], now: float) -> Caller:
        """Return the waiting caller that is served first."""

    def record_sent(self, caller: Caller) -> None:
        """Register that a caller is served; it is removed next."""

    def record_ended(self, caller: Caller) -> None:
        """Register that the answer to a caller has ended."""

    def remove(self, caller: Caller) -> None:
        """Register that a caller no longer waits."""

    def list_own(self, now: float) -> Sequence[ClassDemand]:
        """Return the demand at this instance."""
        return ()

    def learn(self, total: Sequence[ClassDemand], own: Sequence[ClassDemand]) -> None:
        """Take over the last known demand of all instances, and its own share in it."""

    def list_teams(self, now: float) -> Mapping[str, tuple]:
        """Return what the teams use at this instance."""
        return {}

    def merge_teams(self, source: str, uses: Mapping[str, tuple], at: float) -> None:
        """Take over what another instance reported of its teams a lag ago."""


class ArrivalOrderPolicy(Policy):
    """Baseline: callers are served in order of arrival, with one limit for all."""

    def find_limit(self, caller, now, places):
        return PLANNED_SHARE

    def find_retry_after_s(self):
        return 0.8

    def find_next(self, waiting, now):
        return min(waiting, key=lambda caller: caller.arrived_at)


class OnTimeFirstPolicy(Policy):
    """The policy of `fulmarward_core.queueing`."""

    def __init__(self, rng):
        self._rng = rng
        self._requests = {}
        self._queue = self._make_queue()

    def _make_queue(self):
        return WaitQueue()

    def arrive(self, caller, now):
        self._requests[caller.number] = request = WaitingRequest(
            key=caller.number,
            urgency=caller.urgency,
            arrived_at=now,
            objective_s=caller.objective_s,
            is_started=False,
            kv=1.0,
            team=caller.team,
        )
        self._queue.add(request)

    def find_limit(self, caller, now, places):
        wait_class = classify_request(self._requests[caller.number], now=now)
        return PLANNED_SHARE * find_kv_share(wait_class)

    def find_retry_after_s(self):
        return choose_retry_after_s(self._rng.random())

    def find_next(self, waiting, now):
        return next(
            caller
            for caller in waiting
            if self._queue.is_next(self._requests[caller.number], now=now)
        )

    def remove(self, caller):
        self._queue.remove(self._requests.pop(caller.number))


class LocalUrgencyPolicy(OnTimeFirstPolicy):
    """Baseline: strict order by urgency at each instance, with the limits of today."""

    def find_next(self, waiting, now):
        def rank(caller):
            wait_class = classify_request(self._requests[caller.number], now=now)
            return caller.urgency, wait_class, caller.arrived_at

        return min(waiting, key=rank)


class ReservingPolicy(OnTimeFirstPolicy):
    """The policy of `fulmarward_core.reservations`."""

    def __init__(self, rng, *, lowest_urgency, settings=None):
        self._settings = settings or ClassSettings()
        super().__init__(rng)
        self._lowest_urgency = lowest_urgency
        self._arrived = deque()
        self._known, self._known_own = (), ()

    def _make_queue(self):
        return ClassQueue(settings=self._settings)

    def arrive(self, caller, now):
        super().arrive(caller, now)
        self._arrived.append((now, caller.urgency))
        self._queue.record_arrival(self._requests[caller.number])

    def find_limit(self, caller, now, places):
        return PLANNED_SHARE * self._queue.find_kv_share(
            self._requests[caller.number],
            demands=_sum_demands([*self._known, *self.list_own(now)], self._known_own),
            planned_kv=places * PLANNED_SHARE,
            lowest_urgency=self._lowest_urgency,
            team_share=self._find_team_share(caller, now, places),
            now=now,
        )

    def _find_team_share(self, caller, now, places):
        return 1.0

    def record_sent(self, caller):
        self._queue.record_admitted(self._requests[caller.number])

    def list_own(self, now):
        while self._arrived and self._arrived[0][0] < now - RATE_WINDOW_S:
            self._arrived.popleft()
        rates = Counter(urgency for _, urgency in self._arrived)
        waiting = self._queue.sum_waiting(now=now)
        return [
            _make_demand(u, *waiting.get(u, (0.0, 0.0)), rates[u] / RATE_WINDOW_S)
            for u in rates.keys() | waiting.keys()
        ]

    def learn(self, total, own):
        self._known, self._known_own = total, own


class TeamSharing:
    """Adds the policy of `fulmarward_core.team_shares` to a policy with a queue."""

    def __init__(self, rng, *, team_settings, **settings):
        self._table = TeamTable(own="")
        self._shares = TeamShares(service="s", table=self._table)
        self._shares.configure(team_settings)
        super().__init__(rng, **settings)

    def arrive(self, caller, now):
        super().arrive(caller, now)
        self._shares.add(self._requests[caller.number])

    def record_sent(self, caller):
        super().record_sent(caller)
        self._shares.record_admitted(self._requests[caller.number])

    def record_ended(self, caller):
        self._table.record_ended(caller.number)

    def remove(self, caller):
        self._shares.remove(self._requests[caller.number])
        super().remove(caller)

    def list_teams(self, now):
        return self._table.list_own(now=now)

    def merge_teams(self, source, uses, at):
        self._table.merge_report(source, uses, boot=0, at=at, now=at + REPORT_LAG_S)

    def _find_team_share(self, caller, now, places):
        return self._shares.find_kv_share(
            self._requests[caller.number], planned_kv=places * PLANNED_SHARE, now=now
        )


class TeamPolicy(TeamSharing, OnTimeFirstPolicy):
    """Shares of teams in a service without classes."""

    def _make_queue(self):
        return WaitQueue(team_order=self._shares)

    def find_limit(self, caller, now, places):
        limit = super().find_limit(caller, now, places)
        return min(limit, PLANNED_SHARE * self._find_team_share(caller, now, places))


class ReservingTeamPolicy(TeamSharing, ReservingPolicy):
    """Shares of teams in a service with classes."""

    def _make_queue(self):
        return ClassQueue(settings=self._settings, team_order=self._shares)


def _make_demand(urgency, on_time_kv, late_kv, arriving_kv_per_s):
    return ClassDemand(
        urgency=urgency,
        on_time_kv=on_time_kv,
        late_kv=late_kv,
        arriving_kv_per_s=arriving_kv_per_s,
        released_kv_per_s=0.0,
        promised_kv=0.0,
    )


def _sum_demands(added, subtracted=()):
    """Return the sums of demands by class."""
    sums = defaultdict(lambda: [0.0, 0.0, 0.0])
    for sign, demands in ((1, added), (-1, subtracted)):
        for demand in demands:
            values = sums[demand.urgency]
            values[0] += sign * demand.on_time_kv
            values[1] += sign * demand.late_kv
            values[2] += sign * demand.arriving_kv_per_s
    return [_make_demand(urgency, *values) for urgency, values in sums.items()]


class _Instance:
    def __init__(self, policy):
        self.policy = policy
        self.waiting = []
        self._sent_at = deque()

    def count_sent(self, now):
        while self._sent_at and self._sent_at[0] < now - REPORT_LAG_S:
            self._sent_at.popleft()
        return len(self._sent_at)

    def record_sent(self, now):
        self._sent_at.append(now)


def simulate_load(
    make_policy: Callable[[random.Random], Policy],
    *,
    seed: int,
    find_places: Callable[[float], float],
    find_rates: Mapping[int, Callable[[float], float]],
    objectives_s: Mapping[int, float] | None = None,
    duration_s: float,
    teams: Mapping[str, float] | None = None,
) -> Outcome:
    """Return the results of callers that arrive during `duration_s` seconds.

    Each instance knows the number of running requests with a delay, and adds the
    requests that it sent itself in the meantime. `find_rates` and `objectives_s` are by
    urgency, and `teams` are the weights with which callers are of a team.
    """
    objectives_s = objectives_s or dict.fromkeys(find_rates, OBJECTIVE_S)
    rng = random.Random(seed)
    instances = [_Instance(make_policy(rng)) for _ in range(INSTANCES)]
    outcome = Outcome()
    running: list[tuple[float, int, Caller, _Instance]] = []
    team_reports: deque[tuple[float, int, Mapping[str, tuple]]] = deque()
    reported_at = 0.0
    lag_steps = round(REPORT_LAG_S / STEP_S)
    running_history: deque[int] = deque(maxlen=lag_steps + 1)
    demand_history: deque[list] = deque(maxlen=lag_steps + 1)
    retrying: list[tuple[float, int, Caller]] = []
    number, now = 0, 0.0
    while now < duration_s + 2 * DEADLINE_S / 3:
        while running and running[0][0] <= now:
            _, _, ended, instance = heapq.heappop(running)
            instance.policy.record_ended(ended)
        arrived = []
        # Ten draws per step and class approximate a Poisson process.
        for urgency, find_rate in find_rates.items():
            chance = find_rate(now) * STEP_S / 10 if now < duration_s else 0.0
            for _ in range(sum(rng.random() < chance for _ in range(10))):
                number += 1
                service_s = max(0.5, rng.gauss(1.6, 0.4))
                arrived.append(
                    Caller(
                        number=number,
                        first_attempt_at=now,
                        arrived_at=now,
                        service_s=service_s,
                        urgency=urgency,
                        objective_s=objectives_s[urgency],
                        team=_draw_team(rng, teams),
                    )
                )
                outcome.total_at[int(now)] += 1
        while retrying and retrying[0][0] <= now:
            arrived.append(heapq.heappop(retrying)[2])
        for caller in arrived:
            caller.arrived_at = now
            instance = rng.choice(instances)
            instance.policy.arrive(caller, now)
            instance.waiting.append(caller)
        places, known_running = (
            find_places(now),
            running_history[0] if running_history else 0,
        )
        reports = demand_history[0] if demand_history else [()] * len(instances)
        total = _sum_demands(demand for report in reports for demand in report)
        for instance, report in zip(instances, reports, strict=True):
            instance.policy.learn(total, report)
        while team_reports and team_reports[0][0] <= now - REPORT_LAG_S:
            at, source, uses = team_reports.popleft()
            for position, instance in enumerate(instances):
                if position != source:
                    instance.policy.merge_teams(str(source), uses, at)
        for instance in rng.sample(instances, len(instances)):
            policy, waiting = instance.policy, instance.waiting
            while waiting:
                caller = policy.find_next(waiting, now)
                limit = places * policy.find_limit(caller, now, places)
                if known_running + instance.count_sent(now) + 1 > limit:
                    break
                if len(running) + 1 > places:
                    break
                waiting.remove(caller)
                policy.record_sent(caller)
                policy.remove(caller)
                instance.record_sent(now)
                entry = now + caller.service_s, caller.number, caller, instance
                heapq.heappush(running, entry)
                is_on_time = (
                    now + FIRST_EVENT_S - caller.first_attempt_at <= caller.objective_s
                )
                result = "on time" if is_on_time else "late"
                outcome.record(caller, result)
                outcome.on_time += is_on_time
                outcome.late += not is_on_time
                outcome.on_time_at[int(caller.first_attempt_at)] += is_on_time
            instance.waiting = []
            for caller in waiting:
                if now - caller.arrived_at < TIMEOUT_S:
                    instance.waiting.append(caller)
                    continue
                policy.remove(caller)
                if caller.attempts > 1:
                    outcome.rejected += 1
                    outcome.record(caller, "rejected")
                else:
                    caller.attempts += 1
                    left_s = caller.first_attempt_at + DEADLINE_S - now
                    retry_s = min(instance.policy.find_retry_after_s(), left_s / 3)
                    entry = now + retry_s, caller.number, caller
                    heapq.heappush(retrying, entry)
        running_history.append(len(running))
        demand_history.append([i.policy.list_own(now) for i in instances])
        if now - reported_at >= TEAM_REPORT_INTERVAL_S:
            reported_at = now
            for source, instance in enumerate(instances):
                team_reports.append((now, source, instance.policy.list_teams(now)))
        now += STEP_S
    return outcome


def _draw_team(rng, teams):
    """Return a team by its weight; draws nothing without teams."""
    return rng.choices([*teams], [*teams.values()])[0] if teams else ""
