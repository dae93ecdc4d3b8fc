"""Simulation of callers that are rejected and return, by the promises or as today."""

import heapq
import math
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field, replace

from fulmarward_core.demand import DemandTable
from fulmarward_core.queueing import LATE_KV_SHARE, choose_retry_after_s
from fulmarward_core.queueing.decisions import ON_TIME_SHARE
from fulmarward_core.queueing.tests.load import (
    DEADLINE_S,
    FIRST_EVENT_S,
    INSTANCES,
    OBJECTIVE_S,
    PLANNED_SHARE,
    REPORT_LAG_S,
    STEP_S,
    TIMEOUT_S,
    Caller,
)
from fulmarward_core.waits import (
    KvAhead,
    PromiseLedger,
    ReturnStatus,
    choose_return_s,
    estimate_return_s,
    estimate_wait_s,
    may_promise,
    must_reject,
)

#: Seconds for which capacity is reserved before a promise is due, and smallest share of
#: the planned capacity that a level may fill, as in docs/design/0022-contention.md.
LAG_S = 0.3
MIN_KV_SHARE = 0.5

#: Attempts of callers that return on time and early, and the delay of the latter.
ATTEMPTS = {False: 2, True: 4}
EARLY_RETURN_S = 0.1

_ON_TIME_S = OBJECTIVE_S * ON_TIME_SHARE


@dataclass(kw_only=True)
class ReturningCaller(Caller):
    """A caller that may return before its retry delay."""

    returns_early: bool
    #: Whether its promise was due when it arrived.
    is_promised: bool = False
    #: Whether there was an estimate when it arrived.
    has_estimate: bool = False
    #: What waits ahead of it, `None` on arrival.
    ahead: KvAhead | None = None


@dataclass(kw_only=True)
class ReturnOutcome:
    """Results of the callers."""

    total: int = 0
    served: int = 0
    on_time: int = 0
    #: Promised returns, and those of them that were served.
    promised: int = 0
    kept: int = 0
    #: Seconds from arrival to rejection, where there was an estimate on arrival.
    rejected_after_s: list = field(default_factory=list)
    #: Rejected callers, and those served in the end, by whether they return early.
    rejected_by_kind: defaultdict = field(default_factory=lambda: defaultdict(set))
    served_by_kind: defaultdict = field(default_factory=lambda: defaultdict(set))

    @property
    def served_share(self):
        return self.served / self.total

    @property
    def kept_share(self):
        return self.kept / self.promised if self.promised else 1.0

    def find_quick_share(self, limit_s):
        """Return the share of the rejections with an estimate within some seconds."""
        found = self.rejected_after_s
        return sum(s <= limit_s + 1e-9 for s in found) / max(1, len(found))

    def find_served_share(self, *, returns_early):
        """Return the share of the rejected callers of a kind that were served."""
        rejected = self.rejected_by_kind[returns_early]
        served = self.served_by_kind[returns_early] & rejected
        return len(served) / max(1, len(rejected))


class _Instance:
    def __init__(self, name):
        self.waiting, self.sent_at = [], deque()
        self.ledger, self.demands = PromiseLedger(source=name), DemandTable(own=name)
        #: Waiting promised, on-time and late callers, and the rate of release.
        self.reports = deque([(0, 0, 0, 0.0)], maxlen=round(REPORT_LAG_S / STEP_S) + 1)

    def sort(self, now):
        def rank(caller):
            is_late = now - caller.arrived_at > _ON_TIME_S
            return not caller.is_promised, is_late, caller.arrived_at

        return sorted(self.waiting, key=rank)

    def make_report(self, now):
        levels = [_find_level(caller, now) for caller in self.waiting]
        rate = sum(d.released_kv_per_s for d in self.demands.sum("s", now=now))
        return *(levels.count(level) for level in range(3)), rate

    def report(self, now):
        self.reports.append(self.make_report(now))

    def count_sent(self, now):
        while self.sent_at and self.sent_at[0] < now - REPORT_LAG_S:
            self.sent_at.popleft()
        return len(self.sent_at)


def _find_level(caller, now):
    if caller.is_promised:
        return 0
    return 1 if now - caller.arrived_at <= _ON_TIME_S else 2


