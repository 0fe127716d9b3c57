"""Intervals and bounds of dissemination."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Intervals and bounds of dissemination.

    Parameters
    ----------
    local_fanout
        How many members of the own data centre hear of a new version.
    remote_fanout
        How many other members hear of it.
    sync_interval_s
        The mean interval between comparisons with a random peer, in seconds.
    digest_interval_s
        The least time between comparisons that a heartbeat's digest asks for,
        in seconds.
    fetch_timeout_s
        The longest wait for one part, in seconds.
    missing_request_interval_s
        How often a daemon without documents asks its peers, in seconds.
    store_fallback_s
        How long such a daemon waits at least for a reader's word before it
        reads the store itself, in seconds; at most twice as long.
    confirmation_ttl_s
        How long an answer of the store confirms a version, in seconds.
    store_retry_s
        The pause after the first failure of the store, in seconds.
    store_retry_max_s
        The longest pause after failures of the store, in seconds.
    calls_per_s
        The budget of store calls, per second.
    call_burst
        How many calls may be made at once.
    part_bytes
        The largest part of a patch in one message.
    document_bytes
        The largest document: its head and its chunks.
    """

    local_fanout: int = 3
    remote_fanout: int = 1
    sync_interval_s: float = 10.0
    digest_interval_s: float = 1.0
    fetch_timeout_s: float = 0.5
    missing_request_interval_s: float = 0.5
    store_fallback_s: float = 2.0
    confirmation_ttl_s: float = 15.0
    store_retry_s: float = 0.5
    store_retry_max_s: float = 5.0
    calls_per_s: float = 4.0
    call_burst: int = 40
    part_bytes: int = 32768
    document_bytes: int = 16777216
