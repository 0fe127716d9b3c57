"""Limits and intervals of links."""

from dataclasses import dataclass

# Allowance for the envelope, added to the body and headers of a request.
ENVELOPE_SLACK_BYTES = 65536
DEFAULT_BODY_BYTES = 262144
DEFAULT_CONTROL_QUEUE_BYTES = 1048576
DEFAULT_BULK_QUEUE_BYTES = 4194304


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Limits and intervals of links.

    Parameters
    ----------
    body_bytes
        Maximum body of a request or response, in bytes.
    control_queue_bytes
        Maximum size of queued control messages per link, in bytes.
    bulk_queue_bytes
        Maximum size of queued requests, responses and documents per link, in
        bytes.
    write_bytes
        Batch size of a write to the socket, in bytes.
    incoming_links
        Maximum number of links that a server accepts.
    connect_timeout_s
        Deadline for a connection and its hello, in seconds.
    probe_after_s
        Time without received data before a ping on a link with pending
        requests, in seconds.
    idle_probe_after_s
        Time without received data before a ping on a link without requests,
        in seconds.
    silent_after_s
        Time without received data after a ping before the link is closed, in
        seconds.
    idle_close_after_s
        How long an unused link is kept, in seconds.
    sweep_interval_s
        Interval between checks of the links, in seconds.
    backoff_first_s
        Base delay of the backoff after failures to connect, in seconds.
    backoff_max_s
        Maximum delay after failures to connect, in seconds.
    forget_after_s
        How long the state of a peer without a link is kept, in seconds.
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
        """Maximum size of a frame, in bytes."""
        return self.body_bytes + ENVELOPE_SLACK_BYTES


DEFAULT_LINK_SETTINGS = LinkSettings()
