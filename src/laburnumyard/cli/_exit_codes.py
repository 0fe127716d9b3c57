"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    # The command was rejected, or a problem was found.
    REFUSED = 1
    # The command line or the settings are invalid.
    USAGE = 2
    # Another operator made a conflicting change first.
    CONFLICT = 3
    # The store or the daemon did not respond; nothing was changed.
    UNREACHABLE = 4
    # The change was sent, but it is unknown whether it was applied.
    UNKNOWN_OUTCOME = 5
