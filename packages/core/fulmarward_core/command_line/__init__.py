"""Command lines that run a command only after all arguments are validated."""

from fulmarward_core.command_line._deferred import defer, keep_text, run_command_line

__all__ = ["defer", "keep_text", "run_command_line"]
