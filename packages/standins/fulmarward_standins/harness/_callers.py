"""HTTP calls and server-sent events on the caller's side."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import aiohttp


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """Response to a call; status 0 if none arrived."""

    status: int
    #: The parsed JSON body, or the text of another content type.
    body: Any
    headers: dict[str, str]


@dataclass(frozen=True, kw_only=True)
class SseEvent:
    """One server-sent event."""

    #: `id:`, or empty.
    id: str
    #: `event:`, by default `message`.
    kind: str
    #: `data:`.
    data: str

    @property
    def text(self) -> str:
        """The token's text in a completion chunk, empty in other events."""
        if self.kind != "message" or self.data == "[DONE]":
            return ""
        choices = json.loads(self.data).get("choices") or [{}]
        choice = choices[0]
        return choice.get("text") or choice.get("delta", {}).get("content") or ""


async def call_json(
    session: aiohttp.ClientSession,
    url: str,
    body: object = None,
    *,
    key: str = "",
    method: str = "",
    headers: dict[str, str] | None = None,
) -> CallResult:
    """Make a call; a lost connection gives status 0 instead of an exception."""
    method = method or ("GET" if body is None else "POST")
    sent = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        async with session.request(
            method, url, json=body, headers=sent | (headers or {})
        ) as response:
            text = await response.text()
            is_json = response.content_type == "application/json"
            return CallResult(
                status=response.status,
                body=json.loads(text) if is_json else text,
                headers=dict(response.headers),
            )
    except (aiohttp.ClientError, TimeoutError) as error:
        return CallResult(status=0, body=type(error).__name__, headers={})


async def read_stream(response: aiohttp.ClientResponse) -> AsyncIterator[SseEvent]:
    """Yield the server-sent events of a response until it ends or is cut."""
    fields: dict[str, str] = {}
    try:
        async for raw in response.content:
            line = raw.decode().rstrip("\n")
            if line:
                name, _, value = line.partition(": ")
                fields[name] = value
                continue
            yield SseEvent(
                id=fields.get("id", ""),
                kind=fields.get("event", "message"),
                data=fields.get("data", ""),
            )
            fields = {}
    except aiohttp.ClientError:
        return
