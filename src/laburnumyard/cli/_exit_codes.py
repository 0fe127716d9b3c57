"""What the program's exit status means."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit status of every command."""

    OK = 0
    # The order was refused, or a problem was found.
    REFUSED = 1
    # The command line or the settings are wrong.
    USAGE = 2
    # Another operator's change came first.
    CONFLICT = 3
    # The store or the daemon gave no answer; nothing was changed.
    UNREACHABLE = 4
    # The change was sent, and nothing tells whether it was applied.
    UNKNOWN_OUTCOME = 5
