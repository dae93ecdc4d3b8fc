"""The engine's HTTP API; docs/STAND-INS.md lists the calls."""

import asyncio
import json
import time
from collections import deque
from dataclasses import asdict
from typing import Any

from aiohttp import web

from fulmarward_standins._faults import SWITCHES, change_switches, inject_faults
from fulmarward_standins._ledger import LEDGER, Ledger, show_ledger
from fulmarward_standins.engine._batch import Batch, Stream
from fulmarward_standins.engine._cache import PrefixCache
from fulmarward_standins.engine._spec import EngineSpec
from fulmarward_standins.engine._steps import (
    KvCache,
    StepRefusal,
    StepState,
    claim_attempt,
    close_attempt,
    describe_steps,
    export_cache,
    import_cache,
    run_step,
)

#: Seconds between two samples of the load.
REPORT_INTERVAL_S = 0.05

_SPEC: web.AppKey[EngineSpec] = web.AppKey("spec", EngineSpec)
_BATCH: web.AppKey[Batch] = web.AppKey("batch", Batch)
_STEPS: web.AppKey[StepState] = web.AppKey("steps", StepState)
_REPORTS: web.AppKey[deque] = web.AppKey("reports", deque)
_STARTED_AT: web.AppKey[float] = web.AppKey("started", float)
_HELD: web.AppKey[dict[str, Any]] = web.AppKey("held", dict)


def _refuse(error: str, status: int = 503, **members: object) -> web.Response:
    return web.json_response({"error": error, **members}, status=status)


def _find_refusal(app: web.Application, body: dict) -> web.Response | None:
    """Return the refusal of a stream that cannot start, before any side effect."""
    batch, spec, switches = app[_BATCH], app[_SPEC], app[SWITCHES]
    key = (body["request"], body["attempt"])
    if key in batch.closed:
        return _refuse("closed", 409)
    if key in batch.streams:
        return _refuse("exists", 409)
    if switches.get("leaving"):
        return _refuse("leaving")
    if switches.get("refuse"):
        return _refuse("refused")
    held = app[_HELD]
    holds_all_layers = held["layers"] == [0, spec.model_layers]
    if held["model"] != body["model"] or not holds_all_layers:
        return _refuse("not_loaded")
    if body.get("adapter") and body["adapter"] not in held["adapters"]:
        return _refuse("adapter_not_loaded")
    if len(batch.waiting) >= spec.waiting:
        return _refuse("full")
    return None


async def _start_stream(request: web.Request) -> web.StreamResponse:
    """`POST /v1/streams`: start a stream and send its events as JSON lines."""
    body = await request.json()
    refusal = _find_refusal(request.app, body)
    if refusal is not None:
        return refusal
    stream = Stream(
        request=body["request"],
        attempt=body["attempt"],
        team=body["team"],
        prompt=body["prompt"],
        max_tokens=body["max_tokens"],
        urgency=body.get("urgency", 1),
    )
    request.app[LEDGER].record_work(stream.request, stream.attempt, stream.prompt)
    request.app[_BATCH].start(stream)
    return await _send_events(request, stream, 0, body.get("reader", ""))


async def _send_events(
    request: web.Request, stream: Stream, after: int, reader: str
) -> web.StreamResponse:
    """Send a stream's events and count its reader while the connection is open."""
    stream.readers[reader] += 1
    try:
        return await _relay_events(request, stream, after)
    finally:
        stream.readers[reader] -= 1


async def _relay_events(
    request: web.Request, stream: Stream, after: int
) -> web.StreamResponse:
    """Send the events after number `after`; the stream outlives a lost reader.

    Events are numbered from 1; the last has `end` instead of `text`.
    """
    switches = request.app[SWITCHES]
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    sent = after
    while True:
        changed = stream.changed
        lines = [
            _make_event(stream, number + 1, switches)
            for number in range(sent, len(stream.tokens))
        ]
        sent = max(sent, len(stream.tokens))
        is_over = bool(stream.end)
        if is_over:
            end = {"n": len(stream.tokens) + 1, "end": stream.end}
            lines.append({"request": stream.request, "attempt": stream.attempt, **end})
        if lines:
            text = "".join(json.dumps(line) + "\n" for line in lines)
            await response.write(text.encode())
        if is_over:
            return response
        if (
            0 <= switches.get("cut_at_token", -1) <= sent
            and switches.get("cuts", 1) > 0
        ):
            switches["cuts"] = switches.get("cuts", 1) - 1
            request.transport.abort()
            return response
        await changed.wait()


