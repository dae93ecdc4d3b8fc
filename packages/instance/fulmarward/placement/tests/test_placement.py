import asyncio
import signal
import unittest

from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    TargetPlan,
    call_json,
    make_declaration,
    start_fleet,
    wait_until,
)
from fulmarward_standins.harness._plans import DATA_CENTRES

_BODY = {"model": "lookup", "prompt": "sunrise [2 tokens]"}

#: Short leases, so that takeovers happen within a test.
_LIMITS = {"lease_ms": 1_500, "order_ms": 500}


def _make_plan(targets):
    instances = [
        InstancePlan(name=f"i{number}", data_centre=place, limits=_LIMITS)
        for number, place in enumerate(DATA_CENTRES, 1)
    ]
    return FleetPlan(instances=instances, targets=targets)


async def _read_held(fleet, target):
    url = f"http://{fleet.find_target(target).address}/v1/held"
    return (await call_json(fleet.session, url)).body["held"]


async def _order(fleet, target, wanted, fencing):
    url = f"http://{fleet.find_target(target).address}/v1/held"
    body = {"wanted": wanted, "fencing": fencing}
    return await call_json(fleet.session, url, body, method="PUT")


async def _read_pool(fleet, instance):
    reply = await fleet.call_operator(instance, "/placement")
    if reply.status != 200:
        return {}
    return next((p for p in reply.body["pools"] if p["pool"] == "sardine"), {})


async def _wait_for_pool(fleet, instance, condition, what):
    async def holds():
        pool = await _read_pool(fleet, instance)
        return pool if pool and condition(pool) else None

    return await wait_until(holds, what)


def _is_settled(pool):
    has_all = pool["as_wanted"] == pool["declared"]
    return pool["phase"] == "done" and has_all and not pool["draining"]


class PlacementProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_paused_holder_and_its_late_orders_change_nothing(self):
        # The lease holder is paused until its lease lapses, and another instance takes
        # over and sends its orders. Then a delayed order of the paused holder arrives:
        # an engine that checks fencing numbers must refuse it; one that ignores them
        # applies it and must not keep the wrong model. The paused holder then resumes.
        targets = [
            TargetPlan(name="e1"),
            TargetPlan(name="e2", checks_fencing=False),
        ]
        async with start_fleet(_make_plan(targets)) as fleet:
            first = await _wait_for_pool(
                fleet, "i1", _is_settled, "placement to settle"
            )
            paused = fleet.processes[first["holder"]]
            asked = next(f"i{n}" for n in (1, 2, 3) if f"i{n}" != first["holder"])
            paused.send(signal.SIGSTOP)
            second = await _wait_for_pool(
                fleet,
                asked,
                lambda pool: pool["fencing"] > first["fencing"] and _is_settled(pool),
                "a successor",
            )
            self.assertNotEqual(second["holder"], first["holder"])

            async def has_asserted():
                held = await _read_held(fleet, "e1")
                return held["fencing"] >= second["fencing"]

            await wait_until(has_asserted, "the successor to assert")
            right = await _read_held(fleet, "e1")
            names = ("model", "version", "layers", "adapters", "role")
            late = {name: right[name] for name in names} | {"model": "anchovy"}
            refused = await _order(fleet, "e1", late, first["fencing"])
            self.assertEqual(refused.status, 409, refused)
            obeyed = await _order(fleet, "e2", late, first["fencing"])
            self.assertEqual(obeyed.body["held"]["model"], "anchovy")
            paused.send(signal.SIGCONT)

            async def is_mended():
                held = [await _read_held(fleet, name) for name in ("e1", "e2")]
                return all(
                    [item[name] for name in names] == [right[name] for name in names]
                    for item in held
                )

            await wait_until(is_mended, "the late order to be mended")
            after = (await _read_held(fleet, "e1"))["fencing"]
            self.assertGreaterEqual(after, second["fencing"])

    async def test_a_rollout_goes_target_by_target_and_cuts_off_nothing(self):
        # A new version is declared under load. Fails if all engines load it at once:
        # until the weights are loaded the pipeline could not serve any request.
        targets = [
            TargetPlan(name="e1"),
            TargetPlan(name="e2", stand_in={"load_ms": 400.0}),
        ]
        async with start_fleet(_make_plan(targets)) as fleet:
            await _wait_for_pool(fleet, "i1", _is_settled, "placement to settle")
            is_over = asyncio.Event()
            results = []

            async def make_calls(instance):
                while not is_over.is_set():
                    results.append(await fleet.call(instance, "/v1/completions", _BODY))

            loading_at_once = []

            async def watch_engines():
                while not is_over.is_set():
                    held = [await _read_held(fleet, name) for name in ("e1", "e2")]
                    loading_at_once.append(sum(item["loading"] for item in held))
                    await asyncio.sleep(0.05)

            work = [make_calls(name) for name in ("i1", "i2", "i3")] + [watch_engines()]
            tasks = [asyncio.create_task(item) for item in work]
            declaration = make_declaration(targets)
            declaration["models"]["sardine"]["serving"] = "v2"
            applied = await fleet.apply(declaration)
            self.assertEqual(applied.status, 200, applied)
            await _wait_for_pool(
                fleet,
                "i2",
                lambda pool: pool["version"] == "v2" and _is_settled(pool),
                "the rollout to end",
            )
            is_over.set()
            await asyncio.gather(*tasks)
            for name in ("e1", "e2"):
                held = await _read_held(fleet, name)
                self.assertEqual((held["version"], held["loading"]), ("v2", False))
            self.assertEqual(max(loading_at_once), 1)
            self.assertEqual([r for r in results if r.status != 200], [])
            cut = [e for e in await fleet.read_ledgers() if e["event"] == "cancelled"]
            self.assertEqual(cut, [])

    async def test_placement_stands_still_while_the_store_is_out(self):
        # The platform is unavailable for longer than the lease term, and an engine
        # loses its model meanwhile. No instance may send orders, requests are routed
        # as before, and the engine gets its model back once the platform recovers.
        targets = [TargetPlan(name="e1"), TargetPlan(name="e2")]
        async with start_fleet(_make_plan(targets)) as fleet:
            settled = await _wait_for_pool(
                fleet, "i1", _is_settled, "placement to settle"
            )
            await fleet.control_platform(outage=True)
            holder = fleet.processes[settled["holder"]]

            async def has_lapsed():
                return "placement_ended" in holder.log.read_text()

            await wait_until(has_lapsed, "the lease to lapse")
            held = await _read_held(fleet, "e1")
            names = ("model", "version", "layers", "adapters", "role")
            wrong = {name: held[name] for name in names} | {"model": "anchovy"}
            await _order(fleet, "e1", wrong, held["fencing"])
            for name in ("i1", "i2", "i3"):
                result = await fleet.call(name, "/v1/completions", _BODY)
                self.assertEqual(result.status, 200, result)
            self.assertEqual((await _read_held(fleet, "e1"))["model"], "anchovy")
            await fleet.control_platform(outage=False)

            async def is_mended():
                return (await _read_held(fleet, "e1"))["model"] == "sardine"

            await wait_until(is_mended, "the engine to get its model back")
