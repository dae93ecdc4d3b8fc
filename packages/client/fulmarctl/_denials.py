"""Why instances rejected a request, from the records that they keep in memory."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from fulmarctl._client import Reply
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Exit statuses of `explain`, by whether a record was found and all instances answered.
EXIT_STATUSES = {
    (True, True): 0,
    (True, False): 0,
    (False, True): 1,
    (False, False): 2,
}


def _explain_estimate(denial: Mapping[str, Any]) -> str:
    estimate_s = denial.get("estimate_s")
    if estimate_s is None:
        return (
            "Its wait had no foreseeable end: requests of higher classes arrive faster "
            "than capacity is released."
        )
    return (
        f"Its estimated wait of {estimate_s} s was too long for the time that it could "
        "still wait."
    )


def _explain_room(denial: Mapping[str, Any]) -> str:
    waited = f"It waited {denial.get('waited_s')} s and no path had room"
    share = denial.get("kv_share")
    team_share = denial.get("team_share")
    if share is not None and team_share is not None and share == team_share < 1:
        return (
            f"{waited} in the share {share} of KV cache that teams which use less "
            "leave to its team."
        )
    above = ("waiting_above_kv", "arriving_above_kv_per_s")
    if share is None or share >= 1 or not any(denial.get(name) for name in above):
        return f"{waited}."
    return f"{waited} in the share {share} of KV cache that higher classes leave to it."


def _explain_early_return(denial: Mapping[str, Any]) -> str:
    return (
        "Its caller returned before the end of its retry delay and there was no "
        f"capacity; the new delay is {denial.get('return_s')} s."
    )


def _make_constant(sentence: str) -> Callable[[Mapping[str, Any]], str]:
    def explain(denial: Mapping[str, Any]) -> str:
        return sentence

    return explain


_explain_limit = _make_constant(
    "All targets that could serve it had been sent as many requests as they accept."
)

#: Sentences by what a request lacked, which precede those by cause.
_BY_SHORTAGE = {
    "pipe": _make_constant(
        "The link between data centres was full, and no path within one had room."
    ),
    "layers": _make_constant("Some layers of the model were on no usable target."),
    "limit": _explain_limit,
}
_BY_CAUSE = {
    "no path will have room in time": _explain_estimate,
    "no path has room": _explain_room,
    "returned before its retry delay": _explain_early_return,
    "all targets are limited": _explain_limit,
    "full": _make_constant("All targets of the service were full while it waited."),
    "no target": _make_constant("The service had no usable target."),
    "no other target": _make_constant(
        "A target rejected it, and the service had no other usable target."
    ),
    "no more attempts": _make_constant(
        "Targets rejected it, and it was allowed no further attempt."
    ),
    "no more peers": _make_constant(
        "No target of the service answered the instance, the peers that it asked did"
        " not serve it, and it was allowed no further attempt."
    ),
    "no target answers": _make_constant(
        "No target of the service answered the instance, and no peer served it."
    ),
    "relayed": _make_constant(
        "No target of the service answered the instance, to which a peer relayed it."
    ),
    "stopping": _make_constant("The instance was stopping."),
}


def explain_denial(denial: Mapping[str, Any]) -> str:
    """Return a sentence with the deciding factor of a rejection.

    A cause that only newer instances know is given as it is.
    """
    explain = _BY_SHORTAGE.get(denial.get("shortage")) or _BY_CAUSE.get(
        denial.get("cause")
    )
    return f"Cause: {denial.get('cause')}." if explain is None else explain(denial)


def _check_reply(reply: Reply | Failure, address: str) -> Reply | Failure:
    """Return a failure in place of a reply without records, else the reply itself."""
    if isinstance(reply, Failure):
        return reply
    body = reply.body if isinstance(reply.body, dict) else {}
    denials = body.get("denials")
    if isinstance(denials, list) and all(isinstance(item, dict) for item in denials):
        return reply
    detail = f"{address}: expected records of rejections, found another response."
    return make_failure(ResultCode.INSTANCE_UNREACHABLE, detail)


def summarize_denials(
    addresses: Sequence[str], replies: Sequence[Reply | Failure]
) -> tuple[dict[str, Any], int]:
    """Return the explained records of all instances, and the exit status.

    `replies` are those to `/denials`, in the order of `addresses`. The records of an
    instance are listed the newest first.
    """
    checked = [
        (address, _check_reply(reply, address))
        for address, reply in zip(addresses, replies, strict=True)
    ]
    bodies = {a: reply.body for a, reply in checked if isinstance(reply, Reply)}
    denials = [
        {
            "instance": body.get("instance"),
            "explanation": explain_denial(denial),
            **denial,
        }
        for body in bodies.values()
        for denial in body["denials"]
    ]
    failures = {a: reply for a, reply in checked if isinstance(reply, Failure)}
    summary = {
        "denials": denials,
        "instances": [
            {
                "address": address,
                **{
                    key: body.get(key) for key in ("instance", "running_s", "covered_s")
                },
            }
            for address, body in bodies.items()
        ],
        "unreachable": [
            {"address": address, "cause": failure.message}
            for address, failure in failures.items()
        ],
    }
    return summary, EXIT_STATUSES[bool(denials), not failures]
