"""Free ports on loopback."""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import TextIO

#: Ports below those the system hands out by itself, so that a port found here is not
#: taken by some client's connection before its process listens.
FIRST_PORT, END_PORT = 12_000, 32_000

#: Ports in a block. A fleet of 60 instances takes 181.
BLOCK_PORTS = 500

_GENERATOR = random.SystemRandom()

#: The blocks that this process holds, with their open lock files.
_HELD: dict[int, TextIO] = {}


def _open_lock(first: int) -> TextIO:
    folder = Path(tempfile.gettempdir()) / f"fulmarward-ports-{os.getuid()}"
    folder.mkdir(exist_ok=True)
    return (folder / str(first)).open("w")


def _hold_block() -> int:
    """Return the first port of a block that no other process holds.

    Guards against two fleets on one machine: a port that was found free is let go
    before its process listens, and another fleet found it free too. One of the two
    instances then never comes up. The lock ends with this process, however it ends.
    """
    blocks = list(range(FIRST_PORT, END_PORT, BLOCK_PORTS))
    _GENERATOR.shuffle(blocks)
    for first in blocks:
        lock = _open_lock(first)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _HELD[first] = lock
        return first
    raise RuntimeError(f"expected a free block of ports, found {len(blocks)} held")


def _list_candidates() -> list[int]:
    ports = [port for first in _HELD for port in range(first, first + BLOCK_PORTS)]
    _GENERATOR.shuffle(ports)
    return ports


def _find_in_blocks(count: int) -> list[int]:
    """Return up to `count` free ports of the held blocks."""
    holders = []
    try:
        for port in _list_candidates():
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:
                holder.close()
                continue
            holders.append(holder)
            if len(holders) == count:
                break
        return [holder.getsockname()[1] for holder in holders]
    finally:
        for holder in holders:
            holder.close()


def find_ports(count: int) -> list[int]:
    """Return `count` different ports on which nothing listens now."""
    while True:
        ports = _find_in_blocks(count)
        if len(ports) == count:
            return ports
        _hold_block()
