"""Converts the uses of teams to the messages between instances and back."""

import math

from fulmarward_core.team_shares import TeamUse, TeamUses
from fulmarward_router.mesh import TeamReport, TeamUseReport


def make_team_report(
    source: str, uses: TeamUses, *, boot: int | None = None, age_s: float = 0.0
) -> TeamReport:
    """Return the report of a source on its teams.

    `boot` is `None` for a data centre. Amounts and the age are rounded up, so that the
    report never seems newer than it is.
    """
    return TeamReport(
        source=source,
        is_data_centre=boot is None,
        boot=boot or 0,
        age_ms=math.ceil(age_s * 1000),
        uses=tuple(
            TeamUseReport(
                service=service,
                urgency=use.urgency,
                team=use.team,
                used_kv=math.ceil(use.used_kv),
                waiting_kv=math.ceil(use.waiting_kv),
            )
            for service, teams in uses.items()
            for use in teams
        ),
    )


def read_team_uses(report: TeamReport) -> TeamUses:
    """Return the uses in a report by service.

    Raises `ValueError` for a negative number, `OverflowError` for one beyond a float.
    """
    if report.age_ms < 0:
        raise ValueError(f"expected an age from 0 on, found {report.age_ms}")
    uses: dict[str, list[TeamUse]] = {}
    for item in report.uses:
        uses.setdefault(item.service, []).append(
            TeamUse(
                urgency=item.urgency,
                team=item.team,
                used_kv=float(item.used_kv),
                waiting_kv=float(item.waiting_kv),
            )
        )
    return {service: tuple(teams) for service, teams in uses.items()}
