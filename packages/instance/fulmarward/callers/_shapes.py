"""The JSON shapes of completions, as callers' client libraries know them."""

import json
from dataclasses import dataclass

from fulmarward.answers import Answer
from fulmarward_core.streams import TextDigest, make_event_id


@dataclass(frozen=True, kw_only=True)
class Shape:
    """One of the two shapes that a completion is told in."""

    #: `chat.completion` or `text_completion`.
    whole_object: str
    #: The same for a streamed part.
    part_object: str
    #: First letters of an answer's id.
    id_prefix: str
    #: Whether texts stand in messages.
    is_chat: bool


CHAT_SHAPE = Shape(
    whole_object="chat.completion",
    part_object="chat.completion.chunk",
    id_prefix="chatcmpl-",
    is_chat=True,
)
TEXT_SHAPE = Shape(
    whole_object="text_completion",
    part_object="text_completion",
    id_prefix="cmpl-",
    is_chat=False,
)


@dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """What every part of one answer repeats."""

    #: The shape.
    shape: Shape
    #: Id of the request.
    request: str
    #: Seconds since 1970 when the answer began.
    created: int
    #: Name of the pipeline.
    pipeline: str


def _count_usage(answer: Answer) -> dict[str, int]:
    prompt, output = answer.prompt_tokens, len(answer.texts)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
    }


def render_whole(head: AnswerHead, answer: Answer) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    text = "".join(answer.texts)
    content = (
        {"message": {"role": "assistant", "content": text, "refusal": None}}
        if head.shape.is_chat
        else {"text": text}
    )
    return {
        "id": head.shape.id_prefix + head.request,
        "object": head.shape.whole_object,
        "created": head.created,
        "model": head.pipeline,
        "choices": [
            {"index": 0, **content, "logprobs": None, "finish_reason": answer.end}
        ],
        "usage": _count_usage(answer),
    }


def _render_part(head: AnswerHead, choices: list, **members: object) -> str:
    part = {
        "id": head.shape.id_prefix + head.request,
        "object": head.shape.part_object,
        "created": head.created,
        "model": head.pipeline,
        "choices": choices,
        **members,
    }
    return json.dumps(part, separators=(",", ":"))


#: Stands where a text goes while a part is made into a template.
_MARK = "\u0001text\u0001"


@dataclass(frozen=True, kw_only=True)
class PartTemplate:
    """The bytes around a text, made once for an answer: each token costs a join."""

    before: str
    after: str


def make_template(head: AnswerHead) -> PartTemplate:
    """Return the template of an answer's streamed parts."""
    content = {"delta": {"content": _MARK}} if head.shape.is_chat else {"text": _MARK}
    choice = {"index": 0, **content, "logprobs": None, "finish_reason": None}
    before, after = _render_part(head, [choice]).split(json.dumps(_MARK))
    return PartTemplate(before="\ndata: " + before, after=after + "\n\n")


def render_texts(
    template: PartTemplate,
    locator: str,
    texts: list[str],
    first_number: int,
    digest: TextDigest,
) -> bytes:
    """Return the server-sent events of `texts`, the first numbered `first_number`.

    `digest` has taken in all texts before them.
    """
    parts = []
    for number, text in enumerate(texts, first_number):
        parts.append(f"id: {make_event_id(locator, number, digest.add(text))}")
        parts.append(template.before)
        parts.append(json.dumps(text))
        parts.append(template.after)
    return "".join(parts).encode()


def render_start(head: AnswerHead, locator: str) -> bytes:
    """Return event 0, sent when a target has the request: it carries the locator."""
    content = (
        {"delta": {"role": "assistant", "content": ""}}
        if head.shape.is_chat
        else {"text": ""}
    )
    choice = {"index": 0, **content, "logprobs": None, "finish_reason": None}
    part = _render_part(head, [choice])
    return f"id: {make_event_id(locator, 0)}\ndata: {part}\n\n".encode()


def render_end(
    head: AnswerHead,
    answer: Answer,
    locator: str,
    *,
    include_usage: bool,
    after: int = 0,
) -> bytes:
    """Return the last events that come `after`: the reason for the end, and `[DONE]`.

    Only after `[DONE]` is the answer whole; a caller without it knows it was cut.
    """
    content = {"delta": {}} if head.shape.is_chat else {"text": ""}
    choice = {"index": 0, **content, "logprobs": None, "finish_reason": answer.end}
    parts = [_render_part(head, [choice])]
    if include_usage:
        parts.append(_render_part(head, [], usage=_count_usage(answer)))
    events = "".join(
        f"id: {make_event_id(locator, number)}\ndata: {part}\n\n"
        for number, part in enumerate(parts, len(answer.texts) + 1)
        if number > after
    )
    return (events + "data: [DONE]\n\n").encode()
