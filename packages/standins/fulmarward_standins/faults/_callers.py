"""Callers as the guide tells them to be: they retry by key and resume by event id."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp

from fulmarward_standins._ledger import digest_work
from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.faults._told import Ending, Told
from fulmarward_standins.harness import Fleet, SseEvent, make_team_key, read_stream

#: Layers of the stand-in models.
LAYERS = 24

#: Calls that a caller makes for one piece of work before it gives up.
MOST_CALLS = 12

#: Seconds for one call; a frozen instance answers nothing.
CALL_S = 6.0

#: Seconds that a caller waits when an answer does not say how long.
WAIT_S = 0.3


#: The result that asks a caller to come back with the same key.
STILL_RUNNING = 2012


@dataclass(kw_only=True)
class Caller:
    """One caller's state."""

    fleet: Fleet
    generator: random.Random
    #: Makes every work unique.
    next_number: Callable[[], int]
    told: list[Told] = field(default_factory=list)

    def pick_url(self, path: str) -> str:
        """Return a URL at any instance, as if from a kept discovery answer."""
        names = [item.name for item in self.fleet.plan.instances]
        return self.fleet.get_url(self.generator.choice(names), path)


@dataclass(frozen=True, kw_only=True)
class _Seen:
    """What one call brought."""

    status: int
    body: dict
    request: str


async def fetch_key(caller: Caller) -> str:
    """Return a fresh idempotency key from discovery, empty when none answers."""
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    for _ in range(MOST_CALLS):
        try:
            async with caller.fleet.session.get(
                caller.pick_url("/discovery"),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_S / 3),
            ) as response:
                if response.status == 200:
                    prefix = (await response.json())["idempotency_key_prefix"]
                    return f"{prefix}.{caller.generator.getrandbits(64):x}"
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(WAIT_S)
    return ""


def _note_failure(told: Told, body: dict) -> None:
    told.ending = Ending(body["ran"])
    told.result = body["result"]


async def run_stream(caller: Caller, pipeline: str) -> None:
    """Stream a completion of an idempotent pipeline, resuming where it was cut."""
    tokens = caller.generator.randrange(5, 60)
    prompt = f"work {caller.next_number()} [{tokens} tokens]"
    told = Told(
        kind=f"stream {pipeline}",
        work=digest_work(prompt),
        idempotent=True,
        expected="".join(answer_tokens(prompt, 10_000, LAYERS)),
    )
    caller.told.append(told)
    events: list[SseEvent] = []
    while told.calls < MOST_CALLS and told.ending is Ending.GAVE_UP:
        told.calls += 1
        await _call_stream(caller, told, pipeline, prompt, events)
        if told.ending is Ending.GAVE_UP:
            await asyncio.sleep(WAIT_S)


async def _call_stream(
    caller: Caller, told: Told, pipeline: str, prompt: str, events: list[SseEvent]
) -> None:
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    if events:
        headers["Last-Event-ID"] = events[-1].id
    try:
        async with caller.fleet.session.post(
            caller.pick_url("/v1/completions"),
            json={"model": pipeline, "prompt": prompt, "stream": True},
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None, sock_read=CALL_S),
        ) as response:
            told.requests.append(response.headers.get("X-Request-Id", ""))
            if response.content_type != "text/event-stream":
                _note_failure(told, await response.json())
                return
            async for event in read_stream(response):
                _take_event(told, event, events)
    except (aiohttp.ClientError, TimeoutError):
        return


def _take_event(told: Told, event: SseEvent, events: list[SseEvent]) -> None:
    if event.kind == "error":
        _note_failure(told, json.loads(event.data))
    elif event.data == "[DONE]":
        told.ending = Ending.WHOLE
        told.answer = "".join(item.text for item in events)
    elif event.id:
        events.append(event)


async def run_keyed(
    caller: Caller, path: str, body: dict, told: Told, read: Callable[[dict], str]
) -> None:
    """Call with a handed-out key and repeat with the same key until told an end."""
    caller.told.append(told)
    key = told.key = await fetch_key(caller)
    if not key:
        return
    while told.calls < MOST_CALLS and told.ending is Ending.GAVE_UP:
        told.calls += 1
        seen = await _call_once(caller, path, body, key)
        if seen is None or seen.body.get("result") == STILL_RUNNING:
            await asyncio.sleep(WAIT_S)
            continue
        told.requests.append(seen.request)
        if seen.status == 200:
            told.ending = Ending.WHOLE
            told.answer = read(seen.body)
        elif "ran" in seen.body:
            _note_failure(told, seen.body)


async def _call_once(caller: Caller, path: str, body: dict, key: str) -> _Seen | None:
    headers = {
        "Authorization": f"Bearer {make_team_key('folha')}",
        "Idempotency-Key": key,
    }
    try:
        async with caller.fleet.session.post(
            caller.pick_url(path),
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=CALL_S),
        ) as response:
            return _Seen(
                status=response.status,
                body=await response.json(),
                request=response.headers.get("X-Request-Id", ""),
            )
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


async def run_rewrite(caller: Caller) -> None:
    """Have a completion that may run once."""
    tokens = caller.generator.randrange(5, 40)
    prompt = f"rewrite {caller.next_number()} [{tokens} tokens]"
    told = Told(
        kind="rewrite",
        work=digest_work(prompt),
        idempotent=False,
        expected="".join(answer_tokens(prompt, 10_000, LAYERS)),
    )
    body = {"model": "rewrite", "prompt": prompt}
    await run_keyed(
        caller, "/v1/completions", body, told, lambda seen: seen["choices"][0]["text"]
    )


async def run_service_call(caller: Caller) -> None:
    """Make a service call that may run once."""
    body = {"move": caller.next_number()}
    text = json.dumps(body)
    told = Told(
        kind="service call",
        work=digest_work(text),
        idempotent=False,
        expected=text,
    )
    await run_keyed(
        caller, "/services/callsheet/moves", body, told, lambda seen: seen["body"]
    )


#: Kinds of work and how often each is drawn.
KINDS: tuple[tuple[int, Callable[[Caller], Awaitable[None]]], ...] = (
    (4, lambda caller: run_stream(caller, "lookup")),
    (2, lambda caller: run_stream(caller, "chain")),
    (3, run_rewrite),
    (3, run_service_call),
)


async def run_caller(caller: Caller, stop: asyncio.Event) -> None:
    """Do one piece of work after the other until told to stop."""
    weights = [weight for weight, _ in KINDS]
    while not stop.is_set():
        _, run_kind = caller.generator.choices(KINDS, weights)[0]
        await run_kind(caller)
