import json
import unittest
from pathlib import Path

from fulmarward.keys.tests.callers import get_key
from fulmarward_standins.harness import (
    FleetPlan,
    TargetPlan,
    check_golden,
    make_team_key,
    read_stream,
    start_fleet,
)

_GOLDEN = Path(__file__).parent / "golden"

_CHAT = {
    "model": "lookup",
    "messages": [{"role": "user", "content": "pickup time? [4 tokens]"}],
}


async def _record(fleet, instance, path, body=None, headers=None):
    """Send a call and return it with its answer as readable lines."""
    sent = {"Authorization": f"Bearer {make_team_key('folha')}"} | (headers or {})
    method = "GET" if body is None else "POST"
    lines = [f"> {method} {path}"]
    if body is not None:
        lines.append("> " + json.dumps(body))
    async with fleet.session.request(
        method, fleet.get_url(instance, path), json=body, headers=sent
    ) as response:
        lines.append(f"< {response.status} {response.content_type}")
        for header in ("X-Request-Id", "Retry-After"):
            if header in response.headers:
                lines.append(f"< {header}: {response.headers[header]}")
        if response.content_type != "text/event-stream":
            return [*lines, json.dumps(await response.json(), sort_keys=True), ""]
        async for event in read_stream(response):
            lines += [f"id: {event.id}", f"data: {event.data}"]
        return [*lines, ""]


def _render_ledgers(entries, session):
    """Return ledger entries as lines, in the order of their requests in `session`."""

    def place(entry):
        request = session.find(entry["request"])
        return (request, entry["attempt"], entry["position"], entry["event"])

    lines = [json.dumps(entry, sort_keys=True) for entry in sorted(entries, key=place)]
    return ["ledger", *lines]


class KeyedSessionTest(unittest.IsolatedAsyncioTestCase):
    async def test_session_of_keyed_calls(self):
        # A completion and a service call that are not idempotent run twice: they are
        # repeated at other instances, with another body and by another team, and again
        # after the home of the key is killed. The ledgers must show one run of each.
        plan = FleetPlan(
            targets=[
                TargetPlan(name="e1"),
                TargetPlan(name="s1", kind="service", serves="callsheet"),
            ]
        )
        rewrite = {"model": "rewrite", "prompt": "unit move [5 tokens]"}
        move = {"unit": 2, "to": "harbour"}
        async with start_fleet(plan) as fleet:
            lines = []
            for path, body in (
                ("/v1/completions", rewrite),
                ("/services/callsheet/moves", move),
            ):
                key = {"Idempotency-Key": await get_key(fleet, "i1", "i2", "notes")}
                for instance in ("i3", "i1", "i2"):
                    lines += await _record(fleet, instance, path, body, key)
                other = body | {"prompt": "other"}
                lines += await _record(fleet, "i3", path, other, key)
                foreign = key | {"Authorization": "Bearer key-of-osservatorio"}
                lines += await _record(fleet, "i3", path, body, foreign)
                await fleet.processes["i1"].kill()
                lines.append("(the home is killed)")
                lines += await _record(fleet, "i3", path, body, key)
                await fleet.start_instance("i1")
                await fleet.wait_ready("i1")
                lines.append("(another run of the home serves)")
                lines += await _record(fleet, "i1", path, body, key)
            entries = await fleet.read_ledgers()
            lines += _render_ledgers(entries, "\n".join(lines))
        check_golden(self, _GOLDEN / "keyed.txt", "\n".join(lines) + "\n")


class CompletionSessionTest(unittest.IsolatedAsyncioTestCase):
    async def test_session_of_completions(self):
        # A caller lists models, requests whole and streamed completions, and makes the
        # usual mistakes. The ledger must show that each token ran once, in order.
        async with start_fleet() as fleet:
            lines = await _record(fleet, "i1", "/v1/models")
            lines += await _record(fleet, "i1", "/v1/chat/completions", _CHAT)
            lines += await _record(
                fleet, "i2", "/v1/chat/completions", _CHAT | {"stream": True}
            )
            lines += await _record(
                fleet,
                "i3",
                "/v1/completions",
                {"model": "summary", "prompt": "tomorrow", "max_tokens": 2},
            )
            mistakes = [
                ("/v1/chat/completions", {"model": "lookup"}, None),
                ("/v1/chat/completions", _CHAT | {"model": "nope"}, None),
                ("/v1/chat/completions", _CHAT, {"Authorization": "Bearer x"}),
                ("/v1/chat/completions", _CHAT, {"X-Deadline-Ms": "soon"}),
                ("/services/nope/x", None, None),
                ("/nowhere", None, None),
            ]
            for path, body, headers in mistakes:
                lines += await _record(fleet, "i1", path, body, headers)
            entries = await fleet.read_ledgers()
            lines += _render_ledgers(entries, "\n".join(lines))
        check_golden(self, _GOLDEN / "completions.txt", "\n".join(lines) + "\n")
