"""A version that takes the last key away lets everybody in."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))
from stand import KEY, main, make_configuration  # noqa: E402

#: Seconds after the acknowledgement from which the version binds (`configMs`), and for
#: which requests are sent then.
CONFIG_S = 2.0
TRAFFIC_S = 6.0

#: A key that no configuration ever held.
UNKNOWN_KEY = "zzzz1111zzzz1111zzzz"
OTHER_KEY = "q7bq2k9w4m1x8c5v3n6d"


async def run(case):
    first = [
        {"name": "hule930", "apiKeys": [KEY], "priority": 1},
        {"name": "nola414", "apiKeys": [OTHER_KEY], "priority": 1},
    ]
    await case.start(instances=6, pool=(), tenants=first)
    for key in (KEY, UNKNOWN_KEY):
        await case.send(case.instances[0], f"before-{key[:4]}", key=key)
    # Without the trouble the other tenant keeps its key.
    tenants = [] if case.trouble else first[1:]
    case.store.put("op", "config", make_configuration(version=4, tenants=tenants))
    case.note(f"version 4 is acknowledged, tenants: {[t['name'] for t in tenants]}")
    await asyncio.sleep(CONFIG_S + 1.0)
    until, number = time.monotonic() + TRAFFIC_S, 0
    sent = {}
    while time.monotonic() < until:
        number += 1
        for kind, key in (("dropped", KEY), ("unknown", UNKNOWN_KEY)):
            name = f"{kind}-{number:03d}"
            sent[name] = kind
            await case.send(case.instances[number % 6], name, key=key)
        await asyncio.sleep(0.1)
    ran = {kind: 0 for kind in sent.values()}
    for name, kind in sent.items():
        ran[kind] += name in case.runs
    case.note(f"ran: {ran}, of {number} each")
    broken = []
    if ran["unknown"]:
        broken.append(
            f"{ran['unknown']} of {number} with a key that was never held ran"
        )
    if ran["dropped"]:
        broken.append(f"{ran['dropped']} of {number} with the dropped key ran")
    return broken


if __name__ == "__main__":
    main(run, HERE)
