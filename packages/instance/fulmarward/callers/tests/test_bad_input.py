import asyncio
import json
import unittest

from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    make_team_key,
    read_stream,
    read_usage,
    start_fleet,
    wait_until,
)

_LIMITS = {"body_bytes": 100_000, "body_ms": 400}


def _make_plan():
    return FleetPlan(
        instances=[InstancePlan(name="i1", data_centre="lx-oriente", limits=_LIMITS)]
    )


async def _connect(fleet):
    host, port = fleet.find_instance("i1").caller_address.split(":")
    return await asyncio.open_connection(host, int(port))


def _make_head(length, path="/v1/chat/completions"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {make_team_key('folha')}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def _read_answer(reader):
    """Return the status and the JSON body of one HTTP answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.split("content-length: ")[1].split("\r\n")[0])
    return int(head.split()[1]), json.loads(await reader.readexactly(length))


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    async def test_bad_input_gets_its_code_and_disturbs_no_caller(self):
        async with start_fleet(_make_plan()) as fleet:
            good = asyncio.create_task(self._expect_good_answers(fleet))
            await self._send_malformed_bodies(fleet)
            await self._send_too_much(fleet)
            await self._send_truncated_body(fleet)
            await self._leave_connections_idle(fleet)
            good.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await good
            result = await fleet.call("i1", "/health")
            self.assertEqual(result.body["state"], "serving")

    async def _expect_good_answers(self, fleet):
        body = {"model": "lookup", "prompt": "x [5 tokens]"}
        while True:
            result = await fleet.call("i1", "/v1/completions", body)
            self.assertEqual(result.status, 200, result.body)

    async def _send_malformed_bodies(self, fleet):
        chat = {"model": "lookup", "messages": [{"role": "user", "content": "x"}]}
        cases = [
            ([], "expected an object"),
            ({"model": 5, "messages": []}, "model: expected a text, found 5"),
            (chat | {"messages": "x"}, "messages: expected a list"),
            (chat | {"messages": [{"role": "boss"}]}, "messages[0].role: expected"),
            (chat | {"max_tokens": -1}, "max_tokens: expected a whole number"),
            (chat | {"stream": "yes"}, "stream: expected true or false"),
            (chat | {"n": 2}, "n: expected a whole number from 1 to 1"),
            (chat | {"colour": 1}, "colour: expected no member but"),
        ]
        for body, expected in cases:
            with self.subTest(body=body):
                result = await fleet.call("i1", "/v1/chat/completions", body)
                self.assertEqual((result.status, result.body["result"]), (400, 1001))
                self.assertEqual(result.body["ran"], "not_run")
                self.assertIn(expected, result.body["error"]["message"])

    async def _send_too_much(self, fleet):
        body = {"model": "lookup", "prompt": "x" * 200_000}
        result = await fleet.call("i1", "/v1/completions", body)
        self.assertEqual((result.status, result.body["result"]), (413, 1002))

    async def _send_truncated_body(self, fleet):
        # The caller's link fails while it sends, so that fewer bytes arrive than the
        # Content-Length says. It gets a timely failure, and nothing runs.
        reader, writer = await _connect(fleet)
        writer.write(_make_head(5_000) + b'{"model": ')
        status, body = await _read_answer(reader)
        self.assertEqual((status, body["result"], body["ran"]), (408, 1010, "not_run"))
        writer.close()

    async def _leave_connections_idle(self, fleet):
        # Callers that send nothing or only half a head do not count as open requests.
        connections = [await _connect(fleet) for _ in range(50)]
        for _, writer in connections[:25]:
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost:")
        result = await fleet.call_operator("i1", "/status")
        self.assertLessEqual(result.body["open_requests"], 1)
        for _, writer in connections:
            writer.close()


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_does_not_read_costs_at_most_its_answer(self):
        # A caller requests long answers and reads none of them. The instance buffers
        # at most the answers themselves, and other callers are not delayed.
        async with start_fleet(_make_plan()) as fleet:
            pid = fleet.processes["i1"].child.pid
            before = read_usage(pid).resident_bytes
            body = json.dumps(
                {"model": "summary", "prompt": "x [2000 tokens]", "stream": True}
            ).encode()
            await fleet.control_target("e1", token_ms=0)
            await fleet.control_target("e2", token_ms=0)
            stuck = []
            for _ in range(10):
                _, writer = await _connect(fleet)
                writer.write(_make_head(len(body), "/v1/completions") + body)
                stuck.append(writer)
            await wait_until(lambda: self._have_all_run(fleet), "engines to finish")
            texts = await self._read_whole(fleet)
            self.assertEqual(len(texts), 20)
            grown = read_usage(pid).resident_bytes - before
            self.assertLess(grown, 64 * 2**20)
            for writer in stuck:
                writer.close()

    async def _have_all_run(self, fleet):
        entries = await fleet.read_ledgers()
        return sum(entry["event"] == "ended" for entry in entries) >= 10

    async def _read_whole(self, fleet):
        body = {"model": "lookup", "prompt": "y [20 tokens]", "stream": True}
        headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
        url = fleet.get_url("i1", "/v1/completions")
        async with fleet.session.post(url, json=body, headers=headers) as response:
            events = [event async for event in read_stream(response)]
        self.assertEqual(events[-1].data, "[DONE]")
        return [event.text for event in events if event.text]
