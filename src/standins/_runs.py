"""What the target stand-in ran, for an outside observer."""

import os
from collections import deque
from dataclasses import asdict, dataclass, field
from typing import Any

RUN_LIMIT = 200_000
JOURNAL_MODE = 0o644


@dataclass(slots=True)
class Run:
    """One execution of a request.

    Parameters
    ----------
    request_id, ticket, echo, key_hash
        As the request carried them; empty where absent.
    start_ms, end_ms
        The boot-time clock in milliseconds; ``end_ms`` is 0 until the end.
    cancelled
        Whether the connection closed before the end.
    """

    request_id: str
    ticket: str
    echo: str
    key_hash: str
    start_ms: float = 0
    end_ms: float = 0
    cancelled: bool = False


@dataclass(slots=True)
class RunLog:
    """The latest executions, and a journal that outlives the process.

    Parameters
    ----------
    journal
        The file that gets a line at each start, or an empty string.
    """

    journal: str = ''
    runs: deque[Run] = field(
        default_factory=lambda: deque(maxlen=RUN_LIMIT),
    )
    count: int = 0
    descriptor: int = -1

    def __post_init__(self) -> None:
        """Open the journal."""
        if self.journal:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self.descriptor = os.open(self.journal, flags, JOURNAL_MODE)

    def start(self, run: Run) -> None:
        """Note that an execution starts."""
        self.count += 1
        self.runs.append(run)
        if self.descriptor >= 0:
            line = (
                f'start_ms={run.start_ms} request={run.request_id} '
                f'ticket={run.ticket} echo={run.echo} key={run.key_hash}\n'
            )
            os.write(self.descriptor, line.encode())

    def export(self) -> dict[str, Any]:
        """Return the executions that are kept."""
        return {
            'count': self.count,
            'forgotten': self.count - len(self.runs),
            'runs': [asdict(run) for run in self.runs],
        }
