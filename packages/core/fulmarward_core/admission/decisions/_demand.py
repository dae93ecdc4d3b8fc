"""What teams ask for at each instance, spread among instances without a store."""

import math

from fulmarward_core.admission._types import DemandRow, DemandTable, TeamDemand

#: Seconds over which demand is averaged. Load: a team's uneven seconds; harm: shares
#: that swing with noise; reason: some requests of each team fall into this time.
AVERAGE_S = 5.0

#: Teams told of in one row. Load: 550 teams; harm: rows of 10 KB; reason: an instance
#: serves some dozens of teams at once, the rest is noise.
MOST_TEAMS = 32

#: Bytes of rows sent in one message. Load: 330 instances; harm: more than the 4 KB/s
#: that control may take; reason: a quarter of it, which `choose_pause` spreads out.
#: Nine instances with ten teams each send all that they know each second.
MOST_BYTES = 1000

#: Instances up to which rows are told each second.
SMALL_FLEET = 16

#: Splits of the shares, one each second, between two tellings: in a small fleet, and in
#: a larger one. Load: 60 instances; harm: at one telling a second rows were 1.8 of the
#: 2.3 KB/s between peers, before frames; reason: a third of that, and a neighbour's
#: word is then half a minute old at most, a far one's some minutes.
SMALL_PAUSE, LARGE_PAUSE = 1, 3

#: Bytes of a row without its teams, and of a team in it.
ROW_BYTES = 40
TEAM_BYTES = 24

#: Age at which a row counts no more, in seconds. Load: 330 instances, whose rows take
#: minutes to go round; harm: demand of long ago holds a share; reason: twice that time.
MOST_AGE_S = 300.0


def count_demand(table: DemandTable, team: str, tokens: float) -> None:
    """Count what a request asks for here."""
    table.counted[team] = table.counted.get(team, 0.0) + tokens


def average_demand(table: DemandTable, *, now: float) -> None:
    """Bring the averages of the own demand up to the present time."""
    passed_s = now - table.averaged_at
    if passed_s <= 0:
        return
    kept = math.exp(-passed_s / AVERAGE_S) if math.isfinite(passed_s) else 0.0
    for team in table.own.keys() | table.counted.keys():
        rate = table.counted.get(team, 0.0) / min(passed_s, AVERAGE_S)
        table.own[team] = table.own.get(team, 0.0) * kept + rate * (1 - kept)
    table.own = {team: rate for team, rate in table.own.items() if rate >= 0.01}
    table.counted.clear()
    table.averaged_at = now


def make_own_row(table: DemandTable, *, member: str, boot: int) -> DemandRow:
    """Return what this instance says of itself, newer than all that it said before."""
    table.sequence += 1
    largest = sorted(table.own.items(), key=lambda item: (-item[1], item[0]))
    return DemandRow(
        member=member,
        boot=boot,
        sequence=table.sequence,
        teams=tuple(
            TeamDemand(team=team, tokens_per_s=rate)
            for team, rate in largest[:MOST_TEAMS]
        ),
    )


def choose_pause(members: int) -> int:
    """Return how many splits of the shares lie between two tellings."""
    return SMALL_PAUSE if members <= SMALL_FLEET else LARGE_PAUSE


def merge_row(table: DemandTable, row: DemandRow, *, now: float) -> bool:
    """Take in a row if it is newer than what is known; return whether it was."""
    known = table.rows.get(row.member)
    is_old = known is not None and (row.boot, row.sequence) <= (
        known.boot,
        known.sequence,
    )
    if is_old:
        return False
    table.rows[row.member] = row
    table.heard_at[row.member] = now
    return True


def select_rows(table: DemandTable, own: DemandRow) -> tuple[DemandRow, ...]:
    """Return the rows of the next message: the own, then those longest unsent."""
    rows = [own]
    room = MOST_BYTES - _count_bytes(own)
    for member in sorted(table.rows, key=lambda name: (table.sent.get(name, 0), name)):
        row = table.rows[member]
        room -= _count_bytes(row)
        if room < 0:
            break
        rows.append(row)
        table.sent[member] = own.sequence
    return tuple(rows)


def _count_bytes(row: DemandRow) -> int:
    return ROW_BYTES + TEAM_BYTES * len(row.teams)


def forget_rows(table: DemandTable, *, members: frozenset[str], now: float) -> None:
    """Forget instances that are gone, and what is too old."""
    for member in list(table.rows):
        if member not in members or now - table.heard_at[member] > MOST_AGE_S:
            del table.rows[member]
            del table.heard_at[member]
            table.sent.pop(member, None)


def list_others(table: DemandTable, team: str) -> dict[str, float]:
    """Return by instance what a team asks for elsewhere, as far as is known."""
    return {
        member: next(
            (item.tokens_per_s for item in row.teams if item.team == team), 0.0
        )
        for member, row in table.rows.items()
    }
