"""Callers that follow the guide: they retry with a key and resume by event id."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp

from fulmarward_standins._ledger import digest_work
from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.faults._work_records import Outcome, WorkRecord
from fulmarward_standins.harness import Fleet, SseEvent, make_team_key, read_stream

#: Layers of the stand-in models.
LAYERS = 24

#: Maximum number of calls for one request before its caller gives up.
MAX_CALLS = 12

#: Timeout of one call, in seconds; a frozen instance never answers.
CALL_TIMEOUT_S = 6.0

#: Seconds between two calls when the response does not say how long to wait.
RETRY_DELAY_S = 0.3


#: Result numbers after which the caller retries with the same key.
RETRYABLE_RESULTS = (2012, 2013)


@dataclass(kw_only=True)
class Caller:
    """State of one simulated caller."""

    fleet: Fleet
    generator: random.Random
    #: Returns a number that makes each request unique.
    next_number: Callable[[], int]
    records: list[WorkRecord] = field(default_factory=list)

    def get_random_url(self, path: str) -> str:
        """Return a URL at a random instance, as from a cached discovery response."""
        names = [item.name for item in self.fleet.plan.instances]
        return self.fleet.get_url(self.generator.choice(names), path)


@dataclass(frozen=True, kw_only=True)
class _CallReply:
    """Response to one call."""

    status: int
    body: dict
    request: str


async def fetch_key(caller: Caller) -> str:
    """Return a new idempotency key from discovery, empty if no instance answers."""
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    for _ in range(MAX_CALLS):
        try:
            async with caller.fleet.session.get(
                caller.get_random_url("/discovery"),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S / 3),
            ) as response:
                if response.status == 200:
                    prefix = (await response.json())["idempotency_key_prefix"]
                    return f"{prefix}{caller.generator.getrandbits(64):x}"
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(RETRY_DELAY_S)
    return ""


def _record_failure(record: WorkRecord, body: dict) -> None:
    record.outcome = Outcome(body["ran"])
    record.result = body["result"]


async def run_stream(caller: Caller, pipeline: str) -> None:
    """Stream a completion of an idempotent pipeline and resume it where it was cut."""
    tokens = caller.generator.randrange(5, 60)
    prompt = f"work {caller.next_number()} [{tokens} tokens]"
    record = WorkRecord(
        kind=f"stream {pipeline}",
        work=digest_work(prompt),
        idempotent=True,
        expected="".join(answer_tokens(prompt, 10_000, LAYERS)),
    )
    caller.records.append(record)
    events: list[SseEvent] = []
    while record.calls < MAX_CALLS and record.outcome is Outcome.GAVE_UP:
        record.calls += 1
        await _call_stream(caller, record, pipeline, prompt, events)
        if record.outcome is Outcome.GAVE_UP:
            await asyncio.sleep(RETRY_DELAY_S)


async def _call_stream(
    caller: Caller,
    record: WorkRecord,
    pipeline: str,
    prompt: str,
    events: list[SseEvent],
) -> None:
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    if events:
        headers["Last-Event-ID"] = events[-1].id
    try:
        async with caller.fleet.session.post(
            caller.get_random_url("/v1/completions"),
            json={"model": pipeline, "prompt": prompt, "stream": True},
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=None, sock_read=CALL_TIMEOUT_S),
        ) as response:
            record.requests.append(response.headers.get("X-Request-Id", ""))
            if response.content_type != "text/event-stream":
                _record_failure(record, await response.json())
                return
            async for event in read_stream(response):
                _handle_event(record, event, events)
    except (aiohttp.ClientError, TimeoutError):
        return


def _handle_event(record: WorkRecord, event: SseEvent, events: list[SseEvent]) -> None:
    if event.kind == "error":
        _record_failure(record, json.loads(event.data))
    elif event.data == "[DONE]":
        record.outcome = Outcome.WHOLE
        record.answer = "".join(item.text for item in events)
    elif event.id:
        events.append(event)


async def run_keyed(
    caller: Caller,
    path: str,
    body: dict,
    record: WorkRecord,
    read: Callable[[dict], str],
) -> None:
    """Call with an issued key and retry with the same key until an outcome is known."""
    caller.records.append(record)
    key = record.key = await fetch_key(caller)
    if not key:
        return
    while record.calls < MAX_CALLS and record.outcome is Outcome.GAVE_UP:
        record.calls += 1
        reply = await _call_once(caller, path, body, key)
        if reply is None or reply.body.get("result") in RETRYABLE_RESULTS:
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        record.requests.append(reply.request)
        if reply.status == 200:
            record.outcome = Outcome.WHOLE
            record.answer = read(reply.body)
        elif "ran" in reply.body:
            _record_failure(record, reply.body)


async def _call_once(
    caller: Caller, path: str, body: dict, key: str
) -> _CallReply | None:
    headers = {
        "Authorization": f"Bearer {make_team_key('folha')}",
        "Idempotency-Key": key,
    }
    try:
        async with caller.fleet.session.post(
            caller.get_random_url(path),
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as response:
            return _CallReply(
                status=response.status,
                body=await response.json(),
                request=response.headers.get("X-Request-Id", ""),
            )
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


async def run_rewrite(caller: Caller) -> None:
    """Request a completion that may run at most once."""
    tokens = caller.generator.randrange(5, 40)
    prompt = f"rewrite {caller.next_number()} [{tokens} tokens]"
    record = WorkRecord(
        kind="rewrite",
        work=digest_work(prompt),
        idempotent=False,
        expected="".join(answer_tokens(prompt, 10_000, LAYERS)),
    )
    body = {"model": "rewrite", "prompt": prompt}
    await run_keyed(
        caller,
        "/v1/completions",
        body,
        record,
        lambda reply: reply["choices"][0]["text"],
    )


async def run_service_call(caller: Caller) -> None:
    """Make a service call that may run at most once."""
    body = {"move": caller.next_number()}
    text = json.dumps(body)
    record = WorkRecord(
        kind="service call",
        work=digest_work(text),
        idempotent=False,
        expected=text,
    )
    await run_keyed(
        caller, "/services/callsheet/moves", body, record, lambda reply: reply["body"]
    )


#: Kinds of requests, each with its weight in the random choice.
KINDS: tuple[tuple[int, Callable[[Caller], Awaitable[None]]], ...] = (
    (4, lambda caller: run_stream(caller, "lookup")),
    (2, lambda caller: run_stream(caller, "chain")),
    (3, run_rewrite),
    (3, run_service_call),
)


async def run_caller(caller: Caller, stop: asyncio.Event) -> None:
    """Make random requests one after another until `stop` is set."""
    weights = [weight for weight, _ in KINDS]
    while not stop.is_set():
        _, run_kind = caller.generator.choices(KINDS, weights)[0]
        await run_kind(caller)
