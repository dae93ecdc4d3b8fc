import asyncio
import signal
import unittest

from fulmarward.keys.tests.callers import get_key
from fulmarward_standins.harness import (
    make_team_key,
    read_stream,
    start_fleet,
    wait_until,
)

_PATH = "/v1/completions"
_BODY = {"model": "rewrite", "prompt": "unit move [12 tokens]"}


async def _call(fleet, instance, key, body=_BODY, **options):
    headers = {"Idempotency-Key": key}
    return await fleet.call(instance, _PATH, body, headers=headers, **options)


class _Reader:
    """Reads a stream in a task; `has_begun` is set at its first token."""

    def __init__(self, fleet, instance, key):
        self.texts, self.is_whole = [], False
        self.has_begun = asyncio.Event()
        self.task = asyncio.create_task(self._read(fleet, instance, key))

    async def _read(self, fleet, instance, key):
        headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
        async with fleet.session.post(
            fleet.get_url(instance, _PATH),
            json=_BODY | {"stream": True},
            headers=headers | {"Idempotency-Key": key},
        ) as response:
            async for event in read_stream(response):
                self.is_whole = event.data == "[DONE]"
                if event.text:
                    self.texts.append(event.text)
                    self.has_begun.set()


class KeysTest(unittest.IsolatedAsyncioTestCase):
    async def count_runs(self, fleet):
        entries = await fleet.read_ledgers()
        return sum(entry["event"] == "began" for entry in entries)

    def check_result(self, result, code, ran):
        found = (result.body["result"], result.body["ran"])
        self.assertEqual(found, (code, ran), result.body)

    async def test_repeats_at_other_instances_run_once(self):
        # A request runs twice: the caller's connection hangs, its library sends the
        # same call to two other addresses, and each instance executes it. Later the
        # home is killed in the middle of a stream. The store is unavailable throughout.
        async with start_fleet() as fleet:
            await fleet.control_platform(outage=True)
            key = await get_key(fleet, "i1", "i2", "twice")
            results = await asyncio.gather(
                *(_call(fleet, name, key) for name in ("i1", "i2", "i3", "i2"))
            )
            self.assertEqual([result.status for result in results], [200] * 4)
            self.assertEqual(len({result.body["id"] for result in results}), 1)
            texts = {result.body["choices"][0]["text"] for result in results}
            self.assertEqual(len(texts), 1)
            self.assertEqual(await self.count_runs(fleet), 1)
            other = await _call(fleet, "i3", key, _BODY | {"max_tokens": 3})
            self.check_result(other, 1007, "not_run")
            foreign = await _call(fleet, "i3", key, team="osservatorio")
            self.check_result(foreign, 1008, "not_run")
            await self.check_home_killed(fleet)

    async def check_home_killed(self, fleet):
        for target in ("e1", "e2"):
            await fleet.control_target(target, token_ms=40)
        key = await get_key(fleet, "i1", "i2", "killed")
        direct, relayed = _Reader(fleet, "i1", key), _Reader(fleet, "i3", key)
        await asyncio.gather(direct.has_begun.wait(), relayed.has_begun.wait())
        await fleet.processes["i1"].kill()
        late = _Reader(fleet, "i2", key)
        await asyncio.gather(relayed.task, late.task)
        await asyncio.gather(direct.task, return_exceptions=True)
        self.assertFalse(direct.is_whole)
        self.assertTrue(relayed.is_whole and late.is_whole)
        self.assertEqual(len(late.texts), 12)
        self.assertEqual(relayed.texts, late.texts)
        self.assertEqual(await self.count_runs(fleet), 2)

    async def test_paused_home_runs_nothing_after_it_resumes(self):
        # A caller is told "not run" and sends its request under a new key, and both
        # run: the home is paused before its dispatch, another instance closes the key,
        # and the home dispatches when it resumes.
        async with start_fleet() as fleet:
            await fleet.control_platform(outage=True)
            key = await get_key(fleet, "i1", "i2", "paused")
            fleet.processes["i1"].send(signal.SIGSTOP)
            refused = await _call(fleet, "i3", key)
            self.check_result(refused, 2008, "not_run")
            fleet.processes["i1"].send(signal.SIGCONT)
            await fleet.wait_ready("i1")

            async def ask_home():
                result = await _call(fleet, "i1", key)
                return result if result.body["result"] != 2013 else None

            self.check_result(
                await wait_until(ask_home, "the home to answer"), 2008, "not_run"
            )
            self.assertEqual(await self.count_runs(fleet), 0)
            prefix = refused.headers["X-Idempotency-Key-Prefix"]
            again = await _call(fleet, "i2", f"{prefix}again")
            self.assertEqual(again.status, 200, again.body)
            self.assertEqual(await self.count_runs(fleet), 1)

    async def test_lost_witness(self):
        # Every repeat is answered "unknown" although nothing ran: the witness is lost
        # before it acknowledges the attempt, and the home dispatches anyway or does not
        # report the refusal.
        async with start_fleet() as fleet:
            await fleet.control_platform(outage=True)
            key = await get_key(fleet, "i1", "i2", "unwitnessed")
            known = await get_key(fleet, "i1", "i2", "known")
            self.assertEqual((await _call(fleet, "i3", known)).status, 200)
            await fleet.processes["i2"].kill()
            for _ in range(2):
                refused = await _call(fleet, "i1", key)
                self.check_result(refused, 2007, "not_run")
                self.assertIn("X-Idempotency-Key-Prefix", refused.headers)
            self.assertEqual(await self.count_runs(fleet), 1)
            self.assertEqual((await _call(fleet, "i3", known)).status, 200)
            await fleet.processes["i1"].kill()
            for each in (key, known):
                self.check_result(await _call(fleet, "i3", each), 4001, "unknown")
