"""Opening the answer that a call reads: a new one, or one that is there already."""

import asyncio

from aiohttp import web

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.requests import Work, run_completion


async def open_answer(instance: Instance, request: web.Request, work: Work) -> Answer:
    """Return the answer to `work`, whose execution has been started."""
    answer = Answer(
        request=work.request, team=work.team, prompt_tokens=len(work.prompt.split())
    )
    instance.answers[work.request] = answer
    instance.keep_task(asyncio.create_task(run_completion(instance, work, answer)))
    return answer
