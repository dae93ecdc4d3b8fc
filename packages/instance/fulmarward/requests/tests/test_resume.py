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
    read_full_stream,
    start_fleet,
    wait_until,
)


def _expect_texts(tokens, prompt):
    return answer_tokens(prompt, tokens, 24)


def _count_events(ledgers, request, event):
    entries = [entry for ledger in ledgers.values() for entry in ledger]
    return sum((item["request"], item["event"]) == (request, event) for item in entries)


async def _has_ended(fleet, request, event):
    ledgers = await fleet.read_ledgers_by_target()
    return _count_events(ledgers, request, event) == 1


def _make_plan():
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
    async def test_stream_survives_cuts_and_a_killed_instance(self):
        async with start_fleet(_make_plan()) as fleet:
            await self._check_wrong_ids(fleet)
            await self._check_own_journal(fleet)
            await self._check_cut_engine_connection(fleet)
            await self._check_killed_instance(fleet)

    async def _check_wrong_ids(self, fleet):
        # Another team, or the same team with another body, sends an event id of this
        # stream. It is refused and gets no part of the answer.
        prompt = "sheet [3 tokens]"
        stream = await read_full_stream(fleet, "i1", prompt)
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
        # A caller's connection is cut. The caller returns to the same instance and gets
        # the rest of the same run.
        prompt = "cast digest [60 tokens]"
        async with open_stream(fleet, "i2", prompt) as first:
            await first.read(10)
        rest = await read_full_stream(
            fleet, "i2", prompt, last_event_id=first.last_event_id
        )
        self.assertEqual(first.texts + rest.texts, _expect_texts(60, prompt))
        self.assertTrue(rest.is_complete)
        self.assertEqual(first.request, rest.request)
        self.assertEqual(
            _count_events(await fleet.read_ledgers_by_target(), first.request, "began"),
            1,
        )

    async def _check_cut_engine_connection(self, fleet):
        # The engine's connection is cut during a stream, and the next one immediately.
        # The instance attaches again; the caller sees no difference and nothing runs
        # again.
        prompt = "moves [30 tokens]"
        for target in ("e1", "e2"):
            await fleet.control_target(target, cut_at_token=11, cuts=2)
        async with open_stream(fleet, "i1", prompt) as stream:
            await stream.read()
        self.assertEqual(stream.texts, _expect_texts(30, prompt))
        self.assertTrue(stream.is_complete)
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count_events(ledgers, stream.request, "began"), 1)

    async def _check_killed_instance(self, fleet):
        # The instance is killed during a stream. The caller sends the same body with
        # the id of the last event to another instance and gets every event exactly
        # once. The engine runs the request once.
        prompt = "interview [200 tokens]"
        async with open_stream(fleet, "i1", prompt, pipeline="rewrite") as first:
            await first.read(20)
            await fleet.processes["i1"].kill()
            await first.read()
        self.assertFalse(first.is_complete)
        rest = await read_full_stream(
            fleet, "i2", prompt, pipeline="rewrite", last_event_id=first.last_event_id
        )
        self.assertEqual(first.texts + rest.texts, _expect_texts(200, prompt))
        self.assertTrue(rest.is_complete)
        ids = [event.id for event in first.events + rest.events if event.id]
        numbers = [int(event_id.rpartition(".")[2]) for event_id in ids]
        self.assertEqual(numbers, list(range(202)))
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count_events(ledgers, first.request, "began"), 1)
        self.assertEqual(find_ledger_faults(ledgers, layers=24), [])

    async def test_stream_survives_loss_of_its_instance_and_engine(self):
        # A data centre is lost, and with it the instance and the engine of a stream, so
        # that only the caller has the texts sent so far. The caller returns to another
        # instance with its event id. A new attempt must match the digest in the id, and
        # the caller gets the rest of the answer. With a wrong digest it gets a failure.
        prompt = "pickup [120 tokens]"
        async with start_fleet(_make_plan()) as fleet:
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
            self.assertFalse(first.is_complete)
            wrong_id = re.sub("~[0-9a-f]{8}", "~00000000", first.last_event_id)
            refused = await read_full_stream(
                fleet, "i2", prompt, last_event_id=wrong_id
            )
            self.assertEqual(refused.texts, [])
            self.assertEqual(json.loads(refused.events[-1].data)["ran"], "failed")
            rest = await read_full_stream(
                fleet, "i2", prompt, last_event_id=first.last_event_id
            )
            self.assertTrue(rest.is_complete)
            self.assertEqual(first.texts + rest.texts, _expect_texts(120, prompt))

    async def test_lost_engines_and_lost_callers(self):
        async with start_fleet(_make_plan()) as fleet:
            await self._check_abandoned(fleet)
            await self._check_moved_caller(fleet)
            await self._check_keyed_stream_lost(fleet)
            await self._check_engine_killed(fleet)

    async def _check_abandoned(self, fleet):
        # A caller disconnects. A request that cannot be resumed (no stream, no key) is
        # cancelled at once, one with event ids after `linger_ms`.
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

        await wait_until(
            is_cancelled, "the request of a disconnected caller to be cancelled"
        )
        async with open_stream(fleet, "i2", "gone too [2000 tokens]") as stream:
            await stream.read(2)
        await wait_until(
            lambda: _has_ended(fleet, stream.request, "cancelled"),
            "the stream of a caller that does not return to be cancelled",
        )

    async def _check_moved_caller(self, fleet):
        # The caller of i2 resumes at i1. i2 sees its caller gone for longer than
        # `linger_ms` and must not cancel what i1 reads; the engine knows both readers.
        prompt = "moved [150 tokens]"
        async with open_stream(fleet, "i2", prompt) as first:
            await first.read(3)
        rest = await read_full_stream(
            fleet, "i1", prompt, last_event_id=first.last_event_id
        )
        self.assertEqual(first.texts + rest.texts, _expect_texts(150, prompt))
        ledgers = await fleet.read_ledgers_by_target()
        self.assertEqual(_count_events(ledgers, first.request, "began"), 1)

    async def _check_keyed_stream_lost(self, fleet):
        # With an idempotency key, a request of an idempotent pipeline may run only
        # once. Its engine fails during the stream, and the caller returns to another
        # instance with the event id alone. It is told that the stream is lost, and
        # nothing runs again.
        prompt = "keyed [40 tokens]"
        discovery = await fleet.call("i1", "/discovery")
        key = discovery.body["idempotency_key_prefix"] + ".lost"
        for name in ("e1", "e2"):
            await fleet.control_target(name, fail_at_token=20)
        stream = await read_full_stream(
            fleet, "i1", prompt, headers={"Idempotency-Key": key}
        )
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
        self.assertEqual(_count_events(ledgers, stream.request, "began"), 1)

    async def _check_engine_killed(self, fleet):
        # The engine is killed during a stream. An idempotent request continues at the
        # same position on another engine. One that may run only once ends with an error
        # that says it failed, also for a caller that resumes it at another instance.
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
        self.assertEqual(stream.texts, _expect_texts(120, prompt))
        self.assertTrue(stream.is_complete)
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
