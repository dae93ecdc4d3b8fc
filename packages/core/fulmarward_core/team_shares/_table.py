"""KV cache of each team: requests of this instance, and reports of others."""

import math
from collections import defaultdict
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass

from fulmarward_core.demand import (
    MAX_AMOUNT,
    MAX_CLASSES,
    MAX_SERVICES,
    Amounts,
    ClassAmounts,
    FleetReports,
    ReportSnapshot,
)
from fulmarward_core.team_shares._types import TeamUse

#: Upper bound on the teams of a class that are reported: those with the most KV cache.
MAX_TEAMS = 32

#: Longest name of a team that is reported, in bytes of UTF-8.
MAX_TEAM_BYTES = 256

#: Uses by service, each team of a class once.
TeamUses = Mapping[str, tuple[TeamUse, ...]]

#: Urgency and name of a team.
_TeamKey = tuple[int, str]


@dataclass(frozen=True, kw_only=True)
class TeamHold:
    """KV cache that one request holds or waits for, in tokens x layers."""

    service: str
    urgency: int
    team: str
    kv: float


class TeamTable:
    """Uses by service, urgency and team, at this instance and at those that report.

    Times are in seconds on the monotonic clock.
    """

    def __init__(self, *, own: str, data_centre: str = "") -> None:
        #: Increases with each change.
        self.revision = 0
        self._running: dict[Hashable, TeamHold] = {}
        self._waiting: dict[Hashable, TeamHold] = {}
        #: Amounts of the requests here by service and team: used and waiting, and the
        #: number of requests.
        self._own: defaultdict[str, dict[_TeamKey, Amounts]] = defaultdict(dict)
        self._reports = FleetReports(
            own=own,
            data_centre=data_centre,
            note_changed=self._note_changed,
            read_amounts=_round_amounts,
            is_within_bounds=_is_within_bounds,
        )
        #: Sums by service and urgency, as of a revision.
        self._cached: dict[tuple[str, int], Mapping[str, TeamUse]] = {}
        self._cached_revision = -1

    def _note_changed(self) -> None:
        self.revision += 1

    def record_running(self, key: Hashable, hold: TeamHold) -> None:
        """Record that a request was admitted; replaces an earlier record of it."""
        self._set(self._running, key, hold)

    def record_ended(self, key: Hashable) -> None:
        """Record that a request runs no more, if it did."""
        self._set(self._running, key, None)

    def record_waiting(self, key: Hashable, hold: TeamHold) -> None:
        """Record that a request waits; replaces an earlier record of it."""
        self._set(self._waiting, key, hold)

    def remove_waiting(self, key: Hashable) -> None:
        """Record that a request waits no more, if it did."""
        self._set(self._waiting, key, None)

    def _set(
        self,
        holds: dict[Hashable, TeamHold],
        key: Hashable,
        hold: TeamHold | None,
    ) -> None:
        known = holds.get(key)
        if known == hold:
            return
        if known is not None:
            self._add(known, holds is self._waiting, -1)
            del holds[key]
        if hold is not None:
            self._add(hold, holds is self._waiting, 1)
            holds[key] = hold
        self.revision += 1

    def _add(self, hold: TeamHold, is_waiting: bool, sign: int) -> None:
        teams = self._own[hold.service]
        key = hold.urgency, hold.team
        used, waiting, count = teams.get(key, (0, 0, 0))
        kv = sign * math.ceil(hold.kv)
        used, waiting = used + kv * (not is_waiting), waiting + kv * is_waiting
        if count + sign:
            teams[key] = used, waiting, count + sign
            return
        del teams[key]
        if not teams:
            del self._own[hold.service]

    def _find_own(self, service: str) -> dict[_TeamKey, Amounts]:
        teams = self._own.get(service, {})
        return {key: amounts[:2] for key, amounts in teams.items()}

    def expire(self, *, now: float) -> None:
        """Drop the reports that are too old."""
        self._reports.expire(now=now)

    def find_uses(
        self, service: str, urgency: int, *, now: float
    ) -> Mapping[str, TeamUse]:
        """Return the uses of a class at all instances, by team."""
        self._reports.expire(now=now)
        if self._cached_revision != self.revision:
            self._cached.clear()
            self._cached_revision = self.revision
        key = service, urgency
        if key not in self._cached:
            self._cached[key] = {
                team: TeamUse(
                    urgency=urgency,
                    team=team,
                    used_kv=float(used),
                    waiting_kv=float(waiting),
                )
                for (found, team), (used, waiting) in self._sum(service).items()
                if found == urgency
            }
        return self._cached[key]

    def list_services(self) -> list[str]:
        """Return the services with uses at any instance, by name."""
        return sorted({*self._own, *self._reports.list_services()})

    def list_uses(self, service: str, *, now: float) -> tuple[TeamUse, ...]:
        """Return the uses of a service at all instances, as they would be reported."""
        self._reports.expire(now=now)
        return _list_teams(self._sum(service), lambda urgency: True)

    def list_own_uses(self, service: str) -> tuple[TeamUse, ...]:
        """Return the uses of a service at this instance, also while nothing waits."""
        return _list_teams(self._find_own(service), lambda urgency: True)

    def list_own(self, *, now: float) -> TeamUses:
        """Return the uses at this instance of the classes that wait at any instance."""
        self._reports.expire(now=now)
        return self._list_reported(self._find_own, sorted(self._own))

    def sum_data_centre(self, *, now: float) -> TeamUses:
        """Return the uses of this instance and of its directly linked peers.

        They are those of the classes that wait at any instance. A hub reports them as
        those of its data centre.
        """
        self._reports.expire(now=now)
        services = {*self._own, *self._reports.list_direct_services()}
        return self._list_reported(
            lambda service: self._reports.sum_direct(service, self._find_own(service)),
            sorted(services),
        )

    def find_oldest_report_age_s(self, *, now: float) -> float | None:
        """Return the age of the oldest report in the sums, `None` if there is none."""
        self._reports.expire(now=now)
        return self._reports.find_oldest_age_s(now=now)

    def list_data_centres(self, *, now: float) -> Mapping[str, ReportSnapshot]:
        """Return the valid reports on other data centres, for a hub to pass on."""
        self._reports.expire(now=now)
        return self._reports.list_data_centres()

    def merge_report(
        self, source: str, uses: TeamUses, *, boot: int, at: float, now: float
    ) -> bool:
        """Replace what another instance reported, as `DemandTable.merge_report` does.

        Returns whether the report was applied.
        """
        return self._reports.merge_report(source, uses, boot=boot, at=at, now=now)

    def merge_data_centre(
        self, data_centre: str, uses: TeamUses, *, at: float, now: float
    ) -> bool:
        """Replace the sum that a hub reported for a data centre.

        Returns whether it was applied.
        """
        return self._reports.merge_data_centre(data_centre, uses, at=at, now=now)

    def remove(self, source: str) -> None:
        """Drop what an instance reported, as it leaves."""
        self._reports.remove(source)

    def _sum(self, service: str) -> Mapping[_TeamKey, Amounts]:
        near = self._reports.sum_direct(service, self._find_own(service))
        return self._reports.sum(service, near)

    def _list_reported(
        self,
        find_teams: Callable[[str], Mapping[_TeamKey, Amounts]],
        services: list[str],
    ) -> TeamUses:
        """Return the teams of each service in the classes that wait at any instance."""
        uses: dict[str, tuple[TeamUse, ...]] = {}
        for service in services:
            waiting = {
                urgency
                for (urgency, _), (_, waiting_kv) in self._sum(service).items()
                if waiting_kv
            }
            listed = _list_teams(find_teams(service), waiting.__contains__)
            if listed and len(uses) < MAX_SERVICES:
                uses[service] = listed
        return uses


