"""The faults that strike a fleet when an order comes to a step."""

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
# Renewals that were on their way at a pause may extend a grant by this.
IN_FLIGHT = 0.3


def cut(fleet, victim):
    until = fleet.now + FAULT_TIME
    for other in fleet.nodes:
        fleet.cuts[victim, other] = until
        fleet.cuts[other, victim] = until


def one_way_cut(fleet, victim):
    until = fleet.now + FAULT_TIME
    for other in fleet.nodes:
        fleet.cuts[victim, other] = until


def pause(fleet, victim):
    fleet.nodes[victim].paused_until = fleet.now + FAULT_TIME


def kill(fleet, victim):
    fleet.kill(victim)


def freeze_target(fleet, victim):
    until = fleet.now + FAULT_TIME
    fleet.nodes[TARGET].paused_until = until
    if fleet.grants is not None:
        fleet.grants.target.pause()
        fleet.at(until, 'outside', thaw_target, fleet)


def thaw_target(fleet):
    if fleet.nodes[TARGET].paused_until <= fleet.now:
        fleet.grants.target.resume()


def store_down(fleet, victim):
    """Go on without the store, which has been down since the beginning."""
    store = fleet.grants.fleet.store
    assert store.is_down, 'the store was not down before the step'
    end = fleet.now + FAULT_TIME
    fleet.at(end, 'outside', setattr, store, 'is_down', False)


def lapse_lease(fleet, victim):
    """Pause the holder of the grant until it has lapsed, then let it go on."""
    grants = fleet.grants
    name = DISPATCHER if grants.is_guarded else TARGET
    until = fleet.now + grants.lapses_in() + IN_FLIGHT
    fleet.nodes[name].paused_until = until
    grants.pause_keeper()
    fleet.at(until, 'outside', grants.resume_keeper)


def silence(fleet, victim):
    assert fleet.links.of(victim), f'{victim} has no connection'
    fleet.links.silence(victim)


def poison(fleet, victim):
    """Let the target die of what it runs, and its caller send that again."""
    assert fleet.run_log[POISON], 'the target does not run the poison'
    fleet.target.is_armed = False
    fleet.kill_target()
    send_poison(fleet, POISON_RESENDS, CALLER_TIMEOUT)


def send_poison(fleet, count, interval):
    """Send one poison request again and again, each time as a new order.

    The caller asks for a new ticket each time, so that no ledger stops it.
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
# Whom a fault hits: each daemon in turn, the holders of a grant, or all.
VICTIMS = MappingProxyType(
    {
        Fault.STORE_DOWN: KINDS,
        Fault.LEASE_LAPSED: KINDS,
        Fault.POISON_REQUEST: (TARGET,),
        Fault.SILENT_CONNECTION: (*DAEMONS, TARGET),
    }
)


def victims(step, fault):
    """Name whom a fault hits at a step, one at a time."""
    if (step, fault) == (Step.RETRY, Fault.SILENT_CONNECTION):
        # The deadline has closed every connection to the target by then.
        return DAEMONS
    return VICTIMS.get(fault, DAEMONS)
