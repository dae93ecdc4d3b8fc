"""Reads and parses request bodies within limits of size and time."""

import asyncio
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.callers._errors import CallerError
from fulmarward_core.checks import (
    Fault,
    Field,
    describe_faults,
    parse_json,
    read_boolean,
    read_integer,
    read_list_of,
    read_one_of,
    read_optional,
    read_record,
    read_string,
)
from fulmarward_core.results import ResultCode, make_failure

#: Largest number of output tokens that a body may request.
MAX_REQUEST_TOKENS = 1_000_000


@dataclass(frozen=True, kw_only=True)
class CompletionBody:
    """A parsed completion request, independent of its JSON format."""

    pipeline: str
    prompt: str
    #: Maximum number of tokens of the answer, `None` for the pipeline's limit.
    max_tokens: int | None
    #: Whether the answer is sent as server-sent events.
    stream: bool
    #: Whether a streamed answer ends with its token counts.
    include_usage: bool


def _read_content(value: Any, where: str, faults: list[Fault]) -> str | None:  # noqa: ANN401
    """Return a message's content, given as a text or as a list of text parts."""
    if isinstance(value, str):
        return value
    parts = _READ_PARTS(value, where, faults)
    return "".join(parts) if parts and all(parts) else ""


def _make_part(*, type: str, text: str) -> str:  # noqa: A002
    return text


def _make_message(*, role: str, content: str | None, **_: object) -> str:
    return f"{role}: {content or ''}"


def _read_unchecked(value: Any, where: str, faults: list[Fault]) -> Any:  # noqa: ANN401
    return value


_READ_TEXT = read_string(pattern=r"(?s).*")
_READ_PARTS = read_list_of(
    read_record(
        _make_part,
        {
            "type": Field(read=read_one_of({"text": "text"})),
            "text": Field(read=_READ_TEXT),
        },
    ),
    most=1000,
)
_ROLES = ("system", "developer", "user", "assistant", "tool")
_READ_MESSAGES = read_list_of(
    read_record(
        _make_message,
        {
            "role": Field(read=read_one_of({role: role for role in _ROLES})),
            "content": Field(read=read_optional(_read_content), default=None),
            "name": Field(read=_READ_TEXT, default=None),
            "tool_call_id": Field(read=_READ_TEXT, default=None),
            "tool_calls": Field(read=_read_unchecked, default=None),
        },
    ),
    least=1,
    most=10_000,
)
_READ_TOKENS = read_optional(read_integer(least=1, most=MAX_REQUEST_TOKENS))
_SHARED_FIELDS = {
    "model": Field(read=_READ_TEXT),
    "max_tokens": Field(read=_READ_TOKENS, default=None),
    "max_completion_tokens": Field(read=_READ_TOKENS, default=None),
    "stream": Field(read=read_optional(read_boolean()), default=False),
    "stream_options": Field(
        read=read_optional(
            read_record(
                dict, {"include_usage": Field(read=read_boolean(), default=False)}
            )
        ),
        default=None,
    ),
    "n": Field(read=read_optional(read_integer(least=1, most=1)), default=1),
}
#: Members that client libraries may send and that the engines do not support.
_IGNORED_NAMES = (
    "temperature top_p stop user seed presence_penalty frequency_penalty logit_bias "
    "logprobs top_logprobs response_format tools tool_choice metadata store "
    "service_tier best_of echo suffix parallel_tool_calls reasoning_effort"
).split()
_IGNORED_FIELDS = {
    name: Field(read=_read_unchecked, default=None) for name in _IGNORED_NAMES
}


def _make_body(*, prompt: str, **members: Any) -> CompletionBody:  # noqa: ANN401
    options = members["stream_options"] or {}
    limit = members["max_completion_tokens"] or members["max_tokens"]
    return CompletionBody(
        pipeline=members["model"],
        prompt=prompt,
        max_tokens=limit,
        stream=bool(members["stream"]),
        include_usage=options.get("include_usage", False),
    )


def _make_chat_body(*, messages: tuple[str, ...], **members: Any) -> CompletionBody:  # noqa: ANN401
    return _make_body(prompt="\n".join(messages), **members)


_READ_CHAT = read_record(
    _make_chat_body,
    {"messages": Field(read=_READ_MESSAGES), **_SHARED_FIELDS, **_IGNORED_FIELDS},
)
_READ_TEXT_COMPLETION = read_record(
    _make_body, {"prompt": Field(read=_READ_TEXT), **_SHARED_FIELDS, **_IGNORED_FIELDS}
)


async def read_body(instance: Instance, request: web.Request) -> bytes:
    """Return the call's body; raises `CallerError` if it is too large or too slow."""
    limits = instance.settings.limits
    try:
        async with asyncio.timeout(limits.body_ms / 1000):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        detail = f"At most {limits.body_bytes} bytes are taken."
        failure = make_failure(ResultCode.BODY_TOO_LARGE, detail)
        raise CallerError(failure=failure) from error
    except TimeoutError as error:
        detail = f"Expected the whole body within {limits.body_ms} ms."
        failure = make_failure(ResultCode.BODY_TOO_SLOW, detail)
        raise CallerError(failure=failure) from error


def parse_completion_body(raw: bytes, *, is_chat: bool) -> CompletionBody:
    """Parse a completion body; raises `CallerError` that lists every fault."""
    faults: list[Fault] = []
    value = parse_json(raw, "body", faults)
    if not faults:
        read = _READ_CHAT if is_chat else _READ_TEXT_COMPLETION
        body = read(value, "", faults)
    if faults:
        failure = make_failure(ResultCode.BODY_MALFORMED, describe_faults(faults))
        raise CallerError(failure=failure)
    return body