def _list_teams(
    teams: Mapping[_TeamKey, Amounts], is_listed: Callable[[int], bool]
) -> tuple[TeamUse, ...]:
    """Return the teams with the most KV cache in each listed class, by urgency."""
    classes: defaultdict[int, list[TeamUse]] = defaultdict(list)
    for (urgency, team), (used, waiting) in teams.items():
        if is_listed(urgency) and _may_report(team):
            classes[urgency].append(
                TeamUse(
                    urgency=urgency,
                    team=team,
                    used_kv=float(used),
                    waiting_kv=float(waiting),
                )
            )
    return tuple(
        use
        for urgency in sorted(classes)[:MAX_CLASSES]
        for use in sorted(classes[urgency], key=_rank_size)[:MAX_TEAMS]
    )


def _may_report(team: str) -> bool:
    """Return whether the name of a team can be sent, and is short enough."""
    try:
        return len(team.encode()) <= MAX_TEAM_BYTES
    except UnicodeEncodeError:
        # JSON may contain halves of surrogate pairs.
        return False


def _rank_size(use: TeamUse) -> tuple[float, str]:
    return -use.used_kv - use.waiting_kv, use.team


def _round_amounts(uses: TeamUses) -> ClassAmounts:
    """Return the amounts by service and team, rounded up to integers."""
    return {
        (service, (use.urgency, use.team)): (
            math.ceil(use.used_kv),
            math.ceil(use.waiting_kv),
        )
        for service, teams in uses.items()
        for use in teams
    }


def _is_within_bounds(uses: TeamUses, amounts: ClassAmounts) -> bool:
    """Return whether a report has no team twice, nor too many or too large entries."""
    if len(uses) > MAX_SERVICES or sum(map(len, uses.values())) != len(amounts):
        return False
    for teams in uses.values():
        urgencies = [use.urgency for use in teams]
        if len(set(urgencies)) > MAX_CLASSES:
            return False
        if any(urgencies.count(urgency) > MAX_TEAMS for urgency in set(urgencies)):
            return False
        if not all(_may_report(use.team) for use in teams):
            return False
    return all(max(item) <= MAX_AMOUNT for item in amounts.values())
