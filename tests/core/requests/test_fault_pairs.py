"""Orders run at most once under two faults, or one fault twice."""

from itertools import combinations, product

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core import ownership
from tests.core.requests.constants import DAEMONS, FAULT_TIME, TARGET
from tests.core.requests.daemon import Daemon
from tests.core.requests.faults import FAULTS, freeze_target
from tests.core.requests.fleet import Fleet, check_fleet
from tests.core.requests.grants import Grants
from tests.core.requests.orders import (
    LATE_STEPS,
    STEPS,
    WARM_UP,
    WARM_UP_ORDERS,
    order_all,
)
from tests.support.matrix import Fault

# A connection has to go silent before the other fault closes it.
PAIRED = (
    Fault.SILENT_CONNECTION,
    Fault.CUT,
    Fault.PAUSE,
    Fault.KILL,
    Fault.TARGET_FREEZE,
    Fault.STORE_DOWN,
)
# Delay of the second fault after the first.
DELAYS = (0, 0.05)
# The same fault is injected twice at once, or again after the first ended.
DELAYS_TWICE = (0, FAULT_TIME + 0.05)
# The store is down once, from the start.
PAIRS = (
    *combinations(PAIRED, 2),
    *((fault, fault) for fault in PAIRED if fault is not Fault.STORE_DOWN),
)
SERVED_AGAIN_S = 5


def run_pair(step, faults, victims, delay, *, entry_class=Daemon):
    """Inject one fault after the other and check the fleet."""
    injected = []

    def inject_fault(fleet):
        inject(fleet, 0)
        if delay:
            fleet.at(fleet.now + delay, 'outside', inject, fleet, 1)
        else:
            inject(fleet, 1)

    def inject(fleet, number):
        FAULTS[faults[number]](fleet, victims[number])
        injected.append(faults[number])

    def begin():
        fleet.step = step.value
        if step in LATE_STEPS:
            freeze_target(fleet, TARGET)
        order_all(fleet)

    has_store = Fault.STORE_DOWN in faults
    grants = Grants(ownership.FencedTarget) if has_store else None
    fleet = Fleet(None, inject_fault, entry_class=entry_class, grants=grants)
    if has_store:
        grants.fleet.store.is_down = True
    order_all(fleet, WARM_UP_ORDERS, 'early')
    fleet.at(WARM_UP, 'outside', begin)
    fleet.run()
    assert_that(injected, Equals(list(faults)), 'a fault was not injected')
    check_fleet(fleet)
    if has_store:
        grants.check_served(fleet.now, SERVED_AGAIN_S)


def fault_placements(faults):
    """Return the victims of both faults and the delay of the second."""
    if Fault.STORE_DOWN in faults:
        # The store is down from the start and has no victim.
        return [((victim, victim), 0) for victim in DAEMONS]
    neighbours = zip(DAEMONS, (*DAEMONS[1:], DAEMONS[0]), strict=True)
    both = [*neighbours, *((victim, victim) for victim in DAEMONS)]
    is_twice = len(set(faults)) == 1
    return list(product(both, DELAYS_TWICE if is_twice else DELAYS))


def cases():
    for step, faults in product(STEPS, PAIRS):
        names = sorted(fault.value for fault in faults)
        joined = '-'.join(names)
        mark = pytest.mark.pair(step=step.value, faults=names)
        name = f'{step.value}-{joined}'
        yield pytest.param(step, faults, id=name, marks=mark)


@pytest.mark.parametrize(('step', 'faults'), tuple(cases()))
def test_two_faults_at_a_step_break_no_promise(step, faults):
    for victims, delay in fault_placements(faults):
        run_pair(step, faults, victims, delay)


class LedgerClearingDaemon(Daemon):
    """Clears its ledger, so that a resend runs again."""

    def submit_to_ledger(self, order, ticket, reply):
        self.ledger.entries.clear()
        super().submit_to_ledger(order, ticket, reply)


@pytest.mark.parametrize('faults', PAIRS)
def test_checks_catch_a_forgetful_daemon(faults):
    """The missing ledger is detected under each pair, at some step."""
    with pytest.raises(AssertionError, match=r'ran \d+ times'):
        for step, (victims, delay) in product(STEPS, fault_placements(faults)):
            run_pair(
                step,
                faults,
                victims,
                delay,
                entry_class=LedgerClearingDaemon,
            )
