"""Gossip of member tables in a simulated fleet of the design size, without sockets."""

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
    dequeue_rumours,
    merge_member,
    select_neighbours,
)

#: Members, data centres, and member changes per day: 690 replaced, 34 failed.
MEMBERS, DATA_CENTRES, CHANGES_PER_DAY = 330, 19, 724

#: Rumours per replaced or failed member: leaving or suspect, dead, and its successor.
RUMOURS_PER_CHANGE = 3


@dataclass(kw_only=True)
class _Fleet:
    tables: dict[str, MemberTable]
    neighbours: dict[str, list[str]]
    #: Bytes of all messages, and number of heartbeats.
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
        table.pending_transmissions.clear()
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
        rumours=dequeue_rumours(table),
    )
    data = encode_message(message)
    fleet.bytes += len(data)
    for rumour in decode_message(data).rumours:
        merge_member(fleet.tables[receiver], rumour, now=0.0)


def _run_round(fleet: _Fleet, generator: random.Random) -> None:
    """Send a heartbeat from each member to each neighbour, and its answer back."""
    names = list(fleet.tables)
    generator.shuffle(names)
    for name in names:
        for neighbour in fleet.neighbours[name]:
            fleet.heartbeats += 1
            _send(fleet, name, neighbour)
            _send(fleet, neighbour, name)


def _spread_changes(
    fleet: _Fleet, changes: list[Member], generator: random.Random
) -> dict:
    """Report each change to one member, and run rounds until no rumour is left."""
    for change in changes:
        reporter = fleet.neighbours[change.name][0]
        merge_member(fleet.tables[reporter], change, now=0.0)
    fleet.bytes = fleet.heartbeats = rounds = 0
    started = time.process_time()
    while any(table.pending_transmissions for table in fleet.tables.values()):
        _run_round(fleet, generator)
        rounds += 1
    seconds = time.process_time() - started
    digests = {combine_digests(table) for table in fleet.tables.values()}
    return {
        "rounds": rounds,
        "bytes": fleet.bytes / MEMBERS,
        "heartbeats": fleet.heartbeats / MEMBERS,
        "processor_ms": seconds * 1000 / MEMBERS,
        "tables_left_different": len(digests) - 1,
    }


def measure_tables(*, seed: int) -> list[dict]:
    """Return the cost of heartbeats, a member change and the loss of a data centre."""
    generator = random.Random(seed)
    fleet = _make_fleet()
    own = next(iter(fleet.tables))
    neighbours = fleet.neighbours[own]
    heartbeats_per_s = sum(
        1 / choose_heartbeat(neighbours, name) for name in neighbours
    )
    _run_round(fleet, generator)
    idle_bytes = fleet.bytes / fleet.heartbeats
    one = _spread_changes(
        fleet,
        [replace(fleet.tables[own].members["i007"], state=MemberState.LEAVING)],
        generator,
    )
    extra = one["bytes"] - idle_bytes * one["heartbeats"]
    bytes_per_s = extra * RUMOURS_PER_CHANGE * CHANGES_PER_DAY / 86_400
    lost = [
        replace(fleet.tables[own].members[name], state=MemberState.SUSPECT)
        for name, member in fleet.tables[own].members.items()
        if member.data_centre == "dc-03"
    ]
    burst = _spread_changes(fleet, lost, generator)
    burst_extra = burst["bytes"] - idle_bytes * burst["heartbeats"]
    return [
        {
            "table": "idle, sent by one of 330",
            "heartbeats_per_s": round(heartbeats_per_s, 2),
            "bytes_per_s": round(idle_bytes * heartbeats_per_s),
        },
        {
            "table": "724 changes a day",
            "bytes": round(extra),
            "bytes_per_s": round(bytes_per_s, 2),
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
