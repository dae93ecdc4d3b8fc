"""Entry point of `fulmarctl`."""

from fulmarctl._commands import Commands
from fulmarward_core.command_line import run_command_line


def main() -> None:
    """Run the command line."""
    run_command_line(Commands, name="fulmarctl")


if __name__ == "__main__":
    main()
