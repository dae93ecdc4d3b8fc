import asyncio
import json
import re
import unittest

from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    TargetPlan,
    find_ledger_faults,
    open_stream,
    read_whole,
    start_fleet,
    wait_until,
)


def _expect(tokens, prompt):
    return answer_tokens(prompt, tokens, 24)


def _count(ledgers, request, event):
    entries = [entry for ledger in ledgers.values() for entry in ledger]
    return sum((item["request"], item["event"]) == (request, event) for item in entries)


async def _has_ended(fleet, request, event):
    ledgers = await fleet.read_ledgers_by_target()
    return _count(ledgers, request, event) == 1


def _plan():
    return FleetPlan(
        instances=[
            InstancePlan(name="i1", data_centre="lx-alcantara"),
            InstancePlan(
                name="i2", data_centre="lx-oriente", limits={"linger_ms": 400}
            ),
        ],
        targets=[
            TargetPlan(name="e1", stand_in={"token_ms": 8}),
            TargetPlan(name="e2", stand_in={"token_ms": 8}),
        ],
    )


class ResumeTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_outlives_cuts_and_the_death_of_its_instance(self):
        async with start_fleet(_plan()) as fleet:
            await self._check_wrong_ids(fleet)
            await self._check_own_journal(fleet)
            await self._check_cut_engine_connection(fleet)
            await self._check_killed_instance(fleet)

    async def _check_wrong_ids(self, fleet):
        # Another team, or the same team with another body, sends an event id that it
        # found somewhere. It is refused and sees nothing of the answer.
        prompt = "sheet [3 tokens]"
        stream = await read_whole(fleet, "i1", prompt)
        wrong = [
            {"last_event_id": stream.last_event_id, "team": "osservatorio"},
            {"last_event_id": stream.last_event_id, "pipeline": "lookup"},
            {"last_event_id": "abc.1"},
        ]
        for members in wrong:
            with self.subTest(members=members):
                async with open_stream(fleet, "i2", prompt, **members) as refused:
                    body = json.loads(await refused.response.text())
                self.assertEqual(body["result"], 1009)
        async with open_stream(
            fleet, "i2", "other", last_event_id=stream.last_event_id
        ) as refused:
            body = json.loads(await refused.response.text())
        self.assertEqual(body["result"], 1009)

    async def _check_own_journal(self, fleet):
        # A caller's connection is cut; the caller comes back to the same instance and
        # gets the rest of the same run.
        prompt = "cast digest [60 tokens]"
        async with open_stream(fleet, "i2", prompt) as first:
            await first.read(10)
        rest = await read_whole(fleet, "i2", prompt, last_event_id=first.last_event_id)
        self.assertEqual(first.texts + rest.texts, _expect(60, prompt))
        self.assertTrue(rest.is_whole)
        self.assertEqual(first.request, rest.request)
        self.assertEqual(
            _count(await fleet.read_ledgers_by_target(), first.request, "began"), 1
        )

    async def _check_cut_engine_connection(self, fleet):
        # The engine's connection is cut in the middle of a stream, and so is the next
        # one at once. The instance attaches again; the caller notices nothing and
        # nothing is run again.
        prompt = "moves [30 tokens]"
        for target in ("e1", "e2"):
            await fleet.control_target(target, cut_at_token=11, cuts=2)
        async with open_stream(fleet, "i1", prompt) as stream:
            await stream.read()
        self.assertEqual(stream.texts, _expect(30, prompt))
        self.assertTrue(stream.is_whole)
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count(ledgers, stream.request, "began"), 1)

    async def _check_killed_instance(self, fleet):
        # The instance dies in the middle of a stream. The caller sends the same body
        # with the last event's id to another instance, and has every event exactly
        # once: the engine never noticed and ran the request once.
        prompt = "interview [200 tokens]"
        async with open_stream(fleet, "i1", prompt, pipeline="rewrite") as first:
            await first.read(20)
            await fleet.processes["i1"].kill()
            await first.read()
        self.assertFalse(first.is_whole)
        rest = await read_whole(
            fleet, "i2", prompt, pipeline="rewrite", last_event_id=first.last_event_id
        )
        self.assertEqual(first.texts + rest.texts, _expect(200, prompt))
        self.assertTrue(rest.is_whole)
        ids = [event.id for event in first.events + rest.events if event.id]
        numbers = [int(event_id.rpartition(".")[2]) for event_id in ids]
        self.assertEqual(numbers, list(range(202)))
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count(ledgers, first.request, "began"), 1)
        self.assertEqual(find_ledger_faults(ledgers, layers=24), [])

    async def test_stream_outlives_its_instance_and_engine_together(self):
        # A data centre is lost, and with it the instance and the engine of a stream.
        # Nobody has the texts any more that the caller has. The caller comes back at
        # another instance with its event id, whose digest a new attempt has to meet;
        # it has the rest from where it was cut. With a false digest it is told so.
        prompt = "pickup [120 tokens]"
        async with start_fleet(_plan()) as fleet:
            async with open_stream(fleet, "i1", prompt) as first:
                await first.read(15)
                ledgers = await fleet.read_ledgers_by_target()
                dying = next(
                    name
                    for name, entries in ledgers.items()
                    if any(item["request"] == first.request for item in entries)
                )
                await asyncio.gather(
                    fleet.processes["i1"].kill(), fleet.processes[dying].kill()
                )
                await first.read()
            self.assertFalse(first.is_whole)
            false_id = re.sub("~[0-9a-f]{8}", "~00000000", first.last_event_id)
            told = await read_whole(fleet, "i2", prompt, last_event_id=false_id)
            self.assertEqual(told.texts, [])
            self.assertEqual(json.loads(told.events[-1].data)["ran"], "failed")
            rest = await read_whole(
                fleet, "i2", prompt, last_event_id=first.last_event_id
            )
            self.assertTrue(rest.is_whole)
            self.assertEqual(first.texts + rest.texts, _expect(120, prompt))

    async def test_lost_engines_and_lost_callers(self):
        async with start_fleet(_plan()) as fleet:
            await self._check_abandoned(fleet)
            await self._check_moved_caller(fleet)
            await self._check_keyed_stream_lost(fleet)
            await self._check_engine_killed(fleet)

    async def _check_abandoned(self, fleet):
        # A caller goes away. One that cannot come back (no stream, no key) has its
        # work cancelled at once, one with event ids after `linger_ms`.
        body = {"model": "summary", "prompt": "gone [2000 tokens]", "max_tokens": 2000}
        call = fleet.session.post(
            fleet.get_url("i1", "/v1/completions"),
            json=body,
            headers={"Authorization": "Bearer key-of-folha"},
            timeout=1,
        )
        with self.assertRaises(TimeoutError):
            async with call:
                pass

        async def is_cancelled():
            entries = await fleet.read_ledgers()
            return sum(entry["event"] == "cancelled" for entry in entries) == 1

        await wait_until(is_cancelled, "the work of a lost caller to be cancelled")
        async with open_stream(fleet, "i2", "gone too [2000 tokens]") as stream:
            await stream.read(2)
        await wait_until(
            lambda: _has_ended(fleet, stream.request, "cancelled"),
            "the work of a caller that stays away to be cancelled",
        )

    async def _check_moved_caller(self, fleet):
        # The caller of i2 comes back at i1. i2 sees its caller gone for longer than
        # `linger_ms` and must not cancel what i1 reads: the engine knows both.
        prompt = "moved [150 tokens]"
        async with open_stream(fleet, "i2", prompt) as first:
            await first.read(3)
        rest = await read_whole(fleet, "i1", prompt, last_event_id=first.last_event_id)
        self.assertEqual(first.texts + rest.texts, _expect(150, prompt))
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count(ledgers, first.request, "began"), 1)

    async def _check_keyed_stream_lost(self, fleet):
        # A key makes a request of an idempotent pipeline one that may run once. Its
        # engine fails in the middle; the caller comes back elsewhere with the event
        # id alone. It is told that the stream is lost, and nothing is run again.
        prompt = "keyed [40 tokens]"
        told = await fleet.call("i1", "/discovery")
        key = told.body["idempotency_key_prefix"] + ".lost"
        for name in ("e1", "e2"):
            await fleet.control_target(name, fail_at_token=20)
        stream = await read_whole(fleet, "i1", prompt, headers={"Idempotency-Key": key})
        for name in ("e1", "e2"):
            await fleet.control_target(name, fail_at_token=-1)
        self.assertEqual(json.loads(stream.events[-1].data)["ran"], "failed")
        self.assertEqual(len(stream.texts), 20)
        async with open_stream(
            fleet, "i2", prompt, last_event_id=stream.last_event_id
        ) as again:
            await again.read()
        self.assertEqual(again.texts, [])
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count(ledgers, stream.request, "began"), 1)

    async def _check_engine_killed(self, fleet):
        # The engine dies in the middle. Idempotent work goes on at the same place on
        # another engine; work that may run once ends with the truth, as does a
        # caller that comes back for it elsewhere.
        prompt = "late call [120 tokens]"
        async with open_stream(fleet, "i1", prompt) as stream:
            await stream.read(15)
            ledgers = await fleet.read_ledgers_by_target()
            dying = next(
                name
                for name, ledger in ledgers.items()
                if any(item["request"] == stream.request for item in ledger)
            )
            await fleet.control_target(dying, token_ms=100)
            await fleet.processes[dying].kill()
            await stream.read()
        self.assertEqual(stream.texts, _expect(120, prompt))
        self.assertTrue(stream.is_whole)
        async with open_stream(fleet, "i1", prompt, pipeline="rewrite") as once:
            await once.read(15)
            for name in ("e1", "e2"):
                await fleet.control_target(name, token_ms=100)
                await fleet.processes[name].kill()
            await once.read()
        self.assertEqual(once.events[-1].kind, "error")
        self.assertEqual(json.loads(once.events[-1].data)["ran"], "failed")
        async with open_stream(
            fleet, "i2", prompt, pipeline="rewrite", last_event_id=once.last_event_id
        ) as again:
            body = json.loads(await again.response.text())
        self.assertEqual(body["result"], 3004)
