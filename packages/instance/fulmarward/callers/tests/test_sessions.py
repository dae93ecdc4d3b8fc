import json
import unittest
from pathlib import Path

from fulmarward_standins.harness import (
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
    """Return a call and its answer as lines that a person can read."""
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
    """Return entries as lines, requests in the order in which `session` names them."""

    def place(entry):
        request = session.find(entry["request"])
        return (request, entry["attempt"], entry["position"], entry["event"])

    lines = [json.dumps(entry, sort_keys=True) for entry in sorted(entries, key=place)]
    return ["ledger", *lines]


class CompletionSessionTest(unittest.IsolatedAsyncioTestCase):
    async def test_session_of_completions(self):
        # A caller asks for addresses, has a completion whole and one streamed, and
        # makes the usual mistakes. The ledger shows each token run once, in order.
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
