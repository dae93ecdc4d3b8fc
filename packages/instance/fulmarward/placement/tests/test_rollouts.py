import asyncio
import unittest

from fulmarward.placement.tests.test_placement import (
    _BODY,
    _is_settled,
    _make_plan,
    _read_held,
    _wait_for_pool,
)
from fulmarward_standins.harness import (
    TargetPlan,
    make_declaration,
    read_full_stream,
    start_fleet,
    wait_until,
)


async def _declare(test, fleet, targets, model):
    declaration = make_declaration(targets)
    declaration["models"][model]["serving"] = "v2"
    applied = await fleet.apply(declaration)
    test.assertEqual(applied.status, 200, applied)


class RolloutProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_version_that_fails_stops_its_own_rollout(self):
        # The new version fails every request. The rollout must stop at the first
        # target, while the others serve the callers: if it went on to the last
        # target, no request could be served.
        targets = [TargetPlan(name=f"e{number}") for number in (1, 2, 3)]
        async with start_fleet(_make_plan(targets)) as fleet:
            await _wait_for_pool(fleet, "i1", _is_settled, "placement to settle")
            await _declare(self, fleet, targets, "sardine")
            await _wait_for_pool(
                fleet, "i1", lambda pool: pool["draining"] == ["e1"], "e1 to be drained"
            )
            await fleet.control_target("e1", fail_at_token=0)
            is_over = asyncio.Event()
            results = []

            async def make_calls(instance):
                while not is_over.is_set():
                    results.append(await fleet.call(instance, "/v1/completions", _BODY))

            names = ("i1", "i2", "i3")
            calls = [asyncio.create_task(make_calls(name)) for name in names]
            stopped = await _wait_for_pool(
                fleet, "i2", lambda pool: pool["phase"] == "stopped", "a stop"
            )
            is_over.set()
            await asyncio.gather(*calls)
            self.assertIn("attempts failed on v2", stopped["reason"])
            versions = [(await _read_held(fleet, t.name))["version"] for t in targets]
            self.assertEqual(versions, ["v2", "v1", "v1"])
            self.assertEqual([r.body for r in results if r.status != 200], [])

    async def test_a_chain_runs_to_its_end_before_its_stages_load(self):
        # A new version is declared while a long answer is generated on a chain. A
        # stage reports itself idle between two tokens; if it loaded the new weights
        # then, the answer would break off in the middle.
        targets = [
            TargetPlan(
                name=f"{row}{first}", serves="anchovy", layers=(first, first + 12)
            )
            for row in "ab"
            for first in (0, 12)
        ]
        async with start_fleet(_make_plan(targets)) as fleet:

            async def is_settled():
                reply = await fleet.call_operator("i1", "/placement")
                return [p for p in reply.body.get("pools", []) if _is_settled(p)]

            await wait_until(is_settled, "placement to settle")
            for target in targets:
                await fleet.control_target(target.name, step_ms=20)
            reading = asyncio.create_task(
                read_full_stream(fleet, "i1", "bulletin [90 tokens]", pipeline="chain")
            )

            async def runs():
                return await fleet.read_ledgers()

            await wait_until(runs, "the chain to run")
            await _declare(self, fleet, targets, "anchovy")
            answer = await reading
            self.assertTrue(answer.is_complete, answer)
            ran = await fleet.read_ledgers()
            self.assertEqual(len({entry["attempt"] for entry in ran}), 1)
            steps = [
                (e["position"], e["first_layer"]) for e in ran if e["event"] == "ran"
            ]
            self.assertEqual(len(steps), len(set(steps)))
