"""Command line of the instance daemon."""

import asyncio
import sys
from importlib.metadata import version as read_version

from fulmarward._daemon import run_daemon
from fulmarward.observability import stop_logging
from fulmarward.settings import load_secrets, load_settings, show_settings
from fulmarward_core.checks import describe_faults
from fulmarward_core.command_line import defer, run_command_line
from fulmarward_core.results import CODES, ResultCode

#: Exit status of a daemon that stopped because a background task failed.
TASK_FAILED_STATUS = 1


def _exit_with_faults(faults: tuple) -> None:
    print(describe_faults(faults), file=sys.stderr)
    sys.exit(CODES[ResultCode.SETTINGS_INVALID].exit_status)


@defer
def start(settings: str) -> None:
    """Start an instance with the settings in the JSON file SETTINGS."""
    loaded = load_settings(settings)
    if isinstance(loaded, tuple):
        _exit_with_faults(loaded)
    secrets = load_secrets(loaded)
    if isinstance(secrets, tuple):
        _exit_with_faults(secrets)
    has_ended_well = asyncio.run(run_daemon(loaded, secrets))
    stop_logging()
    if not has_ended_well:
        sys.exit(TASK_FAILED_STATUS)


@defer
def print_settings(settings: str) -> None:
    """Print every setting in force for the JSON file SETTINGS; secrets stay hidden."""
    loaded = load_settings(settings)
    if isinstance(loaded, tuple):
        _exit_with_faults(loaded)
    print(show_settings(loaded))


@defer
def print_version() -> None:
    """Print the version."""
    print(read_version("fulmarward"))


def main() -> None:
    """Run the command line."""
    commands = {
        "start": start,
        "settings": print_settings,
        "version": print_version,
    }
    run_command_line(commands, name="fulmarward")


if __name__ == "__main__":
    main()
