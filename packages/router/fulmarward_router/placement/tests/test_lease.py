import asyncio
import unittest

import orjson

from fulmarward_router.placement._lease import (
    LEASE_KEY,
    TERMS,
    LeaseKeeper,
)
from fulmarward_router.ports import Committed, Row, RowsRead
from fulmarward_router.tests._simulated_time import run_simulated

FIELDS = {"holder": "other", "boot": 1, "fencing": 3, "token": "x"}

ODD_VALUES = [
    b"",
    b"\xff",
    b"5",
    b"[" * 2000,
    b"[" * 1000 + b"]" * 1000,
    b"[1, 2, 3, 4]",
    orjson.dumps(FIELDS | {"more": 1}),
    *(
        orjson.dumps(FIELDS | {name: value})
        for name, value in [
            ("holder", 5),
            ("holder", []),
            ("holder", "o\r\n"),
            ("holder", None),
            ("boot", "1"),
            ("boot", None),
            ("boot", True),
            ("boot", -1),
            ("boot", {}),
            ("fencing", None),
            ("fencing", True),
            ("fencing", "3"),
            ("fencing", 2.5),
            ("fencing", 2**64 - 1),
            ("fencing", -1),
            ("token", []),
            ("token", None),
            ("token", 1),
        ]
    ),
]


class _Store:
    """A store with the row of the lease only."""

    def __init__(self, value):
        self.row = Row(key=LEASE_KEY, value=value, version=1)

    async def read_table(self, table):
        return RowsRead(rows=(self.row,), version=self.row.version)

    async def transact(self, conditions, writes):
        version = self.row.version + 1
        self.row = Row(key=LEASE_KEY, value=writes[0].value, version=version)
        return Committed(version=version)


def make_keeper(store, read_clock):
    return LeaseKeeper(
        store=store,
        name="one",
        boot=1,
        is_wanted=lambda: True,
        is_store_out=lambda: False,
        has_ended=lambda name, boot: False,
        read_clock=read_clock,
    )


class OddRowTest(unittest.TestCase):
    def test_lease_is_taken_over_from_an_odd_row_once_its_term_has_ended(self):
        """Guards against a fleet without a holder, and against one with two."""

        async def play(read_clock, value):
            keeper = make_keeper(_Store(value), read_clock)
            running = asyncio.create_task(keeper.run())
            await asyncio.sleep(TERMS.term_s * 0.9)
            is_held = [keeper.is_held()]
            await asyncio.sleep(TERMS.term_s)
            is_held.append(keeper.is_held())
            if running.done():
                running.result()
            running.cancel()
            return is_held

        for value in ODD_VALUES:
            with self.subTest(value=value[:80]):
                held = run_simulated(lambda clock, value=value: play(clock, value))
                self.assertEqual(held, [False, True])
