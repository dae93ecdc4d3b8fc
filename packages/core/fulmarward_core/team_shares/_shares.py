"""The shares of teams in the requests for one service that wait at one instance."""

from collections.abc import Hashable, Mapping

from fulmarward_core.queueing import WaitingRequest
from fulmarward_core.team_shares._table import TeamHold, TeamTable
from fulmarward_core.team_shares._types import TeamSettings, TeamUse
from fulmarward_core.team_shares.decisions import (
    compute_relative_use,
    compute_team_share,
    sum_level_kv,
)


class TeamShares:
    """Orders and limits the requests for one service by the use of their teams.

    Without effect while the settings do not enable it.
    """

    def __init__(self, *, service: str, table: TeamTable) -> None:
        self._service = service
        self._table = table
        self.settings = TeamSettings()
        self._settings_revision = 0

    def configure(self, settings: TeamSettings) -> None:
        """Apply other settings from now on, also to the requests that wait."""
        if settings != self.settings:
            self.settings = settings
            self._settings_revision += 1

    @property
    def is_enabled(self) -> bool:
        """Whether the shares of teams are in force."""
        return self.settings.is_enabled

    def find_revision(self, *, now: float) -> Hashable:
        """Return a value that differs whenever the relative uses may differ."""
        if not self.is_enabled:
            return None
        self._table.expire(now=now)
        return self._table.revision, self._settings_revision

    def find_relative_use(self, request: WaitingRequest, *, now: float) -> float:
        """Return the relative use of the team of a request.

        It is 0 for a started answer, whose order does not depend on its team.
        """
        if request.is_started or not self.is_enabled:
            return 0.0
        return compute_relative_use(
            request.team, uses=self._find_uses(request, now), settings=self.settings
        )

    def find_kv_share(
        self, request: WaitingRequest, *, planned_kv: float, now: float
    ) -> float:
        """Return the share of the planned KV cache that a request may fill.

        It is 1 for a started answer, and for a caller that was promised capacity.
        """
        if request.is_started or request.is_promised or not self.is_enabled:
            return 1.0
        return compute_team_share(
            request.team,
            uses=self._find_uses(request, now),
            settings=self.settings,
            planned_kv=planned_kv,
        )

    def sum_level_kv(self, request: WaitingRequest, *, now: float) -> float:
        """Return what the requests of its class wait for that are beside a request.

        Infinite while the shares are not in force, so that all are beside it.
        """
        if not self.is_enabled:
            return float("inf")
        return sum_level_kv(
            request.team, uses=self._find_uses(request, now), settings=self.settings
        )

    def add(self, request: WaitingRequest) -> None:
        """Record that a request waits; adding it again has no effect."""
        if self.is_enabled:
            self._table.record_waiting(request.key, self._make_hold(request))

    def remove(self, request: WaitingRequest) -> None:
        """Record that a request waits no more, if it did."""
        self._table.remove_waiting(request.key)

    def record_admitted(self, request: WaitingRequest) -> None:
        """Record that a request was admitted, until `TeamTable.record_ended`."""
        if self.is_enabled:
            self._table.record_running(request.key, self._make_hold(request))

    def describe(
        self, request: WaitingRequest, *, planned_kv: float, now: float
    ) -> Mapping[str, float | int | None]:
        """Return the values that decided on a request, for the log."""
        if not self.is_enabled:
            return {}
        share = self.find_kv_share(request, planned_kv=planned_kv, now=now)
        return {
            "team_share": round(share, 3),
            "team_relative_use": int(self.find_relative_use(request, now=now)),
        }

    def _find_uses(self, request: WaitingRequest, now: float) -> Mapping[str, TeamUse]:
        return self._table.find_uses(self._service, request.urgency, now=now)

    def _make_hold(self, request: WaitingRequest) -> TeamHold:
        return TeamHold(
            service=self._service,
            urgency=request.urgency,
            team=request.team,
            kv=request.kv,
        )
