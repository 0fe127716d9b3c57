"""Faults injected into a fleet when an order reaches a step."""

from types import MappingProxyType

from tests.core.requests.caller import Caller
from tests.core.requests.constants import (
    CALLER_TIMEOUT,
    DAEMONS,
    DISPATCHER,
    FAULT_TIME,
    POISON,
    TARGET,
)
from tests.core.requests.grants import KINDS
from tests.support.matrix import Fault, Step

POISON_RESENDS = 6
# Renewals in flight at a pause may extend a grant by this many seconds.
IN_FLIGHT = 0.3


def cut(fleet, victim):
    until = fleet.now + FAULT_TIME
    for other in fleet.processes:
        fleet.cuts[victim, other] = until
        fleet.cuts[other, victim] = until


def one_way_cut(fleet, victim):
    until = fleet.now + FAULT_TIME
    for other in fleet.processes:
        fleet.cuts[victim, other] = until


def pause(fleet, victim):
    fleet.processes[victim].paused_until = fleet.now + FAULT_TIME


def kill(fleet, victim):
    fleet.kill(victim)


def freeze_target(fleet, victim):
    until = fleet.now + FAULT_TIME
    fleet.processes[TARGET].paused_until = until
    if fleet.grants is not None:
        fleet.grants.target.pause()
        fleet.at(until, 'outside', unfreeze_target, fleet)


def unfreeze_target(fleet):
    if fleet.processes[TARGET].paused_until <= fleet.now:
        fleet.grants.target.resume()


def store_down(fleet, victim):
    """Keep the store down, as it was from the start, for FAULT_TIME."""
    store = fleet.grants.fleet.store
    assert store.is_down, 'the store was not down before the step'
    end = fleet.now + FAULT_TIME
    fleet.at(end, 'outside', setattr, store, 'is_down', False)


def lapse_lease(fleet, victim):
    """Pause the grant holder until its grant expires, then resume it."""
    grants = fleet.grants
    name = DISPATCHER if grants.is_guarded else TARGET
    until = fleet.now + grants.lapses_in() + IN_FLIGHT
    fleet.processes[name].paused_until = until
    grants.pause_keeper()
    fleet.at(until, 'outside', grants.resume_keeper)


def silence(fleet, victim):
    assert fleet.links.of(victim), f'{victim} has no connection'
    fleet.links.silence(victim)


def poison(fleet, victim):
    """Crash the target by the request it runs, which is then resent."""
    assert fleet.run_log[POISON], 'the target does not run the poison'
    fleet.target.is_armed = False
    fleet.kill_target()
    send_poison(fleet, POISON_RESENDS, CALLER_TIMEOUT)


def send_poison(fleet, count, interval):
    """Send one poison request repeatedly, each time as a new order.

    Each order has a new ticket, so the ledger does not deduplicate it.
    """
    for number in range(count):
        order = f'{POISON}-{number}'
        caller = Caller(fleet, order, start=number)
        moment = fleet.now + number * interval
        fleet.at(moment, order, caller.next_try)


FAULTS = MappingProxyType(
    {
        Fault.CUT: cut,
        Fault.ONE_WAY_CUT: one_way_cut,
        Fault.PAUSE: pause,
        Fault.KILL: kill,
        Fault.TARGET_FREEZE: freeze_target,
        Fault.STORE_DOWN: store_down,
        Fault.LEASE_LAPSED: lapse_lease,
        Fault.SILENT_CONNECTION: silence,
        Fault.POISON_REQUEST: poison,
    }
)
# Victims of each fault: every daemon, the grant holders, or all processes.
VICTIMS = MappingProxyType(
    {
        Fault.STORE_DOWN: KINDS,
        Fault.LEASE_LAPSED: KINDS,
        Fault.POISON_REQUEST: (TARGET,),
        Fault.SILENT_CONNECTION: (*DAEMONS, TARGET),
    }
)


def fault_victims(step, fault):
    """Return the victims of a fault at a step, for one run each."""
    if (step, fault) == (Step.RETRY, Fault.SILENT_CONNECTION):
        # By then the deadline has closed every connection to the target.
        return DAEMONS
    return VICTIMS.get(fault, DAEMONS)
