"""Free ports on loopback."""

import random
import socket

#: Ports below those the system hands out by itself, so that a port found here is not
#: taken by some client's connection before its process listens.
FIRST_PORT, END_PORT = 12_000, 32_000

_GENERATOR = random.SystemRandom()


def find_ports(count: int) -> list[int]:
    """Return `count` different ports on which nothing listens now."""
    held = []
    try:
        while len(held) < count:
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", _GENERATOR.randrange(FIRST_PORT, END_PORT)))
            except OSError:
                holder.close()
                continue
            held.append(holder)
        return [holder.getsockname()[1] for holder in held]
    finally:
        for holder in held:
            holder.close()
