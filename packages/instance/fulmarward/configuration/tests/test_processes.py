import signal
import unittest

from fulmarward_standins.harness import call_json, start_fleet, wait_until


async def _read_states(fleet, instance):
    """Return each member's entry in the status of `instance`."""
    status = (await fleet.call_operator(instance, "/status")).body
    return {item["name"]: item for item in status["members"]}


async def _wait_for_state(fleet, instance, name, state):
    async def has_state():
        return (await _read_states(fleet, instance))[name]["state"] == state

    await wait_until(has_state, f"{instance} to consider {name} {state}")


async def _wait_for_log(fleet, instance, event):
    async def is_logged():
        return f'"{event}"' in fleet.processes[instance].log.read_text()

    await wait_until(is_logged, f"{instance} to log {event}")


async def _restart(fleet, name):
    await fleet.processes[name].kill()
    fleet.processes[name].log.unlink()
    await fleet.start_instance(name)


class OldFileTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_instance_serves_an_old_file(self):
        # A caller is served by a file that was replaced: by an instance that was frozen
        # during the change, that restarts while the store is unavailable, or that is
        # isolated and cannot know of the change.
        async with start_fleet() as fleet:
            await self._freeze_while_applying(fleet)
            await fleet.control_platform(outage=True)
            await _restart(fleet, "i2")
            await fleet.wait_ready("i2")
            await self._resume(fleet)
            await self._isolate(fleet)

    async def _freeze_while_applying(self, fleet):
        fleet.processes["i3"].send(signal.SIGSTOP)
        await _wait_for_state(fleet, "i1", "i3", "dead")
        declaration = (await fleet.call_operator("i1", "/declaration")).body
        changed = declaration["declaration"]
        changed["data_centres"]["lx-oriente"]["region"] = "porto"
        self.assertEqual((await fleet.apply(changed)).status, 200)

    async def _resume(self, fleet):
        # The first call may be handled before any task of the resumed instance runs.
        fleet.processes["i3"].send(signal.SIGCONT)
        served = []

        async def is_served():
            url = fleet.get_url("i3", "/ready")
            result = await call_json(fleet.session, url)
            served.append((result.status, result.body))
            return result.status == 200

        await wait_until(is_served, "i3 to serve again")
        self.assertEqual(served[-1], (200, {"ready": True, "epoch": 2}), served)
        self.assertEqual({status for status, _ in served[:-1]}, {503}, served)
        await _wait_for_state(fleet, "i1", "i3", "alive")

    async def _isolate(self, fleet):
        for name in ("i1", "i3"):
            await fleet.processes[name].kill()
        await _restart(fleet, "i2")
        await _wait_for_log(fleet, "i2", "configuration_confirmation_failed")
        self.assertFalse(await fleet.is_ready("i2"))
        await fleet.control_platform(outage=False)
        await fleet.wait_ready("i2")
        status = (await fleet.call_operator("i2", "/status")).body
        self.assertEqual(status["head"]["epoch"], 2)
