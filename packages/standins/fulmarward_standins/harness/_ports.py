"""Free ports on loopback."""

import fcntl
import os
import random
import socket
import tempfile
import time
from pathlib import Path
from typing import TextIO

#: Below the system's ephemeral ports, so that no client's connection takes a port
#: between finding it here and listening on it.
FIRST_PORT, END_PORT = 12_000, 32_000

#: Ports per block. A fleet of 60 instances needs 181.
BLOCK_PORTS = 500

#: Seconds for which a port is not returned again. Nothing listens on it yet while its
#: process starts, nor while an instance that was killed is about to start again.
RESERVED_S = 60.0

_GENERATOR = random.SystemRandom()

#: Open lock files of the blocks that this process has locked, by first port.
_LOCKED_BLOCKS: dict[int, TextIO] = {}

#: When each port was last returned, in seconds on the monotonic clock.
_RETURNED_AT: dict[int, float] = {}


def _open_lock(first: int) -> TextIO:
    folder = Path(tempfile.gettempdir()) / f"fulmarward-ports-{os.getuid()}"
    folder.mkdir(exist_ok=True)
    return (folder / str(first)).open("w")


def _lock_block() -> int:
    """Lock a block that no other process has locked; return its first port.

    Without the lock, two fleets on one machine can find the same port free, because
    it is released before its process listens; one of the two instances then never
    starts. The system releases the lock when this process ends, however it ends.
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
        _LOCKED_BLOCKS[first] = lock
        return first
    raise RuntimeError(f"expected a free block of ports, found {len(blocks)} locked")


def _list_block_ports() -> list[int]:
    reserved_since = time.monotonic() - RESERVED_S
    ports = [
        port
        for first in _LOCKED_BLOCKS
        for port in range(first, first + BLOCK_PORTS)
        if _RETURNED_AT.get(port, float("-inf")) < reserved_since
    ]
    _GENERATOR.shuffle(ports)
    return ports


def _find_free_ports(count: int) -> list[int]:
    """Return up to `count` free ports of the locked blocks."""
    sockets = []
    try:
        for port in _list_block_ports():
            probe = socket.socket()
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                probe.close()
                continue
            sockets.append(probe)
            if len(sockets) == count:
                break
        return [probe.getsockname()[1] for probe in sockets]
    finally:
        for probe in sockets:
            probe.close()


def find_ports(count: int) -> list[int]:
    """Return `count` distinct ports on which nothing listens now.

    None of them is returned again for `RESERVED_S`.
    """
    while True:
        ports = _find_free_ports(count)
        if len(ports) == count:
            _RETURNED_AT.update((port, time.monotonic()) for port in ports)
            return ports
        _lock_block()