def _make_event(stream: Stream, number: int, switches: dict) -> dict:
    """Return event `number`; the switch `foreign_at` fakes another request's id."""
    is_foreign = switches.get("foreign_at") == number
    return {
        "request": "foreign" if is_foreign else stream.request,
        "attempt": stream.attempt,
        "n": number,
        "text": stream.tokens[number - 1],
    }


async def _resume_stream(request: web.Request) -> web.StreamResponse:
    """`GET /v1/streams/REQUEST/ATTEMPT?after=N`: resume after event N."""
    key = (request.match_info["request"], int(request.match_info["attempt"]))
    stream = request.app[_BATCH].streams.get(key)
    if stream is None:
        return _refuse("unknown", 404, closed=key in request.app[_BATCH].closed)
    after = int(request.query.get("after", "0"))
    return await _send_events(request, stream, after, request.query.get("reader", ""))


async def _cancel_stream(request: web.Request) -> web.Response:
    """`DELETE /v1/streams/REQUEST/ATTEMPT`: cancel it, or block its id if unknown.

    `only_reader=NAME` does not cancel a stream that has another reader.
    """
    key = (request.match_info["request"], int(request.match_info["attempt"]))
    state = request.app[_BATCH].cancel(key, request.query.get("only_reader", ""))
    return web.json_response({"state": state, "up_s": _get_uptime(request.app)})


def _get_uptime(app: web.Application) -> float:
    return round(time.monotonic() - app[_STARTED_AT], 3)


async def _run_step(request: web.Request) -> web.Response:
    """`POST /v1/steps`: run one token through a range of layers.

    `position`, `first_layer` and `last_layer` select the step; `input` is the output
    of the previous range, for layer 0 the last range's output at the previous
    position. At position 0 the first and the last range also get `prompt` and
    `max_tokens`. The last range returns the token's `text`, and `end` with the last
    token.
    """
    body = await request.json()
    held, switches = request.app[_HELD], request.app[SWITCHES]
    first, end = held["layers"]
    is_held = first <= body["first_layer"] <= body["last_layer"] < end
    is_other = any(
        body.get(member) not in (None, held[member]) for member in ("model", "version")
    )
    if not is_held or is_other:
        return _refuse("not_loaded")
    for switch in ("leaving", "refuse"):
        if switches.get(switch) and body["position"] == 0:
            return _refuse(switch)
    await asyncio.sleep(switches.get("step_ms", 0) / 1000)
    state = request.app[_STEPS]
    result = run_step(state, body)
    if isinstance(result, StepRefusal):
        return _refuse(result.error, 409, expected=result.expected)
    return web.json_response(describe_steps(state, result, body["position"] - 1)[0])


def _get_cache(request: web.Request) -> tuple[tuple[str, int, int], KvCache | None]:
    info = request.match_info
    key = (info["request"], int(info["attempt"]), int(info["first"]))
    return key, request.app[_STEPS].caches.get(key)


async def _read_step(request: web.Request) -> web.Response:
    """`GET /v1/steps/REQUEST/ATTEMPT/FIRST?after=P`: the outputs of steps after P.

    `term=N` claims the attempt: older drivers can no longer run steps or close it.
    """
    key, cache = _get_cache(request)
    claim_attempt(request.app[_STEPS], key[:2], int(request.query.get("term", "0")))
    if cache is None:
        return _refuse("no_cache", 404)
    after = int(request.query.get("after", "-1"))
    steps = describe_steps(request.app[_STEPS], cache, after)
    return web.json_response({"steps": steps})


async def _close_steps(request: web.Request) -> web.Response:
    """`DELETE /v1/steps/REQUEST/ATTEMPT`: refuse all later steps.

    `term=N` does not close an attempt that a newer driver has claimed.
    """
    info = request.match_info
    key = (info["request"], int(info["attempt"]))
    term = request.query.get("term")
    state = close_attempt(request.app[_STEPS], key, None if term is None else int(term))
    return web.json_response({"state": state, "up_s": _get_uptime(request.app)})


async def _export_cache(request: web.Request) -> web.Response:
    """`GET /v1/kv/REQUEST/ATTEMPT/FIRST`: export and remove a KV cache."""
    key, cache = _get_cache(request)
    if cache is None:
        return _refuse("no_cache", 404)
    export_cache(request.app[_STEPS], key)
    return web.json_response(asdict(cache))


async def _import_cache(request: web.Request) -> web.Response:
    """`PUT /v1/kv/REQUEST/ATTEMPT/FIRST`: import a KV cache."""
    key, cache = _get_cache(request)
    first, end = request.app[_HELD]["layers"]
    body = await request.json()
    if cache is not None:
        return _refuse("exists", 409)
    is_held = first <= body["first_layer"] < body["end_layer"] <= end
    is_other = body["version"] not in ("", request.app[_HELD]["version"])
    if not is_held or is_other:
        return _refuse("not_loaded")
    if request.app[SWITCHES].get("leaving"):
        return _refuse("leaving")
    import_cache(request.app[_STEPS], key, KvCache(**body))
    return web.json_response({"position": len(body["outputs"]) - 1})


