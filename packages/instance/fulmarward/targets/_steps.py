"""The engines' protocol for layer pipelines: steps, their results, KV caches.

As in `_engine`, "refused" is said only when the engine itself answered that it did
not run the step, or when no connection was made; "broken" leaves it open.
"""

from dataclasses import dataclass

import aiohttp

from fulmarward.targets._engine import SHORT_CALL_S, StreamBroken, StreamUnknown
from fulmarward_core.streams import Stage

#: Seconds for one step. Harm: a frozen stage holds its callers; reason: a later
#: token's step takes some milliseconds, and one that takes longer is read back.
STEP_S = 3.0

#: The same for position 0, which reads the prompt and may be sent only once.
FIRST_STEP_S = 10.0


@dataclass(frozen=True, kw_only=True)
class StepOrder:
    """One token's pass through one stage."""

    #: Id of the request and number of the attempt.
    request: str
    attempt: int
    #: Name of the team, for the engine's records.
    team: str
    #: The driver's term; a stage refuses a step of an older driver than it knows.
    term: int
    #: Name of the model, of the adapter, if any, and of the version that all stages
    #: must hold; `None` where the attempt has begun and its caches are of one.
    model: str
    adapter: str | None
    version: str | None
    #: The token's position, from 0.
    position: int
    #: First layer and the last, both included.
    first_layer: int
    last_layer: int
    #: What the stage before gave; opaque. Absent at position 0 of the first stage.
    input: object
    #: Prompt and most tokens for the first and the last stage at position 0.
    prompt: str | None
    max_tokens: int | None


@dataclass(frozen=True, kw_only=True)
class StepDone:
    """What a step gave."""

    #: The token's position.
    position: int
    #: The value for the next stage; opaque.
    output: object
    #: The token's text and how the answer ends; empty but at the last stage.
    text: str = ""
    end: str = ""


@dataclass(frozen=True, kw_only=True)
class StepRefused:
    """The step was not run by this call."""

    #: What the engine said, or why there was no connection.
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


#: What can go wrong in a call: no connection, a lost one, an answer not understood.
_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError)


def _make_timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s, sock_connect=SHORT_CALL_S / 2)


async def run_step(
    session: aiohttp.ClientSession, address: str, order: StepOrder
) -> StepDone | StepRefused | StreamBroken:
    """Run a step on the engine at `address`."""
    url = f"http://{address}/v1/steps"
    total_s = STEP_S if order.position else FIRST_STEP_S
    try:
        async with session.post(
            url, json=vars(order), timeout=_make_timeout(total_s)
        ) as response:
            body = await response.json()
            if response.status != 200:
                return StepRefused(error=body["error"])
            return StepDone(**body)
    except _ERRORS as error:
        return _describe_error(error)


def _name_cache(request: str, attempt: int, stage: Stage) -> str:
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
    """Return what the steps after position `after` gave, and claim the attempt.

    The claim keeps older drivers out: their steps and their closing are refused.
    """
    url = f"http://{address}/v1/steps/{_name_cache(request, attempt, stage)}"
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
    except _ERRORS as error:
        return StreamBroken(detail=type(error).__name__)


async def close_steps(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    term: int,
) -> str | StreamBroken:
    """Refuse all later steps of an attempt, and free its caches.

    An attempt that a driver with a newer `term` has claimed goes on: see
    `cancel_stream`, whose guard is the same.
    """
    url = f"http://{address}/v1/steps/{request}/{attempt}"
    params = {"term": str(term)}
    try:
        async with session.delete(
            url, params=params, timeout=_make_timeout(SHORT_CALL_S)
        ) as response:
            return (await response.json())["state"]
    except _ERRORS as error:
        return StreamBroken(detail=type(error).__name__)


async def export_cache(
    session: aiohttp.ClientSession,
    address: str,
    *,
    request: str,
    attempt: int,
    stage: Stage,
) -> bytes | StepRefused | StreamBroken:
    """Take a KV cache out of an engine, which refuses its steps from then on."""
    url = f"http://{address}/v1/kv/{_name_cache(request, attempt, stage)}"
    try:
        async with session.get(url, timeout=_make_timeout(STEP_S)) as response:
            if response.status != 200:
                return StepRefused(error=f"status {response.status}")
            return await response.read()
    except _ERRORS as error:
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
    """Put a KV cache into an engine; `None` when it has it."""
    url = f"http://{address}/v1/kv/{_name_cache(request, attempt, stage)}"
    headers = {"Content-Type": "application/json"}
    try:
        async with session.put(
            url, data=cache, headers=headers, timeout=_make_timeout(STEP_S)
        ) as response:
            if response.status == 200:
                return None
            return StepRefused(error=(await response.json())["error"])
    except _ERRORS as error:
        return _describe_error(error)
