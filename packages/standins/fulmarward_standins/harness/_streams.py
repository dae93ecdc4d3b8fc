"""A streamed completion on the caller's side, which can be cut and resumed."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp

from fulmarward_standins.harness._callers import SseEvent, read_stream
from fulmarward_standins.harness._fleet import Fleet
from fulmarward_standins.harness._plans import make_team_key


@dataclass(kw_only=True)
class CallerStream:
    """An open streamed completion."""

    #: HTTP status.
    status: int
    #: Request id.
    request: str
    #: The HTTP response.
    response: aiohttp.ClientResponse
    #: Events read so far.
    events: list[SseEvent] = field(default_factory=list)

    @property
    def texts(self) -> list[str]:
        """Texts of the tokens read so far."""
        return [event.text for event in self.events if event.text]

    @property
    def is_complete(self) -> bool:
        """Whether the end marker `[DONE]` arrived."""
        return bool(self.events) and self.events[-1].data == "[DONE]"

    @property
    def last_event_id(self) -> str:
        """The event id that a caller sends to resume."""
        return next((event.id for event in reversed(self.events) if event.id), "")

    async def read(self, texts: int | None = None) -> None:
        """Read until `texts` token texts have arrived, by default to the end."""
        async for event in read_stream(self.response):
            self.events.append(event)
            if texts is not None and len(self.texts) >= texts:
                return


@asynccontextmanager
async def open_stream(
    fleet: Fleet,
    instance: str,
    prompt: str,
    *,
    pipeline: str = "summary",
    team: str = "folha",
    last_event_id: str = "",
    headers: dict[str, str] | None = None,
) -> AsyncIterator[CallerStream]:
    """Open a streamed text completion; leaving the block closes the connection."""
    sent = {"Authorization": f"Bearer {make_team_key(team)}"} | (headers or {})
    if last_event_id:
        sent["Last-Event-ID"] = last_event_id
    body = {"model": pipeline, "prompt": prompt, "stream": True}
    async with fleet.session.post(
        fleet.get_url(instance, "/v1/completions"), json=body, headers=sent
    ) as response:
        try:
            yield CallerStream(
                status=response.status,
                request=response.headers.get("X-Request-Id", ""),
                response=response,
            )
        finally:
            response.close()


async def read_full_stream(
    fleet: Fleet, instance: str, prompt: str, **members: str
) -> CallerStream:
    """Return a streamed completion read to its end."""
    async with open_stream(fleet, instance, prompt, **members) as stream:
        await stream.read()
        return stream
