"""Intervals and bounds of the member table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and bounds of the member table.

    Parameters
    ----------
    deputy_interval_s
        The interval between heartbeats to the deputies of this daemon's
        lease managers, in seconds.
    watcher_interval_s
        The interval between heartbeats to the watchers, in seconds.
    members_limit
        How many members gossip can add.
    watchers_near
        How many watchers a daemon has in its own region. In every other
        region it has one.
    misses_to_probe
        The silence before a probe, in intervals.
    misses_to_suspect
        The silence before a suspicion, in intervals.
    gossip_fanout
        How many members get each batch of news.
    gossip_rounds
        How often this daemon sends each piece of news.
    tellers
        How many daemons tell a suspected member what is said of it, in the
        mean, with each round of gossip.
    gossip_interval_s
        The least time between two batches of news, in seconds.
    gossip_members
        How many members one batch holds at most.
    rumour_pause_s
        The pause before this daemon suspects the same member aloud again, in
        seconds; it doubles each time.
    rumour_pause_max_s
        The longest such pause, in seconds.
    hearsay_probe_s
        The wait before a member that others suspect is probed, in seconds.
    probe_backoff_s
        The longest pause between probes of a suspected member, in seconds.
    probe_first_s
        The pause before the first probe of a suspected member, in seconds.
    probe_interval_s
        The least time between probes of suspected members, in seconds.
    scan_interval_s
        The interval between probes of live members drawn at random, in
        seconds. A failed one is followed by the next at once.
    sync_interval_s
        The least time between two comparisons of member tables, in seconds.
    join_timeout_s
        How long a daemon that starts waits for the table of another one, in
        seconds.
    sync_backoff_s
        The longest time between them while they bring nothing new, in
        seconds.
    cleaning_interval_s
        How often the members are checked for those that are gone, in seconds.
    wake_after_s
        The time without a tick after which the daemon knows that it was
        paused, in seconds.
    isolated_after_s
        The time without a word from anyone after which the daemon counts as
        cut off, in seconds.
    gone_after_s
        How long a member is silent and off the VM list before it is gone,
        in seconds.
    forget_after_s
        How long a gone member is remembered, in seconds.
    vm_list_interval_s
        The shortest interval between readings of the VM list, in seconds.
    vm_list_bytes_per_s
        What the readings of the VM list may cost.
    """

    deputy_interval_s: float = 0.2
    watcher_interval_s: float = 1.0
    members_limit: int = 4096
    watchers_near: int = 2
    misses_to_probe: float = 2.0
    misses_to_suspect: float = 3.0
    gossip_fanout: int = 3
    gossip_rounds: int = 2
    tellers: float = 2.0
    gossip_interval_s: float = 0.1
    gossip_members: int = 24
    rumour_pause_s: float = 30.0
    rumour_pause_max_s: float = 960.0
    hearsay_probe_s: float = 5.0
    probe_backoff_s: float = 60.0
    probe_first_s: float = 5.0
    probe_interval_s: float = 0.5
    scan_interval_s: float = 2.0
    sync_interval_s: float = 2.0
    sync_backoff_s: float = 30.0
    join_timeout_s: float = 3.0
    cleaning_interval_s: float = 5.0
    wake_after_s: float = 0.6
    isolated_after_s: float = 4.0
    gone_after_s: float = 60.0
    forget_after_s: float = 600.0
    vm_list_interval_s: float = 2.0
    vm_list_bytes_per_s: float = 500.0


# What one VM adds to an answer of the VM list.
VM_ENTRY_BYTES = 140
