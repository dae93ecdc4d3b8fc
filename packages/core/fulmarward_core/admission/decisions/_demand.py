"""Demand of the teams at each instance, exchanged by gossip without a shared store."""

import math

from fulmarward_core.admission._types import DemandRow, DemandTable, TeamDemand

#: Time constant of the demand averages, in seconds. It spans several requests of each
#: team, so that shares do not fluctuate with the noise of single seconds.
AVERAGING_TIME_S = 5.0

#: With 550 teams, unbounded rows would take 10 KB. An instance serves a few dozen teams
#: at once; the demand of the rest is negligible.
MAX_TEAMS_PER_ROW = 32

#: Maximum bytes of rows in one message. With 330 instances, unbounded messages would
#: exceed the 4 KB/s allowed for control traffic; this is a quarter of that, and larger
#: fleets send messages less often. Nine instances with ten teams each still send all
#: their rows each second.
MAX_MESSAGE_BYTES = 1000

#: Number of instances up to which rows are sent each second.
MAX_SMALL_FLEET = 16

#: Interval between messages, counted in updates of the shares (one per second). With 60
#: instances and a message each second, rows made up 1.8 of the 2.3 KB/s between peers,
#: before framing. One message in three seconds takes a third of that; a neighbour's row
#: is then at most half a minute old, and a distant one's a few minutes.
SMALL_FLEET_INTERVAL, LARGE_FLEET_INTERVAL = 1, 3

#: Encoded size of a row without its teams, and of each team, in bytes.
ROW_BYTES = 40
TEAM_BYTES = 24

#: Age at which a row expires, in seconds, so that outdated demand does not keep a part
#: of a share. It is twice the time that rows need to reach all of 330 instances, which
#: is minutes.
MAX_ROW_AGE_S = 300.0


def count_demand(table: DemandTable, team: str, tokens: float) -> None:
    """Add the tokens of a request to the demand at this instance."""
    table.counted[team] = table.counted.get(team, 0.0) + tokens


def average_demand(table: DemandTable, *, now: float) -> None:
    """Update the averages of the demand at this instance."""
    elapsed_s = now - table.averaged_at
    if elapsed_s <= 0:
        return
    decay = math.exp(-elapsed_s / AVERAGING_TIME_S) if math.isfinite(elapsed_s) else 0.0
    for team in table.own.keys() | table.counted.keys():
        rate = table.counted.get(team, 0.0) / min(elapsed_s, AVERAGING_TIME_S)
        table.own[team] = table.own.get(team, 0.0) * decay + rate * (1 - decay)
    table.own = {team: rate for team, rate in table.own.items() if rate >= 0.01}
    table.counted.clear()
    table.averaged_at = now


def make_own_row(table: DemandTable, *, member: str, boot: int) -> DemandRow:
    """Return the demand at this instance as a row with the next sequence number."""
    table.sequence += 1
    largest = sorted(table.own.items(), key=lambda item: (-item[1], item[0]))
    return DemandRow(
        member=member,
        boot=boot,
        sequence=table.sequence,
        teams=tuple(
            TeamDemand(team=team, tokens_per_s=rate)
            for team, rate in largest[:MAX_TEAMS_PER_ROW]
        ),
    )


def choose_gossip_interval(members: int) -> int:
    """Return the interval between messages, in updates of the shares."""
    return SMALL_FLEET_INTERVAL if members <= MAX_SMALL_FLEET else LARGE_FLEET_INTERVAL


def merge_row(table: DemandTable, row: DemandRow, *, now: float) -> bool:
    """Store a row if it is newer than the known one; return whether it was."""
    known = table.rows.get(row.member)
    is_outdated = known is not None and (row.boot, row.sequence) <= (
        known.boot,
        known.sequence,
    )
    if is_outdated:
        return False
    table.rows[row.member] = row
    table.received_at[row.member] = now
    return True


def select_rows(table: DemandTable, own: DemandRow) -> tuple[DemandRow, ...]:
    """Return the rows of the next message: the own, then the least recently sent."""
    rows = [own]
    remaining_bytes = MAX_MESSAGE_BYTES - _count_bytes(own)
    for member in sorted(table.rows, key=lambda name: (table.sent.get(name, 0), name)):
        row = table.rows[member]
        remaining_bytes -= _count_bytes(row)
        if remaining_bytes < 0:
            break
        rows.append(row)
        table.sent[member] = own.sequence
    return tuple(rows)


def _count_bytes(row: DemandRow) -> int:
    return ROW_BYTES + TEAM_BYTES * len(row.teams)


def prune_rows(table: DemandTable, *, members: frozenset[str], now: float) -> None:
    """Remove the rows of instances that left, and rows that expired."""
    for member in list(table.rows):
        if member not in members or now - table.received_at[member] > MAX_ROW_AGE_S:
            del table.rows[member]
            del table.received_at[member]
            table.sent.pop(member, None)


def list_other_demand(table: DemandTable, team: str) -> dict[str, float]:
    """Return the known demand of a team at the other instances, by instance."""
    return {
        member: next(
            (item.tokens_per_s for item in row.teams if item.team == team), 0.0
        )
        for member, row in table.rows.items()
    }
