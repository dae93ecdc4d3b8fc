import json
import signal
import unittest

from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    TargetPlan,
    find_ledger_faults,
    open_stream,
    read_full_stream,
    start_fleet,
)


def _make_plan():
    ranges = {"c1": (0, 8), "c2": (8, 16), "c3": (16, 24)}
    spares = {"d1": (0, 12), "d2": (6, 20), "d3": (16, 24)}
    targets = [
        TargetPlan(name=name, serves="anchovy", layers=layers, stand_in={"slots": 64})
        for name, layers in ranges.items()
    ] + [
        TargetPlan(
            name=name, serves="anchovy", layers=layers, data_centre="lx-carnaxide"
        )
        for name, layers in spares.items()
    ]
    return FleetPlan(
        instances=[
            InstancePlan(
                name="i1", data_centre="lx-alcantara", limits={"linger_ms": 200}
            ),
            InstancePlan(name="i2", data_centre="lx-oriente"),
        ],
        targets=targets,
    )


def _list_targets_by_attempt(ledgers, request):
    """Return the targets that ran steps of a request, by attempt."""
    attempts = {}
    for target, ledger in ledgers.items():
        for entry in ledger:
            if entry["request"] == request:
                attempts.setdefault(entry["attempt"], set()).add(target)
    return attempts


class ChainTest(unittest.IsolatedAsyncioTestCase):
    async def test_chain_survives_lost_replies_instances_and_stages(self):
        async with start_fleet(_make_plan()) as fleet:
            await self._check_lost_replies(fleet)
            await self._check_leaving_stage(fleet)
            await self._check_killed_stage(fleet)
            await self._check_frozen_instance(fleet)
            await self._check_killed_instance(fleet)

    async def _check(self, fleet, stream, texts, prompt, tokens):
        self.assertEqual(texts, answer_tokens(prompt, tokens, 24))
        self.assertTrue(stream.is_complete, stream.events[-1:])
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(find_ledger_faults(ledgers), [])
        return _list_targets_by_attempt(ledgers, stream.request)

    async def _check_lost_replies(self, fleet):
        # At each stage, a step takes effect and its reply is lost. The driver reads the
        # result of the step; the caller gets the whole answer and no layer runs twice.
        for target in ("c1", "c2", "c3", "d1", "d2", "d3"):
            await fleet.control_target(target, lose_replies=2, lose_matching="/steps")
        prompt = "digest [20 tokens]"
        stream = await read_full_stream(fleet, "i1", prompt, pipeline="chain")
        ran = await self._check(fleet, stream, stream.texts, prompt, 20)
        self.assertEqual(set(ran), {1})

    async def _check_leaving_stage(self, fleet):
        # The target of the last stage starts leaving during an answer, and is slow
        # enough that the answer cannot end before this is noticed. Its KV cache moves
        # to another target of the range, with one reply of the import lost. The same
        # attempt continues there, and no layer runs twice.
        prompt = "sunrise [300 tokens]"
        async with open_stream(fleet, "i1", prompt, pipeline="chain") as stream:
            await stream.read(10)
            ran = _list_targets_by_attempt(
                await fleet.read_ledgers_by_target(), stream.request
            )[1]
            leaving, other = ("c3", "d3") if "c3" in ran else ("d3", "c3")
            await fleet.control_target(other, lose_replies=1, lose_matching="/v1/kv")
            await fleet.control_target(leaving, leaving=True, step_ms=60)
            await stream.read()
        ran = await self._check(fleet, stream, stream.texts, prompt, 300)
        self.assertEqual(set(ran), {1})
        self.assertLessEqual({leaving, other}, ran[1])
        await fleet.control_target(leaving, leaving=False, step_ms=0)

    async def _check_killed_stage(self, fleet):
        # A stage is killed during an answer and its cache is lost. The attempt is
        # closed at the other stages, a new one runs without the killed target, and the
        # caller's stream continues where it was.
        prompt = "unit move [300 tokens]"
        async with open_stream(fleet, "i1", prompt, pipeline="chain") as stream:
            await stream.read(10)
            ran = _list_targets_by_attempt(
                await fleet.read_ledgers_by_target(), stream.request
            )
            dying = "c2" if "c2" in ran[1] else "d2"
            await fleet.control_target(dying, step_ms=100)
            await fleet.processes[dying].kill()
            await stream.read()
        ran = await self._check(fleet, stream, stream.texts, prompt, 300)
        self.assertEqual(set(ran), {1, 2})
        self.assertNotIn(dying, ran[2])
        await fleet.start_target(dying)
        await fleet.wait_listening(fleet.find_target(dying).address)

    async def _check_frozen_instance(self, fleet):
        # The driving instance is suspended, another one takes over the chain, and the
        # first resumes during the answer. It would drive on, then see its caller gone
        # and close the attempt. The stages refuse it, and the caller gets the whole
        # answer.
        prompt = "status [300 tokens]"
        frozen = fleet.processes["i1"]
        async with open_stream(fleet, "i1", prompt, pipeline="chain") as first:
            await first.read(10)
            frozen.send(signal.SIGSTOP)
        async with open_stream(
            fleet,
            "i2",
            prompt,
            pipeline="chain",
            last_event_id=first.last_event_id,
        ) as rest:
            await rest.read(5)
            frozen.send(signal.SIGCONT)
            await rest.read()
        ran = await self._check(fleet, rest, first.texts + rest.texts, prompt, 300)
        self.assertEqual(set(ran), {1})

    async def _check_killed_instance(self, fleet):
        # The instance that drives a chain is killed. Another one reads the position of
        # each stage and continues. The caller gets every event once, and every stage
        # runs every step once.
        prompt = "coding [150 tokens]"
        async with open_stream(fleet, "i1", prompt, pipeline="chain") as first:
            await first.read(10)
            await fleet.processes["i1"].kill()
            await first.read()
        self.assertFalse(first.is_complete)
        rest = await read_full_stream(
            fleet, "i2", prompt, pipeline="chain", last_event_id=first.last_event_id
        )
        ran = await self._check(fleet, rest, first.texts + rest.texts, prompt, 150)
        self.assertEqual(set(ran), {1})
        ids = [event.id for event in first.events + rest.events if event.id]
        numbers = [int(event_id.rpartition(".")[2]) for event_id in ids]
        self.assertEqual(numbers, list(range(152)))

    async def test_missing_chain_is_refused_at_once(self):
        # All targets of one layer range are leaving. A new request is refused as not
        # run.
        plan = _make_plan()
        plan.instances = plan.instances[:1]
        plan.targets = [item for item in plan.targets if item.name[0] == "c"]
        async with start_fleet(plan) as fleet:
            await fleet.control_target("c1", leaving=True)
            async with open_stream(fleet, "i1", "x", pipeline="chain") as stream:
                body = json.loads(await stream.response.text())
            self.assertIn(body["result"], (2004, 2010))
            self.assertEqual(body["ran"], "not_run")
            self.assertEqual(
                _list_targets_by_attempt(
                    await fleet.read_ledgers_by_target(), stream.request
                ),
                {},
            )
