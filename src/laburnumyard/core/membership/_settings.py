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
        Table size at which records from peers stop adding members.
    watchers_in_region
        Number of watchers of a daemon in its own region. It has one in every
        other region.
    misses_to_probe
        Missed heartbeats before a probe, in intervals.
    misses_to_suspect
        Missed heartbeats before a suspicion, in intervals.
    gossip_fanout
        Number of recipients of each batch of gossip.
    gossip_rounds
        How many times this daemon sends each record.
    suspect_notifiers
        Mean number of daemons that send a suspected member its own record in
        each gossip round.
    gossip_interval_s
        The least time between two batches of gossip, in seconds.
    gossip_members
        Largest number of records in one batch.
    suspicion_pause_s
        The pause before this daemon gossips a suspicion of the same member
        again, in seconds; it doubles each time.
    suspicion_pause_max_s
        The longest such pause, in seconds.
    gossiped_probe_delay_s
        The longest delay before a newly suspected member is probed, in seconds;
        at least half of it.
    probe_backoff_s
        The longest pause between probes of a suspected member, in seconds.
    probe_first_s
        The initial pause between probes of a suspected member, in seconds.
    probe_interval_s
        The least time between probes of suspected members, in seconds.
    random_probe_interval_s
        The interval between probes of random live members, in seconds. A failed
        probe is followed by the next one immediately.
    sync_interval_s
        The least time between two comparisons of member tables, in seconds.
    join_timeout_s
        How long a starting daemon waits for the table of a peer, in seconds.
    sync_backoff_s
        The longest time between comparisons while they find nothing new, in
        seconds.
    cleanup_interval_s
        The interval between checks for members that are gone, in seconds.
    pause_detection_s
        The time between two ticks that indicates a pause of the process, in
        seconds.
    isolated_after_s
        The time without contact with any peer after which the daemon considers
        itself isolated, in seconds.
    gone_after_s
        How long a member is unreachable and not on the VM list before it is
        gone, in seconds.
    forget_after_s
        How long a gone member is kept in the table, in seconds.
    vm_list_interval_s
        The shortest mean interval between reads of the VM list, in seconds.
    vm_list_bytes_per_s
        Bound on the mean size of VM list reads, in bytes per second.
    """

    deputy_interval_s: float = 0.2
    watcher_interval_s: float = 1.0
    members_limit: int = 4096
    watchers_in_region: int = 2
    misses_to_probe: float = 2.0
    misses_to_suspect: float = 3.0
    gossip_fanout: int = 3
    gossip_rounds: int = 2
    suspect_notifiers: float = 2.0
    gossip_interval_s: float = 0.1
    gossip_members: int = 24
    suspicion_pause_s: float = 30.0
    suspicion_pause_max_s: float = 960.0
    gossiped_probe_delay_s: float = 5.0
    probe_backoff_s: float = 60.0
    probe_first_s: float = 5.0
    probe_interval_s: float = 0.5
    random_probe_interval_s: float = 2.0
    sync_interval_s: float = 2.0
    sync_backoff_s: float = 30.0
    join_timeout_s: float = 3.0
    cleanup_interval_s: float = 5.0
    pause_detection_s: float = 0.6
    isolated_after_s: float = 4.0
    gone_after_s: float = 60.0
    forget_after_s: float = 600.0
    vm_list_interval_s: float = 2.0
    vm_list_bytes_per_s: float = 500.0


# Size of one VM in a VM list response.
VM_ENTRY_BYTES = 140
