import asyncio
import signal
import unittest

from fulmarward_standins.harness import FleetPlan, TargetPlan, start_fleet, wait_until

_BODY = {"model": "lookup", "prompt": "unit move [2 tokens]"}


async def _read_target(fleet, instance, target):
    status = await fleet.call_operator(instance, "/targets")
    if status.status != 200:
        return {}
    return next((t for t in status.body["targets"] if t["name"] == target), {})


async def _wait_for_leaving_sources(fleet, instances, target, sources):
    async def all_agree():
        shown = [await _read_target(fleet, name, target) for name in instances]
        return all(item.get("leaving_sources") == sources for item in shown)

    await wait_until(all_agree, f"{instances} to see {target} leave by {sources}")


async def _assert_no_new_work(test, fleet, instances, target):
    before = len(await fleet.read_ledger(target))
    calls = [
        fleet.call(name, "/v1/completions", _BODY)
        for name in instances
        for _ in range(4)
    ]
    for result in await asyncio.gather(*calls):
        test.assertEqual(result.status, 200, result)
    test.assertEqual(len(await fleet.read_ledger(target)), before)


_LEAVING = {"name": "e1", "kind": "target", "state": "leaving", "data_centre": "lx"}


class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_source_alone_stops_new_work_everywhere(self):
        # Each engine is reported as leaving by one source only: the platform's list,
        # the engine itself, or an operator. The other sources still report it as open.
        # A request sent there would be cut off when the engine is removed.
        plan = FleetPlan(targets=[TargetPlan(name=f"e{n}") for n in range(1, 5)])
        names = ["i1", "i2", "i3"]
        async with start_fleet(plan) as fleet:
            await fleet.publish_members([_LEAVING])
            await _wait_for_leaving_sources(fleet, names, "e1", ["platform_list"])
            await _assert_no_new_work(self, fleet, names, "e1")
            await fleet.control_target("e2", leaving=True)
            await _wait_for_leaving_sources(fleet, names, "e2", ["target"])
            await _assert_no_new_work(self, fleet, names, "e2")
            drained = {"target": "e3", "drained": True, "by": "test"}
            reply = await fleet.call_operator("i1", "/drain-target", drained)
            self.assertEqual(reply.status, 200, reply)
            await _wait_for_leaving_sources(fleet, names, "e3", ["operator"])
            await _assert_no_new_work(self, fleet, names, "e3")
            shown = [
                await _read_target(fleet, "i2", name) for name in ("e1", "e2", "e4")
            ]
            self.assertEqual([t["leaving"] for t in shown], [True, True, False])

    async def test_a_drain_holds_for_later_instances_and_lets_work_end(self):
        # An operator drains an engine that generates long answers, which have to
        # complete. An instance that starts later must not send requests there either,
        # even when the store is down and it can learn of the drain only from peers.
        targets = [TargetPlan(name="e1"), TargetPlan(name="e2")]
        async with start_fleet(FleetPlan(targets=targets)) as fleet:
            long = _BODY | {"prompt": "bulletin [60 tokens]", "max_tokens": 100}
            running = [
                asyncio.create_task(fleet.call("i1", "/v1/completions", long))
                for _ in range(8)
            ]

            async def runs_on_first():
                return await fleet.read_ledger("e1")

            await wait_until(runs_on_first, "e1 to run something")
            wanted = {"target": "e1", "drained": True, "by": "test"}
            reply = await fleet.call_operator("i1", "/drain-target", wanted)
            self.assertEqual(reply.status, 200, reply)
            for result in await asyncio.gather(*running):
                self.assertEqual(result.status, 200, result)
                self.assertEqual(result.body["choices"][0]["finish_reason"], "stop")
            await _wait_for_leaving_sources(fleet, ["i2", "i3"], "e1", ["operator"])
            fleet.processes["i3"].send(signal.SIGKILL)
            await fleet.processes["i3"].child.wait()
            await fleet.start_instance("i3")
            await fleet.wait_ready("i3")
            await _assert_no_new_work(self, fleet, ["i3"], "e1")

            await fleet.processes["i3"].kill()
            await fleet.control_platform(outage=True)
            await fleet.start_instance("i3")
            await _wait_for_leaving_sources(fleet, ["i3"], "e1", ["operator"])
            await _assert_no_new_work(self, fleet, ["i3"], "e1")
            refused = await fleet.call_operator("i1", "/drain-target", wanted)
            self.assertEqual(refused.body["result"], 2009, refused)
            await fleet.control_platform(outage=False)
            undone = wanted | {"drained": False}
            self.assertEqual(
                (await fleet.call_operator("i2", "/drain-target", undone)).status, 200
            )
            await _wait_for_leaving_sources(fleet, ["i1", "i2", "i3"], "e1", [])
