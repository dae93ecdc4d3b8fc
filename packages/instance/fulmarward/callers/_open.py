"""Opens the answer that a call reads, either a new or an existing one."""

import asyncio
from dataclasses import replace

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.callers._keys import claim_call_key, read_call_key
from fulmarward.keys import (
    hash_body,
    is_home,
    make_local_key,
    open_at_home,
    open_relayed,
)
from fulmarward.requests import CompletionRequest, run_completion
from fulmarward_core.keys import CallerKey


async def open_answer(
    instance: Instance, request: web.Request, work: CompletionRequest
) -> Answer:
    """Start the execution of `work` and return its answer.

    A call with a key reads the answer of that key's request, which its home executes
    once. A request with an issued key is treated as not idempotent.
    """
    key = read_call_key(instance, request, work.team, idempotent=work.idempotent)
    if key is None:
        return _start(instance, work)
    body_hash = hash_body("completion", request.path, await request.read())
    if isinstance(key, CallerKey):
        if work.idempotent:
            key = make_local_key(instance, work.team, key)
            return open_at_home(instance, work, key, body_hash)
        key = await claim_call_key(instance, work.team, key, body_hash)
    work = replace(work, idempotent=False)
    if is_home(instance, key):
        return open_at_home(instance, work, key, body_hash)
    return await open_relayed(instance, work, key, body_hash)


def _start(instance: Instance, work: CompletionRequest) -> Answer:
    answer = Answer(
        request=work.request, team=work.team, prompt_tokens=len(work.prompt.split())
    )
    instance.answers[work.request] = answer
    instance.keep_task(asyncio.create_task(run_completion(instance, work, answer)))
    return answer
