import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import cbor2

from fulmarward_router.mesh import InstanceIdentity
from fulmarward_router.ports import Row, RowsRead
from fulmarward_router.state import InstanceRows
from fulmarward_router.tests.test_instance_state import Peer

#: The fields of the row of an instance: name, boot, data centre, addresses.
FIELDS = ["odd", 7, "near", "10.0.0.2:1", "10.0.0.2:2"]

#: Values of one field, by its position.
ODD_FIELDS = [
    (0, 5),
    (0, []),
    (0, ""),
    (0, "other"),
    (1, "7"),
    (1, True),
    (1, -1),
    (1, 2**50),
    (1, 2**64),
    (1, float("nan")),
    (2, None),
    (2, "n\r\near"),
    (2, "n" * 1000),
    (3, "batch..0.localhost:9"),
    (3, "10.0.0.2"),
    (3, "10.0.0.2:70000"),
    (3, "10.0.0.2:8_0"),
    (3, "10.0.0.2:1/@host"),
    (4, 9),
    (4, "10.0.0.256:1"),
    (4, "10.0.0.2:1\n"),
    (4, "[::1]x:1"),
]

ODD_VALUES = [
    cbor2.dumps(FIELDS[:4]),
    cbor2.dumps([*FIELDS, 1]),
    cbor2.dumps(dict(enumerate(FIELDS))),
    cbor2.dumps("abcde"),
    b"\x81" * 5000,
    b"\xff",
    b"",
    *(
        cbor2.dumps([*FIELDS[:position], value, *FIELDS[position + 1 :]])
        for position, value in ODD_FIELDS
    ),
]


class OddRowTest(unittest.IsolatedAsyncioTestCase):
    async def find_members(self, rows):
        """Return the members after some reads of the rows."""
        peer = Peer("one")
        store = SimpleNamespace(
            era=None,
            transact=mock.AsyncMock(),
            read_table=mock.AsyncMock(return_value=RowsRead(rows=rows, version=1)),
        )
        own = InstanceIdentity(
            name="one", boot=1, data_centre="a", peer_address="", caller_address=""
        )
        instances = InstanceRows(
            store=store, own=own, members=peer.members, read_clock=lambda: 0.0
        )
        running = asyncio.create_task(instances.follow())
        for _ in range(5):
            await asyncio.sleep(0)
        if running.done():
            running.result()
        running.cancel()
        return {member.identity.name for member in peer.members.list_all()}

    async def test_odd_row_harms_no_other(self):
        """Guards against a row of another writer that ends following, or is dialled."""
        proper = ["two", 7, "near", "[::1]:1", ""]
        two = Row(key="two", value=cbor2.dumps(proper), version=2)
        for value in ODD_VALUES:
            with self.subTest(value=value[:60]):
                odd = Row(key="odd", value=value, version=1)
                self.assertEqual(await self.find_members((odd, two)), {"two"})

    async def test_whole_row_is_taken(self):
        whole = Row(key="odd", value=cbor2.dumps(FIELDS), version=1)
        self.assertEqual(await self.find_members((whole,)), {"odd"})
