"""Command lines that do nothing before every argument is understood."""

from fulmarward_core.command_line._deferred import defer, run_command_line

__all__ = ["defer", "run_command_line"]
