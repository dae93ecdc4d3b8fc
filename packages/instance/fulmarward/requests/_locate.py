"""Locators of running requests, and the reader name of this instance."""

from fulmarward._instance import Instance
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward_core.streams import Locator, Stage, digest_prompt, seal_locator


def make_reader_name(instance: Instance) -> str:
    """Return the reader name sent to engines, unique to this run of the instance."""
    return f"{instance.settings.name}.{instance.member.boot}"


def make_locator(
    instance: Instance, work: CompletionRequest, attempt: int, stages: tuple[Stage, ...]
) -> str:
    """Return the sealed locator of an attempt, which lets any instance resume it."""
    remaining = work.deadline - instance.read_clock()
    locator = Locator(
        request=work.request,
        attempt=attempt,
        stages=stages,
        pipeline=work.pipeline_name,
        epoch=work.snapshot.head.epoch,
        deadline_at=round(instance.read_wall_clock() + remaining, 3),
        digest=digest_prompt(work.prompt),
        idempotent=work.idempotent,
    )
    secret = instance.secrets.derive_key("locators")
    return seal_locator(locator, team=work.team, secret=secret)
