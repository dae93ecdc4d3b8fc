"""The JSON formats of completions that client libraries expect."""

import json
from dataclasses import dataclass

from fulmarward.answers import Answer
from fulmarward_core.streams import TextDigest, make_event_id


@dataclass(frozen=True, kw_only=True)
class Shape:
    """One of the two JSON formats of a completion."""

    #: The `object` member of a whole answer.
    whole_object: str
    #: The `object` member of a streamed part.
    part_object: str
    #: Prefix of an answer's id.
    id_prefix: str
    #: Whether texts are wrapped in messages.
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
    """The members that are the same in every part of an answer."""

    shape: Shape
    #: Id of the request.
    request: str
    #: Start of the answer in seconds since 1970.
    created: int
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


#: Placeholder for the text while a part is rendered as a template.
_TEXT_PLACEHOLDER = "\u0001text\u0001"


@dataclass(frozen=True, kw_only=True)
class PartTemplate:
    """The JSON around a text, rendered once per answer so that a token costs a join."""

    before: str
    after: str


def make_template(head: AnswerHead) -> PartTemplate:
    """Return the template of an answer's streamed parts."""
    content = (
        {"delta": {"content": _TEXT_PLACEHOLDER}}
        if head.shape.is_chat
        else {"text": _TEXT_PLACEHOLDER}
    )
    choice = {"index": 0, **content, "logprobs": None, "finish_reason": None}
    before, after = _render_part(head, [choice]).split(json.dumps(_TEXT_PLACEHOLDER))
    return PartTemplate(before="\ndata: " + before, after=after + "\n\n")


def render_texts(
    template: PartTemplate,
    locator: str,
    texts: list[str],
    first_number: int,
    digest: TextDigest,
) -> bytes:
    """Return the server-sent events of `texts`, the first numbered `first_number`.

    `digest` must already include all texts before them.
    """
    parts = []
    for number, text in enumerate(texts, first_number):
        parts.append(f"id: {make_event_id(locator, number, digest.add(text))}")
        parts.append(template.before)
        parts.append(json.dumps(text))
        parts.append(template.after)
    return "".join(parts).encode()


def render_start(head: AnswerHead, locator: str) -> bytes:
    """Return event 0, which carries the locator once a target has the request."""
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
    """Return the final events numbered above `after`: the finish reason and `[DONE]`.

    An answer is complete only with `[DONE]`; without it the caller knows that the
    stream was cut.
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
