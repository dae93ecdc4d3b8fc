"""Output of commands."""

import json
import sys
from typing import Any, NoReturn

from fulmarward_core.results import CODES, Failure


def print_reply(body: dict[str, Any], *, as_json: bool) -> None:
    """Print a result as JSON or as readable lines."""
    if as_json:
        print(json.dumps(body))
        return
    for name, value in body.items():
        _print_value(name, value, "")


def _print_value(name: str, value: object, indent: str) -> None:
    if isinstance(value, list) and value:
        print(f"{indent}{name}:")
        for item in value:
            print(f"{indent}  - {_describe_item(item)}")
        return
    print(f"{indent}{name}: {_describe_item(value)}")


def _describe_item(value: object) -> str:
    if not isinstance(value, dict):
        return json.dumps(value) if not isinstance(value, str) else value
    return ", ".join(f"{name}={_describe_item(item)}" for name, item in value.items())


def print_failure(failure: Failure) -> NoReturn:
    """Print a failure to standard error and exit with its status."""
    entry = CODES[failure.code]
    summary = {
        "result": failure.code.value,
        "code": failure.code.name.lower(),
        "ran": failure.ran.value,
        "retry_after_ms": failure.retry_after_ms,
    }
    print(failure.message, file=sys.stderr)
    print(json.dumps(summary), file=sys.stderr)
    sys.exit(entry.exit_status)