def make_callers(seed, *, find_rate, duration_s, early_share=0.0, find_slowness):
    """Return the callers in the order of their arrival."""
    rng, callers = random.Random(seed), []
    for step in range(round(duration_s / STEP_S)):
        now = step * STEP_S
        chance = find_rate(now) * STEP_S / 10
        for _ in range(sum(rng.random() < chance for _ in range(10))):
            callers.append(
                ReturningCaller(
                    number=len(callers),
                    first_attempt_at=now,
                    arrived_at=now,
                    service_s=max(0.5, rng.gauss(1.6, 0.4)) * find_slowness(now),
                    returns_early=rng.random() < early_share,
                )
            )
    return callers


class ReturnSimulation:
    """Instances that share the places of a fleet, a place for each caller's kv of 1."""

    def __init__(self, callers, *, seed, find_places, makes_promises):
        self.rng = random.Random(seed)
        self.instances = [_Instance(str(i)) for i in range(INSTANCES)]
        self.arrivals = deque(replace(caller) for caller in callers)
        self.find_places, self.makes_promises = find_places, makes_promises
        self.outcome = ReturnOutcome(total=len(callers))
        self.running, self.returning, self.messages = [], [], deque()
        self.known_running = deque([0], maxlen=round(REPORT_LAG_S / STEP_S) + 1)
        self.now = 0.0

    def run(self):
        last_at = self.arrivals[-1].first_attempt_at
        step = 0
        while self.now < last_at + DEADLINE_S:
            self._release()
            self._deliver()
            for caller in self._list_arrived():
                self._arrive(caller, self.rng.choice(self.instances))
            for instance in self.rng.sample(self.instances, INSTANCES):
                self._admit(instance)
            self.known_running.append(len(self.running))
            for instance in self.instances:
                instance.report(self.now)
            step += 1
            self.now = step * STEP_S
        return self.outcome

    def _release(self):
        while self.running and self.running[0][0] <= self.now:
            _, _, instance = heapq.heappop(self.running)
            instance.demands.record_released("s", 0, 1.0, now=self.now)

    def _deliver(self):
        while self.messages and self.messages[0][0] <= self.now:
            _, sender, promises, redeemed = self.messages.popleft()
            for instance in self.instances:
                if instance is not sender:
                    instance.ledger.merge(promises, now=self.now)
                    instance.ledger.merge_redeemed(redeemed, now=self.now)

    def _send(self, sender, *, promises=(), redeemed=()):
        deliver_at = self.now + REPORT_LAG_S
        self.messages.append((deliver_at, sender, promises, redeemed))

    def _list_arrived(self):
        while self.arrivals and self.arrivals[0].first_attempt_at <= self.now:
            yield self.arrivals.popleft()
        while self.returning and self.returning[0][0] <= self.now:
            yield heapq.heappop(self.returning)[2]

    def _arrive(self, caller, instance):
        caller.arrived_at = self.now
        caller.is_promised = caller.has_estimate = False
        caller.ahead = None
        if self.makes_promises:
            fingerprint = caller.number.to_bytes(8, "big")
            found = instance.ledger.find(fingerprint, now=self.now)
            if found.status is ReturnStatus.EARLY:
                caller.has_estimate = True
                self._reject(caller, instance, return_s=found.left_s)
                return
            if found.status is ReturnStatus.DUE:
                promise = instance.ledger.redeem(fingerprint, self.now)
                self._send(instance, redeemed=[promise.key])
                caller.is_promised = True
                self.outcome.promised += 1
            estimate_s = self._estimate(caller, instance)
            caller.has_estimate = estimate_s is not None
            caller.ahead = KvAhead(self._sum_known(instance)[1], now=self.now)
        instance.waiting.append(caller)

    def _sum_known(self, instance):
        """Return what an instance knows of the waiting callers, and of the release."""
        reports = [x.reports[0] for x in self.instances if x is not instance]
        own = instance.make_report(self.now)
        return [sum(values) for values in zip(own, *reports, strict=True)]

    def _find_free(self, instance, share=1.0):
        planned = self.find_places(self.now) * PLANNED_SHARE * share
        return planned - self.known_running[0] - instance.count_sent(self.now)

    def _estimate(self, caller, instance):
        """Return the estimate for a caller that waits or arrives."""
        promised, on_time, late, rate = self._sum_known(instance)
        left_s = caller.arrived_at + TIMEOUT_S - self.now
        due = instance.ledger.sum_kv("s", now=self.now, due_within_s=left_s)
        is_late = _find_level(caller, self.now) == 2
        ahead = late if is_late else on_time
        if caller.ahead is not None:
            # Callers of one level are served in the order of arrival.
            ahead = caller.ahead.update(
                waiting_kv=ahead - 1.0, released_kv_per_s=rate, now=self.now
            )
        ahead += on_time if is_late else 0.0
        return estimate_wait_s(
            kv=1.0,
            kv_ahead=promised + due.get(0, 0.0) + ahead,
            free_kv=self._find_free(instance, LATE_KV_SHARE if is_late else 1.0),
            released_kv_per_s=rate,
            arriving_above_kv_per_s=0.0,
        )

    def _find_limit(self, caller, instance):
        """Return the places that a caller may fill."""
        planned = self.find_places(self.now) * PLANNED_SHARE
        level = _find_level(caller, self.now)
        share = LATE_KV_SHARE if level == 2 else 1.0
        if not self.makes_promises or level == 0:
            return planned * share
        promised, on_time, _, _ = self._sum_known(instance)
        due = instance.ledger.sum_kv("s", now=self.now, due_within_s=LAG_S)
        reserved = promised + due.get(0, 0.0) + (on_time if level == 2 else 0)
        return min(planned * share, max(planned * MIN_KV_SHARE, planned - reserved))

    def _admit(self, instance):
        waiting = instance.sort(self.now)
        while waiting:
            caller = waiting[0]
            known = self.known_running[0] + instance.count_sent(self.now)
            if known + 1 > self._find_limit(caller, instance):
                break
            if len(self.running) + 1 > self.find_places(self.now):
                break
            waiting.pop(0)
            instance.waiting.remove(caller)
            instance.sent_at.append(self.now)
            end_at = self.now + caller.service_s
            heapq.heappush(self.running, (end_at, caller.number, instance))
            self._record_served(caller)
        for caller in waiting:
            left_s = caller.arrived_at + TIMEOUT_S - self.now
            is_rejected = left_s <= 1e-9
            if self.makes_promises and not caller.is_promised and not is_rejected:
                estimate_s = self._estimate(caller, instance)
                is_rejected = must_reject(estimate_s, left_s=left_s)
            if is_rejected:
                instance.waiting.remove(caller)
                self._reject(caller, instance)

    def _record_served(self, caller):
        self.outcome.served += 1
        self.outcome.kept += caller.is_promised
        first_event_s = self.now + FIRST_EVENT_S - caller.first_attempt_at
        self.outcome.on_time += first_event_s <= OBJECTIVE_S
        self.outcome.served_by_kind[caller.returns_early].add(caller.number)

    def _reject(self, caller, instance, *, return_s=None):
        if caller.has_estimate:
            self.outcome.rejected_after_s.append(self.now - caller.arrived_at)
        self.outcome.rejected_by_kind[caller.returns_early].add(caller.number)
        if return_s is None:
            return_s = self._choose_return_s(caller, instance)
        if caller.attempts >= ATTEMPTS[caller.returns_early]:
            return
        caller.attempts += 1
        honoured_s = (caller.first_attempt_at + DEADLINE_S - self.now) / 3
        delay_s = EARLY_RETURN_S if caller.returns_early else min(return_s, honoured_s)
        entry = self.now + delay_s, caller.number, caller
        heapq.heappush(self.returning, entry)

    def _choose_return_s(self, caller, instance):
        if not self.makes_promises:
            return choose_retry_after_s(self.rng.random())
        promised, on_time, _, rate = self._sum_known(instance)
        open_kv = instance.ledger.sum_kv("s", now=self.now, due_within_s=math.inf)
        estimate_s = estimate_return_s(
            kv=1.0,
            kv_ahead=promised + on_time,
            promised_kv=open_kv.get(0, 0.0),
            free_kv=self._find_free(instance),
            released_kv_per_s=rate,
            arriving_above_kv_per_s=0.0,
        )
        return_s = choose_return_s(estimate_s, draw=self.rng.random())
        left_s = caller.first_attempt_at + DEADLINE_S - self.now
        if may_promise(estimate_s, honoured_s=left_s / 3):
            fingerprint = caller.number.to_bytes(8, "big")
            due_at = self.now + return_s
            promise = instance.ledger.promise(
                fingerprint, "s", 0, 1.0, due_at=due_at, now=self.now
            )
            self._send(instance, promises=[promise])
        return return_s
