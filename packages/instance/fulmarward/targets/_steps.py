"""Client for the layer-pipeline protocol of engines: steps, results, KV caches.

As in `_engine`, a "refused" result means that the engine replied that it did not run
the step, or that no connection was made; "broken" leaves the outcome open.
"""

from dataclasses import dataclass

import aiohttp

from fulmarward.targets._engine import (
    CALL_ERRORS,
    SHORT_CALL_S,
    StreamBroken,
    StreamUnknown,
)
from fulmarward_core.streams import Stage

#: Timeout of one step, in seconds, so that a frozen stage does not hold its callers. A
#: step of a later token takes some milliseconds; the result of a slower one is read
#: afterwards.
STEP_TIMEOUT_S = 3.0

#: Timeout of position 0, which processes the prompt and may be sent only once.
FIRST_STEP_TIMEOUT_S = 10.0


@dataclass(frozen=True, kw_only=True)
class StepRequest:
    """One token's pass through one stage."""

    #: Id of the request and number of the attempt.
    request: str
    attempt: int
    #: Name of the team, for the engine's logs.
    team: str
    #: The driver's term; a stage refuses steps with a term older than it has seen.
    term: int
    #: Name of the model, of the adapter, if any, and of the version that all stages
    #: must hold; `None` once the attempt has started, whose caches share a version.
    model: str
    adapter: str | None
    version: str | None
    #: The token's position, from 0.
    position: int
    #: The first and the last layer, both inclusive.
    first_layer: int
    last_layer: int
    #: Output of the previous stage, opaque; `None` at position 0 of the first stage.
    input: object
    #: Prompt and token limit, sent to the first and the last stage at position 0.
    prompt: str | None
    max_tokens: int | None


@dataclass(frozen=True, kw_only=True)
class StepDone:
    """The result of a step."""

    #: The token's position.
    position: int
    #: The input of the next stage, opaque.
    output: object
    #: The token's text and how the answer ends; set only by the last stage.
    text: str = ""
    end: str = ""


@dataclass(frozen=True, kw_only=True)
class StepRefused:
    """This call did not run the step."""

    #: The engine's error, or the connection error.
    error: str
    #: Whether no connection could be made.
    is_unreachable: bool = False


def _describe_error(error: Exception) -> StepRefused | StreamBroken:
    name = type(error).__name__
    if isinstance(
        error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    ):
        return StepRefused(error=name, is_unreachable=True)
    return StreamBroken(detail=name)


def _make_timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s, sock_connect=SHORT_CALL_S / 2)


async def run_step(
    session: aiohttp.ClientSession, address: str, step_request: StepRequest
) -> StepDone | StepRefused | StreamBroken:
    """Run a step on the engine at `address`."""
    url = f"http://{address}/v1/steps"
    total_s = STEP_TIMEOUT_S if step_request.position else FIRST_STEP_TIMEOUT_S
    try:
        async with session.post(
            url, json=vars(step_request), timeout=_make_timeout(total_s)
        ) as response:
            body = await response.json()
            if response.status != 200:
                return StepRefused(error=body["error"])
            return StepDone(**body)
    except CALL_ERRORS as error:
        return _describe_error(error)


def _format_cache_path(request: str, attempt: int, stage: Stage) -> str:
    return f"{request}/{attempt}/{stage.layers[0]}"


async def read_steps(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    stage: Stage,
    after: int,
    term: int,
) -> tuple[StepDone, ...] | StreamUnknown | StreamBroken:
    """Return the results of the steps after position `after`, and claim the attempt.

    After the claim, steps and closes from drivers with an older term are refused.
    """
    url = f"http://{address}/v1/steps/{_format_cache_path(request, attempt, stage)}"
    try:
        async with session.get(
            url,
            params={"after": str(after), "term": str(term)},
            timeout=_make_timeout(SHORT_CALL_S),
        ) as response:
            if response.status == 404:
                return StreamUnknown()
            body = await response.json()
            return tuple(StepDone(**item) for item in body["steps"])
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)


async def close_steps(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    term: int,
) -> str | StreamBroken:
    """Close an attempt: free its caches and have all later steps refused.

    An attempt that a driver with a newer `term` has claimed stays open, for the reason
    given for `only_reader` in `cancel_stream`.
    """
    url = f"http://{address}/v1/steps/{request}/{attempt}"
    params = {"term": str(term)}
    try:
        async with session.delete(
            url, params=params, timeout=_make_timeout(SHORT_CALL_S)
        ) as response:
            return (await response.json())["state"]
    except CALL_ERRORS as error:
        return StreamBroken(detail=type(error).__name__)


async def export_cache(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    stage: Stage,
) -> bytes | StepRefused | StreamBroken:
    """Take a KV cache out of an engine, which then refuses further steps on it."""
    url = f"http://{address}/v1/kv/{_format_cache_path(request, attempt, stage)}"
    try:
        async with session.get(url, timeout=_make_timeout(STEP_TIMEOUT_S)) as response:
            if response.status != 200:
                return StepRefused(error=f"status {response.status}")
            return await response.read()
    except CALL_ERRORS as error:
        return _describe_error(error)


async def import_cache(
    session: aiohttp.ClientSession,
    address: str,
    cache: bytes,
    *,
    request: str,
    attempt: int,
    stage: Stage,
) -> StepRefused | StreamBroken | None:
    """Load a KV cache into an engine; return `None` on success."""
    url = f"http://{address}/v1/kv/{_format_cache_path(request, attempt, stage)}"
    headers = {"Content-Type": "application/json"}
    try:
        async with session.put(
            url, data=cache, headers=headers, timeout=_make_timeout(STEP_TIMEOUT_S)
        ) as response:
            if response.status == 200:
                return None
            return StepRefused(error=(await response.json())["error"])
    except CALL_ERRORS as error:
        return _describe_error(error)
