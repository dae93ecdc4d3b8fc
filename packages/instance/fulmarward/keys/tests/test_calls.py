import asyncio
import unittest

from fulmarward.keys.tests.callers import get_key
from fulmarward_standins.harness import FleetPlan, TargetPlan, start_fleet, wait_until


def _plan():
    targets = [
        TargetPlan(name=name, kind="service", serves="callsheet", slots=4)
        for name in ("s1", "s2")
    ]
    return FleetPlan(targets=targets)


async def _move(fleet, instance, key=None, body="unit 2 to the pier", method="POST"):
    headers = {"Idempotency-Key": key} if key else {}
    return await fleet.call(
        instance, "/services/callsheet/moves", body, headers=headers, method=method
    )


class CallsTest(unittest.IsolatedAsyncioTestCase):
    async def count_runs(self, fleet):
        entries = await fleet.read_ledgers()
        return sum(entry["event"] == "began" for entry in entries)

    async def control_all(self, fleet, **switches):
        for target in ("s1", "s2"):
            await fleet.control_target(target, **switches)

    async def test_calls_of_a_service_run_once(self):
        async with start_fleet(_plan()) as fleet:
            await fleet.control_platform(outage=True)
            await self.check_paths(fleet)
            await self.check_lost_reply(fleet)
            await self.check_repeats(fleet)

    async def wait_open(self, fleet):
        """Wait until no instance avoids a replica because of earlier failures."""

        async def are_open():
            calls = [
                fleet.call(name, "/services/callsheet/sheet")
                for name in ("i1", "i2", "i3")
            ]
            return all(result.status == 200 for result in await asyncio.gather(*calls))

        await wait_until(are_open, "replicas to be usable again")

    async def check_paths(self, fleet):
        # A read whose reply is lost is retried on the other replica. A path that only
        # resembles an idempotent one is refused before anything runs.
        await fleet.control_target("s1", lose_replies=1)
        results = [
            await fleet.call("i1", "/services/callsheet/sheet?day=a%26b")
            for _ in range(4)
        ]
        self.assertEqual([result.status for result in results], [200] * 4)
        self.assertEqual(results[0].body["path"], "/sheet")
        runs = await self.count_runs(fleet)
        refused = await fleet.call("i1", "/services/callsheet/a%2F..%2Fmoves")
        self.assertEqual(refused.body["result"], 1011)
        self.assertEqual(await self.count_runs(fleet), runs)

    async def check_lost_reply(self, fleet):
        # A non-idempotent call runs twice: its reply is lost and the caller repeats
        # it. Its outcome is unknown, and every repeat must say so. The HTTP library
        # retries a PUT by itself, as if every PUT were idempotent.
        for method in ("POST", "PUT"):
            with self.subTest(method=method):
                await self.wait_open(fleet)
                await self.control_all(fleet, lose_replies=1)
                runs = await self.count_runs(fleet)
                first = await _move(fleet, "i1", method=method)
                found = (first.body["result"], first.body["ran"])
                self.assertEqual(found, (4001, "unknown"))
                await self.control_all(fleet, lose_replies=0)
                for name in ("i1", "i2", "i3"):
                    key = first.headers["Idempotency-Key"]
                    again = await _move(fleet, name, key, method=method)
                    self.assertEqual(again.body["result"], 4001)
                self.assertEqual(await self.count_runs(fleet), runs + 1)

    async def check_repeats(self, fleet):
        # The same call is sent to three instances at once. Then its home is killed and
        # the caller, which lost the answer, repeats it elsewhere. The outcome of a call
        # that was running when its home was killed stays unknown.
        await self.wait_open(fleet)
        runs = await self.count_runs(fleet)
        key = await get_key(fleet, "i1", "i2", "move")
        answers = await asyncio.gather(
            *(_move(fleet, name, key) for name in ("i1", "i2", "i3"))
        )
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertEqual(len({answer.body["request"] for answer in answers}), 1)
        reused = await _move(fleet, "i3", key, "unit 3 to the pier")
        self.assertEqual(reused.body["result"], 1007)
        self.assertEqual(await self.count_runs(fleet), runs + 1)
        await self.control_all(fleet, call_ms=2_000)
        cut_key = await get_key(fleet, "i1", "i2", "cut")
        cut = asyncio.create_task(_move(fleet, "i3", cut_key))

        async def is_running():
            return await self.count_runs(fleet) == runs + 2

        await wait_until(is_running, "the call to run")
        await fleet.processes["i1"].kill()
        self.assertEqual((await cut).body["result"], 4001)
        for name in ("i2", "i3"):
            kept = await _move(fleet, name, key)
            self.assertEqual((kept.status, kept.body), (200, answers[0].body))
            unknown = await _move(fleet, name, cut_key)
            self.assertEqual(unknown.body["result"], 4001)
        self.assertEqual(await self.count_runs(fleet), runs + 2)
