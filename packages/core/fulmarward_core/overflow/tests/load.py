"""Simulation of data centres whose requests may use the targets of others."""

import random
from collections import Counter, deque
from dataclasses import replace

from fulmarward_core.overflow import CentreReport, Overflow
from fulmarward_core.paths import HUB_TERMS, HUB_WAIT_TERMS

STEP_S = 0.05
#: Delay until the use and the demand of another data centre are known, mean seconds of
#: an answer, and seconds for which a request waits at most.
REPORT_LAG_S, SERVICE_S, TIMEOUT_S = 0.4, 3.0, 0.9
#: Requests that a data centre serves at once, and that paths plan with.
PLACES, PLANNED = 400, 360
#: Answers per second of a data centre that is full.
FULL_RATE = PLANNED / SERVICE_S


class Centre:
    """A data centre; its requests count by the data centre in which they arrived."""

    def __init__(self, name):
        self.name, self.overflow = name, Overflow(data_centre=name)
        #: Requests that run here, with when they end and where they arrived; the times
        #: of arrival of those that wait; reports under way, with when they were made.
        self.running, self.waiting, self.reports = [], deque(), deque()
        #: Arrivals and releases of the last second, by step.
        self.arrived, self.released = (deque([0], round(1 / STEP_S)) for _ in range(2))

    def report(self):
        return CentreReport(
            arriving_kv_per_s=float(sum(self.arrived)),
            waiting_kv=float(len(self.waiting)),
            released_kv_per_s=float(sum(self.released)),
            planned_kv=float(PLANNED),
            free_kv=float(max(0, PLANNED - len(self.running))),
            age_s=0.0,
        )

    def find_reported(self, now):
        """Return the report that has arrived elsewhere."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - REPORT_LAG_S:
            self.reports.popleft()
        at, report = self.reports[0]
        return replace(report, age_s=now - at)


class Simulation:
    """Requests that arrive at data centres, with overflow or without it."""

    def __init__(self, find_rates, *, has_overflow, seed, end_s):
        self._has_overflow = has_overflow
        #: Requests, those that found no capacity on arrival, and their seconds.
        self.total = self.waited = self.waited_s = 0
        #: Changes between overflow and none, by data centre.
        self.changes = Counter()
        #: Whether two data centres ever sent to each other at one time.
        self.is_mutual = False
        self._centres = {name: Centre(name) for name in find_rates(0.0)}
        # With and without overflow, the same requests arrive.
        arrivals, self._rng = random.Random(seed), random.Random(seed)
        due, centres = Counter(), self._centres.values()
        for step in range(round(end_s / STEP_S)):
            now = step * STEP_S
            for centre in centres:
                centre.arrived.append(0)
                centre.released.append(0)
            for centre in centres:
                due[centre.name] += find_rates(now)[centre.name] * STEP_S
                while due[centre.name] > 0:
                    # A Poisson process; the interval counts in mean arrivals.
                    due[centre.name] -= arrivals.expovariate(1.0)
                    centre.arrived[-1] += 1
                for ends_at, origin in centre.running:
                    self._centres[origin].released[-1] += ends_at <= now
                centre.running = [item for item in centre.running if item[0] > now]
            for centre in centres:
                centre.reports.append((now, centre.report()))
            for centre in centres:
                self._serve(centre, now)
            plans = {c.name: c.overflow.plan for c in centres if c.overflow.plan.share}
            self.is_mutual |= any(
                len(plan.terms.data_centres & plans.keys()) > 1
                for plan in plans.values()
            )

    def _serve(self, centre, now):
        """Serve the requests of a data centre that wait, then those that arrive."""
        others = [c for c in self._centres.values() if c is not centre]
        known = {c.name: c.find_reported(now) for c in others}
        rooms = {name: report.free_kv - PLANNED for name, report in known.items()}
        overflow = centre.overflow
        if self._has_overflow and overflow.is_due(now=now):
            was_overflowing = overflow.plan.is_overflowing
            plan = overflow.update({**known, centre.name: centre.report()}, now=now)
            self.changes[centre.name] += plan.is_overflowing != was_overflowing

        def start(name, most):
            running = self._centres[name].running
            if len(running) >= most:
                return False
            ends_at = now + self._rng.expovariate(1 / SERVICE_S)
            running.append((ends_at, centre.name))
            return True

        def start_remote(terms):
            usable = rooms.keys() & (terms.data_centres or rooms.keys())
            name = max(usable, key=rooms.get, default=None)
            if name is None or rooms[name] + PLACES * terms.usable_kv_share < 1:
                return False
            # What is sent in this step is not in the reports yet.
            rooms[name] -= 1
            return start(name, PLACES)

        while centre.waiting:
            waited_s = now - centre.waiting[0]
            is_started = start(centre.name, PLANNED) or start_remote(HUB_WAIT_TERMS)
            if not is_started and waited_s < TIMEOUT_S:
                break
            centre.waiting.popleft()
            self.waited_s += waited_s
        for _ in range(centre.arrived[-1]):
            self.total += 1
            plan, has_queue = overflow.plan, bool(centre.waiting)
            if self._rng.random() < plan.share and start_remote(plan.terms):
                continue
            is_full = has_queue or not start(centre.name, PLANNED)
            if is_full and (has_queue or not start_remote(HUB_TERMS)):
                self.waited += 1
                centre.waiting.append(now)
