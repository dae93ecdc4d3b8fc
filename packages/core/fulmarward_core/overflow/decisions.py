"""Which share of the requests of a data centre use other data centres at once.

The need of a data centre is what arrives in the next second, by forecast, and what
waits. Its capacity is what is free and what is released in that second. While the need
is close to the capacity, a share of the arrivals is sent to data centres with spare
capacity, before requests have to wait.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from fulmarward_core.forecasts import Forecast
from fulmarward_core.paths import DIRECT_TERMS, HUB_WAIT_TERMS, RemoteTerms

#: Shares of the capacity of a data centre: overflow starts when the need has exceeded
#: the first one for `START_S` seconds, and ends when it has been below the second one
#: for `END_S`. Others are sent requests up to the second one, so that these do not make
#: them overflow.
START_SHARE = 0.95
END_SHARE = 0.8
START_S = 0.2
END_S = 1.0

#: Share of the arrivals of a data centre that overflow at most.
MAX_OVERFLOW_SHARE = 0.5

#: Seconds after which a report no longer counts, neither as demand nor as capacity.
REPORT_DURATION_S = 1.5

#: Minimum seconds between two decisions on a service, and the same while the need is at
#: most `CALM_SHARE` of the capacity. A decision takes 0.8 ms of processor time with 93
#: targets, for each service that receives requests.
DECISION_INTERVAL_S = 0.1
CALM_INTERVAL_S = 0.3
CALM_SHARE = 0.6

#: Seconds for which demand is forecast; for data centres that requests are sent to it
#: is longer, as these requests stay there for seconds.
_HORIZON_S = 1.0
_GUEST_HORIZON_S = 2.0

#: Terms of requests that overflow: the path with the lowest time, with the real cost of
#: a first hop in another data centre.
OVERFLOW_TERMS = replace(HUB_WAIT_TERMS, first_hop_ms=DIRECT_TERMS.first_hop_ms)


@dataclass(frozen=True, kw_only=True)
class CentreReport:
    """What is known of a service in a data centre; KV cache in tokens x layers."""

    #: Needed by arriving requests per second, and by those that wait.
    arriving_kv_per_s: float
    waiting_kv: float
    #: Released per second by requests that arrived there, wherever they ran.
    released_kv_per_s: float
    #: What paths may plan with there, and how much of it is not reserved.
    planned_kv: float
    free_kv: float
    #: Age of the demand, in seconds.
    age_s: float


@dataclass(frozen=True, kw_only=True)
class OverflowPlan:
    """What share of the arrivals of the own data centre overflow, and why."""

    is_overflowing: bool = False
    #: Share of the arriving requests that overflow.
    share: float = 0.0
    #: Terms of those requests.
    terms: RemoteTerms = OVERFLOW_TERMS
    #: Need and capacity of the own data centre, and spare capacity of the others.
    need_kv: float = 0.0
    capacity_kv: float = 0.0
    spare_kv: float = 0.0


@dataclass(kw_only=True)
class _CentreState:
    """Forecast and hysteresis of a data centre."""

    forecast: Forecast = field(default_factory=Forecast)
    is_overflowing: bool = False
    #: Since when the need has been beyond the threshold of a change, `None` if not.
    beyond_since: float | None = None
    #: What arrives in the next second, and the need with it.
    arriving_kv: float = 0.0
    need_kv: float = 0.0
    #: The need for which room is left when requests are sent there.
    guest_need_kv: float = 0.0
    capacity_kv: float = 0.0

    @property
    def spare_kv(self) -> float:
        """What requests of other data centres may use."""
        if self.is_overflowing:
            return 0.0
        return max(0.0, END_SHARE * self.capacity_kv - self.guest_need_kv)

    @property
    def excess_kv(self) -> float:
        """What is to be sent to other data centres in the next second."""
        if not self.is_overflowing:
            return 0.0
        return max(0.0, self.need_kv - END_SHARE * self.capacity_kv)

    def update(
        self, report: CentreReport, *, released_kv_per_s: float, now: float
    ) -> None:
        self.forecast.record(report.arriving_kv_per_s, now=now - report.age_s)
        self.arriving_kv = self.forecast.predict(horizon_s=_HORIZON_S, now=now)
        self.need_kv = self.arriving_kv + report.waiting_kv
        later_kv = self.forecast.predict(horizon_s=_GUEST_HORIZON_S, now=now)
        self.guest_need_kv = report.waiting_kv + max(self.arriving_kv, later_kv)
        self.capacity_kv = report.free_kv + released_kv_per_s
        if self.is_overflowing:
            is_beyond = self.need_kv <= END_SHARE * self.capacity_kv
            duration_s = END_S
        else:
            is_beyond = self.need_kv > START_SHARE * self.capacity_kv
            duration_s = START_S
        if not is_beyond:
            self.beyond_since = None
        elif self.beyond_since is None:
            self.beyond_since = now
        elif now - self.beyond_since >= duration_s:
            self.is_overflowing = not self.is_overflowing
            self.beyond_since = None


class Overflow:
    """The overflow of one service from the data centre of an instance.

    It decides for the other data centres as well, as those that overflow are sent
    nothing. Times are in seconds on the monotonic clock.
    """

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._states: dict[str, _CentreState] = {}
        self._decided_at = float("-inf")
        self.plan = OverflowPlan()

    def is_due(self, *, now: float) -> bool:
        """Return whether the last decision is old enough for another one."""
        plan = self.plan
        is_calm = plan.need_kv <= CALM_SHARE * plan.capacity_kv
        is_calm = is_calm and not plan.is_overflowing
        interval_s = CALM_INTERVAL_S if is_calm else DECISION_INTERVAL_S
        return now - self._decided_at >= interval_s

    def update(
        self, reports: Mapping[str, CentreReport], *, now: float
    ) -> OverflowPlan:
        """Decide by the latest reports of all data centres, by their names.

        Those with an old report, or without any, count neither as demand nor as
        capacity.
        """
        self._decided_at = now
        valid = {
            name: report
            for name, report in reports.items()
            if report.age_s <= REPORT_DURATION_S
        }
        states = {name: self._states.get(name) or _CentreState() for name in valid}
        self._states = states
        released = _estimate_released(valid)
        for name, report in valid.items():
            states[name].update(report, released_kv_per_s=released[name], now=now)
        self.plan = self._make_plan()
        return self.plan

    def _make_plan(self) -> OverflowPlan:
        own = self._states.get(self._data_centre)
        if own is None:
            return OverflowPlan()
        spare_kv = sum(state.spare_kv for state in self._states.values())
        excess_kv = sum(state.excess_kv for state in self._states.values())
        share = 0.0
        if excess_kv and own.arriving_kv:
            # Spare capacity is divided among all that overflow, by their excess.
            sent_kv = own.excess_kv * min(1.0, spare_kv / excess_kv)
            share = min(MAX_OVERFLOW_SHARE, sent_kv / own.arriving_kv)
        usable = {name for name, state in self._states.items() if state.spare_kv}
        return OverflowPlan(
            is_overflowing=own.is_overflowing,
            share=share,
            terms=replace(
                OVERFLOW_TERMS, data_centres=frozenset({*usable, self._data_centre})
            ),
            need_kv=own.need_kv,
            capacity_kv=own.capacity_kv,
            spare_kv=spare_kv,
        )


def _estimate_released(reports: Mapping[str, CentreReport]) -> dict[str, float]:
    """Return what the targets of each data centre release per second.

    Reports count releases where the requests arrived. In the mean, KV cache is held
    equally long everywhere, so that targets release in proportion to their use.
    """
    used = {
        name: max(0.0, report.planned_kv - report.free_kv)
        for name, report in reports.items()
    }
    total_kv = sum(used.values())
    rate = sum(report.released_kv_per_s for report in reports.values())
    return {
        name: kv * rate / total_kv if total_kv else 0.0 for name, kv in used.items()
    }