async def _show_load(request: web.Request) -> web.Response:
    """`GET /v1/load`: the load as of `load_lag_s` seconds ago."""
    app = request.app
    lag = app[SWITCHES].get("load_lag_s", app[_SPEC].load_lag_s)
    horizon = time.monotonic() - lag
    delayed_load = {"running": 0, "waiting": 0}
    for taken_at, report in app[_REPORTS]:
        if taken_at <= horizon:
            delayed_load = report
    fake_load = app[SWITCHES].get("lie")
    load = fake_load or delayed_load
    leaving = bool(app[SWITCHES].get("leaving"))
    return web.json_response(
        {"slots": app[_SPEC].slots, **load, "leaving": leaving, "held": app[_HELD]}
    )


async def _list_events(request: web.Request) -> web.Response:
    """`GET /v1/cache-events?after=S`: changes of the prefix cache."""
    cache = request.app[_BATCH].cache
    events = cache.list_events(int(request.query.get("after", "0")))
    return web.json_response({"events": events, "block_words": 16})


async def _apply_order(request: web.Request) -> web.Response:
    """`PUT /v1/held`: load what `wanted` lists, unless its fencing number is old."""
    app, body = request.app, await request.json()
    held = app[_HELD]
    if app[_SPEC].checks_fencing and body["fencing"] < held["fencing"]:
        return _refuse("old_fencing", 409, fencing=held["fencing"])
    wanted = body["wanted"]
    held["fencing"] = max(held["fencing"], body["fencing"])
    held["orders"] += 1
    needs_load = any(
        wanted[member] != held[member] for member in ("model", "version", "layers")
    )
    if needs_load:
        held["loading"] = True
        await asyncio.sleep(app[_SPEC].load_ms / 1000)
    held.update(wanted, loading=False)
    return web.json_response({"held": held})


async def _show_held(request: web.Request) -> web.Response:
    """`GET /v1/held`: the model, layers and adapters that the engine holds."""
    return web.json_response({"held": request.app[_HELD]})


async def _collect_reports(app: web.Application) -> Any:  # noqa: ANN401
    async def take_reports() -> None:
        while True:
            batch = app[_BATCH]
            load = {"running": len(batch.running), "waiting": len(batch.waiting)}
            app[_REPORTS].append((time.monotonic(), load))
            await asyncio.sleep(REPORT_INTERVAL_S)

    task = asyncio.create_task(take_reports())
    yield
    task.cancel()
    for running in list(app[_BATCH].tasks):
        running.cancel()


def make_engine_app(spec: EngineSpec) -> web.Application:
    """Return the engine's web application."""
    app = web.Application(middlewares=[inject_faults], client_max_size=8 * 1024 * 1024)
    app[_SPEC] = spec
    app[_STARTED_AT] = time.monotonic()
    app[SWITCHES] = {}
    app[LEDGER] = Ledger(spec.ledger_file)
    cache = PrefixCache(spec=spec, read_clock=time.monotonic)
    app[_BATCH] = Batch(
        spec=spec, ledger=app[LEDGER], cache=cache, switches=app[SWITCHES]
    )
    app[_STEPS] = StepState(ledger=app[LEDGER], model_layers=spec.model_layers)
    app[_REPORTS] = deque(maxlen=400)
    app[_HELD] = {
        "model": spec.model,
        "version": spec.version,
        "layers": list(spec.layers),
        "adapters": list(spec.adapters),
        "role": "serving",
        "fencing": 0,
        "orders": 0,
        "loading": False,
    }
    app.cleanup_ctx.append(_collect_reports)
    stream = "/v1/streams/{request}/{attempt}"
    cache_path = "/v1/kv/{request}/{attempt}/{first}"
    app.add_routes(
        [
            web.post("/v1/streams", _start_stream),
            web.get(stream, _resume_stream),
            web.delete(stream, _cancel_stream),
            web.post("/v1/steps", _run_step),
            web.get("/v1/steps/{request}/{attempt}/{first}", _read_step),
            web.delete("/v1/steps/{request}/{attempt}", _close_steps),
            web.get(cache_path, _export_cache),
            web.put(cache_path, _import_cache),
            web.get("/v1/load", _show_load),
            web.get("/v1/cache-events", _list_events),
            web.put("/v1/held", _apply_order),
            web.get("/v1/held", _show_held),
            web.get("/ledger", show_ledger),
            web.post("/control", change_switches),
        ]
    )
    return app
