import asyncio
import json
import unittest
from types import SimpleNamespace

import aiohttp
from aiohttp.test_utils import TestServer

from fulmarward.keys._claims import CLAIM_RETENTION_S, sweep_part
from fulmarward.platform import Platform, Write, list_rows, transact
from fulmarward_standins.harness import start_fleet
from fulmarward_standins.platform import PlatformSpec, make_platform_app

_PATH = "/v1/completions"
_BODY = {"model": "rewrite", "prompt": "unit move [4 tokens]"}


async def _call(fleet, instance, key, body=_BODY, **options):
    headers = {"Idempotency-Key": key}
    return await fleet.call(instance, _PATH, body, headers=headers, **options)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    async def count_runs(self, fleet):
        entries = await fleet.read_ledgers()
        return sum(entry["event"] == "began" for entry in entries)

    async def test_caller_generated_keys_run_once(self):
        # A caller sends a key of its own to three instances at once, and each of them
        # executes the request. Later the reply to a claim's write is lost, and the
        # instance takes its own row for another's or writes it again.
        async with start_fleet() as fleet:
            results = await asyncio.gather(
                *(_call(fleet, name, "move-4711") for name in ("i1", "i2", "i3", "i1"))
            )
            self.assertEqual([result.status for result in results], [200] * 4)
            self.assertEqual(len({result.body["id"] for result in results}), 1)
            other = await _call(fleet, "i2", "move-4711", _BODY | {"max_tokens": 1})
            self.assertEqual(other.body["result"], 1007)
            foreign = await _call(fleet, "i2", "move-4711", team="osservatorio")
            self.assertNotEqual(foreign.body["id"], results[0].body["id"])
            self.assertEqual(await self.count_runs(fleet), 2)
            await self.check_lost_reply(fleet)
            await self.check_outage(fleet)

    async def check_lost_reply(self, fleet):
        await fleet.control_platform(lose_replies=1, lose_matching="/tables")
        results = [await _call(fleet, name, "lost") for name in ("i1", "i2")]
        self.assertEqual([result.status for result in results], [200, 200])
        self.assertEqual(results[0].body["id"], results[1].body["id"])
        self.assertEqual(await self.count_runs(fleet), 3)

    async def check_outage(self, fleet):
        await fleet.control_platform(outage=True)
        refused = await _call(fleet, "i1", "during-outage")
        found = (refused.body["result"], refused.body["ran"])
        self.assertEqual(found, (2009, "not_run"), json.dumps(refused.body))
        self.assertIn("X-Idempotency-Key-Prefix", refused.headers)
        known = await _call(fleet, "i2", "move-4711")
        self.assertEqual(known.status, 200)
        self.assertEqual(await self.count_runs(fleet), 3)


class SweepTest(unittest.IsolatedAsyncioTestCase):
    async def test_sweep_deletes_only_expired_claims_of_its_part(self):
        server = TestServer(make_platform_app(PlatformSpec()))
        await server.start_server()
        async with aiohttp.ClientSession() as session:
            platform = Platform(
                session=session,
                address=f"{server.host}:{server.port}",
                token="platform-token",
                timeout_s=5.0,
            )
            writes = [
                Write(table="claims", key=key, value=["handed", "hash", claimed_at])
                for key, claimed_at in [("aa1", 0.0), ("aa2", 9.0), ("ab1", 0.0)]
            ]
            await transact(platform, conditions=[], writes=writes)
            instance = SimpleNamespace(
                platform=platform, read_wall_clock=lambda: CLAIM_RETENTION_S + 5.0
            )
            deleted = [await sweep_part(instance, part) for part in ("aa", "aa")]
            left = await list_rows(platform, "claims")
        await server.close()
        self.assertEqual(deleted, [1, 0])
        self.assertEqual([row.key for row in left], ["aa2", "ab1"])
