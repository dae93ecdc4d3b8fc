"""Member tables of a fleet of the design size, exchanged without sockets."""

import random
import time
from dataclasses import dataclass, replace

from fulmarward.peers import Ping, encode_message
from fulmarward.peers._codec import decode_message
from fulmarward_core.membership import (
    Member,
    MemberState,
    MemberTable,
    choose_heartbeat,
    combine_digests,
    merge_member,
    select_neighbours,
    take_rumours,
)

#: Members, data centres, and changes of members a day: 690 replaced, 34 failed.
MEMBERS, DATA_CENTRES, CHANGES_A_DAY = 330, 19, 724

#: Rumours of one replaced or failed member: leaving or suspect, dead, the new one.
RUMOURS_A_CHANGE = 3


@dataclass(kw_only=True)
class _Fleet:
    tables: dict[str, MemberTable]
    neighbours: dict[str, list[str]]
    #: Bytes of messages and heartbeats sent.
    bytes: int = 0
    heartbeats: int = 0


def _make_member(number: int) -> Member:
    return Member(
        name=f"i{number:03}",
        boot=1_796_250_000_000 + number,
        version=1,
        state=MemberState.ALIVE,
        data_centre=f"dc-{number % DATA_CENTRES:02}",
        peer_address=f"10.{number % DATA_CENTRES}.0.{number % 250}:7003",
        caller_address=f"10.{number % DATA_CENTRES}.0.{number % 250}:7001",
    )


def _make_fleet() -> _Fleet:
    members = [_make_member(number) for number in range(MEMBERS)]
    tables = {}
    for own in members:
        table = MemberTable(own_name=own.name)
        for member in members:
            merge_member(table, member, now=0.0)
        table.untold.clear()
        tables[own.name] = table
    neighbours = {name: select_neighbours(table) for name, table in tables.items()}
    return _Fleet(tables=tables, neighbours=neighbours)


def _send(fleet: _Fleet, sender: str, receiver: str) -> None:
    table = fleet.tables[sender]
    message = Ping(
        boot=table.members[sender].boot,
        version=table.members[sender].version,
        epoch=2_100,
        digest=combine_digests(table),
        rumours=take_rumours(table),
    )
    data = encode_message(message)
    fleet.bytes += len(data)
    for rumour in decode_message(data).rumours:
        merge_member(fleet.tables[receiver], rumour, now=0.0)


def _run_round(fleet: _Fleet, generator: random.Random) -> None:
    """Send one heartbeat and its answer from each to each neighbour."""
    names = list(fleet.tables)
    generator.shuffle(names)
    for name in names:
        for neighbour in fleet.neighbours[name]:
            fleet.heartbeats += 1
            _send(fleet, name, neighbour)
            _send(fleet, neighbour, name)


def _spread(fleet: _Fleet, changes: list[Member], generator: random.Random) -> dict:
    """Bring in changes at one member each and go on until all tables are equal."""
    for change in changes:
        watcher = fleet.neighbours[change.name][0]
        merge_member(fleet.tables[watcher], change, now=0.0)
    fleet.bytes = fleet.heartbeats = rounds = 0
    begun = time.process_time()
    while any(table.untold for table in fleet.tables.values()):
        _run_round(fleet, generator)
        rounds += 1
    seconds = time.process_time() - begun
    digests = {combine_digests(table) for table in fleet.tables.values()}
    return {
        "rounds": rounds,
        "bytes": fleet.bytes / MEMBERS,
        "heartbeats": fleet.heartbeats / MEMBERS,
        "processor_ms": seconds * 1000 / MEMBERS,
        "tables_left_different": len(digests) - 1,
    }


def measure_tables(*, seed: int) -> list[dict]:
    """Return what heartbeats, one change and the loss of a data centre cost."""
    generator = random.Random(seed)
    fleet = _make_fleet()
    own = next(iter(fleet.tables))
    neighbours = fleet.neighbours[own]
    a_second = sum(1 / choose_heartbeat(neighbours, name) for name in neighbours)
    _run_round(fleet, generator)
    idle_bytes = fleet.bytes / fleet.heartbeats
    one = _spread(
        fleet,
        [replace(fleet.tables[own].members["i007"], state=MemberState.LEAVING)],
        generator,
    )
    extra = one["bytes"] - idle_bytes * one["heartbeats"]
    day = extra * RUMOURS_A_CHANGE * CHANGES_A_DAY / 86_400
    lost = [
        replace(fleet.tables[own].members[name], state=MemberState.SUSPECT)
        for name, member in fleet.tables[own].members.items()
        if member.data_centre == "dc-03"
    ]
    burst = _spread(fleet, lost, generator)
    burst_extra = burst["bytes"] - idle_bytes * burst["heartbeats"]
    return [
        {
            "table": "idle, sent by one of 330",
            "heartbeats_per_s": round(a_second, 2),
            "bytes_per_s": round(idle_bytes * a_second),
        },
        {
            "table": "724 changes a day",
            "bytes": round(extra),
            "bytes_per_s": round(day, 2),
            "tables_left_different": one["tables_left_different"],
            "rounds": one["rounds"],
        },
        {
            "table": f"{len(lost)} lost at once",
            "bytes": round(burst_extra),
            "rounds": burst["rounds"],
            "processor_ms": round(burst["processor_ms"], 1),
            "tables_left_different": burst["tables_left_different"],
        },
    ]
