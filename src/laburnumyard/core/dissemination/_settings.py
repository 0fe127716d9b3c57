"""Intervals and bounds of document replication."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Intervals and bounds of document replication.

    Parameters
    ----------
    local_fanout
        Number of peers in the same data centre that get an announcement.
    remote_fanout
        Number of peers in other data centres that get an announcement.
    sync_interval_s
        The mean interval between comparisons with a random peer, in seconds.
    digest_interval_s
        The least time between comparisons triggered by a heartbeat's digest, in
        seconds.
    fetch_timeout_s
        The longest wait for one part, in seconds.
    missing_request_interval_s
        The interval between requests for missing documents, in seconds.
    store_fallback_s
        The shortest wait for a reader's announcement before a daemon without
        documents reads the store itself, in seconds; at most twice as long.
    confirmation_ttl_s
        How long a store response confirms a version, in seconds.
    store_retry_s
        The back-off after the first store failure, in seconds.
    store_retry_max_s
        The longest back-off after store failures, in seconds.
    calls_per_s
        The rate limit of store calls, in calls per second.
    call_burst
        The largest burst of store calls.
    part_bytes
        The largest part of a patch in one message, in bytes.
    document_bytes
        The largest size of a document, head and chunks, in bytes.
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
