"""Bounds and intervals of links."""

from dataclasses import dataclass

# What an envelope adds to the body and the headers of a request.
ENVELOPE_SLACK_BYTES = 65536
DEFAULT_BODY_BYTES = 262144
DEFAULT_CONTROL_QUEUE_BYTES = 1048576
DEFAULT_BULK_QUEUE_BYTES = 4194304


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Bounds and intervals of links.

    Parameters
    ----------
    body_bytes
        The largest body of a request or an answer.
    control_queue_bytes
        How many bytes of control messages wait for one link.
    bulk_queue_bytes
        How many bytes of requests, answers and documents wait for one link.
    write_bytes
        How many bytes are handed to the socket at once.
    incoming_links
        How many links a server holds.
    connect_timeout_s
        The longest wait for a connection and its hello, in seconds.
    probe_after_s
        The silence of a link with unanswered requests before a ping, in
        seconds.
    idle_probe_after_s
        The silence of a link without requests before a ping, in seconds.
    silent_after_s
        The wait for any byte after a ping before the link is closed, in
        seconds.
    idle_close_after_s
        How long an unused link is kept, in seconds.
    sweep_interval_s
        How often the links are checked, in seconds.
    backoff_first_s
        The pause after the first failure to connect, in seconds.
    backoff_max_s
        The longest pause after failures to connect, in seconds.
    forget_after_s
        How long a peer without a link is remembered, in seconds.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    control_queue_bytes: int = DEFAULT_CONTROL_QUEUE_BYTES
    bulk_queue_bytes: int = DEFAULT_BULK_QUEUE_BYTES
    write_bytes: int = DEFAULT_BODY_BYTES
    incoming_links: int = 2048
    connect_timeout_s: float = 0.5
    probe_after_s: float = 0.3
    idle_probe_after_s: float = 10.0
    silent_after_s: float = 0.6
    idle_close_after_s: float = 15.0
    sweep_interval_s: float = 0.1
    backoff_first_s: float = 0.05
    backoff_max_s: float = 2.0
    forget_after_s: float = 60.0

    @property
    def frame_bytes(self) -> int:
        """The largest frame."""
        return self.body_bytes + ENVELOPE_SLACK_BYTES


DEFAULT_LINK_SETTINGS = LinkSettings()
