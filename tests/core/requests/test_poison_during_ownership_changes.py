"""A poison request that kills targets while their keys change owners."""

from functools import partial
from itertools import product

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, LessThan

from laburnumyard.core import requests
from laburnumyard.schema._generated.settings import TimingSettings
from tests.core.ownership import broken
from tests.core.ownership.conftest import build_scene
from tests.core.ownership.observer import InvariantViolation
from tests.core.ownership.steps import begin_step, is_done, prepare
from tests.core.requests.constants import DEATHS_LIMIT
from tests.support.matrix import Step

STEPS = (Step.MOVE, Step.JOIN, Step.LEAVE, Step.DRAIN)
# Time of the first death relative to the step: before it, while the store
# commits the change, and while targets answer.
OFFSETS_S = (-0.3, 0.003, 0.008)
# Offsets tried to catch a broken variant.
WIDE_OFFSETS_S = (*OFFSETS_S, 0.05, 0.1, 0.15, 0.2)
TIMING = TimingSettings(outage_hold_s=3)
DOWN_S = 0.3
RESEND_S = 0.4
RETRY_S = 0.002
DEADLINE_S = 0.3
# Upper bound on the time of a change of owner.
STEP_S = 0.1
RESENDS = 12
RECOVERY_S = 12
POISON = requests.fingerprint_of('orders', 'POST', '/orders/x', 'k', b'{}')


class PoisonCaller:
    """Sends one request repeatedly, each time through another daemon.

    The target that holds the key runs it, dies and restarts after DOWN_S. The
    dispatcher attributes the death to the request and informs the others.
    """

    quarantine_class = requests.Quarantine

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.sent = 0
        self.deaths = []
        self.refused = 0
        self.quarantines = {
            name: self.quarantine_class() for name in fleet.daemons
        }

    def resend(self):
        if self.sent == RESENDS:
            return
        names = tuple(self.quarantines)
        name = names[self.sent % len(names)]
        self.sent += 1
        world = self.fleet.world
        world.at(world.now + RESEND_S, self.resend)
        self.pass_on(self.fleet.daemons[name], world.now + DEADLINE_S)

    def pass_on(self, daemon, deadline):
        """Run the request; retry while no target owns the key."""
        world = self.fleet.world
        if not daemon.is_alive or world.now > deadline:
            return
        quarantine = self.quarantines[daemon.name]
        if quarantine.refusal(POISON, daemon.clock) is not None:
            self.refused += 1
            return
        owner = self.owner()
        if owner is None:
            again = partial(self.pass_on, daemon, deadline)
            world.at(world.now + RETRY_S, again)
        else:
            self.kill(owner, daemon)

    def owner(self):
        """Return the live target that holds the key now."""
        for target in self.fleet.targets.values():
            holds = target.holder.holds(self.key, target.clock)
            if target.is_alive and holds:
                return target
        return None

    def kill(self, target, daemon):
        world = self.fleet.world
        target.kill()
        self.deaths.append(world.now)
        world.at(world.now + DOWN_S, target.start)
        quarantine = self.quarantines[daemon.name]
        death = requests.death_id(target.name, daemon.name, world.now)
        suspects = quarantine.note_death(death, [POISON], daemon.clock)
        for other in self.fleet.daemons.values():
            world.send(daemon, other, partial(self.learn, other, suspects))

    def learn(self, daemon, suspects):
        self.quarantines[daemon.name].merge(suspects, daemon.clock)


def run_step(step, offset, caller_class=PoisonCaller, **options):
    scene = build_scene(13, timing=TIMING, **options)
    fleet = scene.fleet
    key = fleet.owners['target-0'][0].start + 1
    prepare(step, fleet)
    start = fleet.world.now + max(-offset, 0)
    caller = caller_class(fleet, key)
    fleet.world.at(start + offset, caller.resend)
    fleet.world.at(start, lambda: begin_step(step, fleet))
    fleet.run(RESEND_S * RESENDS + 1)
    return scene, caller, start + offset


@pytest.mark.parametrize(
    'step',
    [
        pytest.param(
            step,
            id=step.value,
            marks=pytest.mark.cell(step=step.value, fault='poison-request'),
        )
        for step in STEPS
    ],
)
def test_poison_kills_two_targets_and_no_key_gets_two_owners(step):
    for offset in OFFSETS_S:
        scene, caller, first = run_step(step, offset)
        assert_that(caller.deaths, HasLength(DEATHS_LIMIT))
        assert_that(caller.deaths[0] - first, LessThan(STEP_S))
        scene.recover(RECOVERY_S)
        scene.fleet.run(1)
        assert_that(scene.observer.worst, Equals(0))
        assert_that(is_done(step, scene.fleet), Is(True))


class PermissiveQuarantine(requests.Quarantine):
    """Refuses nothing."""

    def refusal(self, fingerprint, now):
        """Return no refusal."""


class UnquarantinedCaller(PoisonCaller):
    quarantine_class = PermissiveQuarantine


@pytest.mark.parametrize('step', STEPS)
def test_check_catches_a_quarantine_that_refuses_nothing(step):
    for offset in OFFSETS_S:
        caller = run_step(step, offset, UnquarantinedCaller)[1]
        assert_that(len(caller.deaths), GreaterThan(DEATHS_LIMIT))


def test_observer_catches_a_manager_that_moves_keys_of_the_dead_too_early():
    with pytest.raises(InvariantViolation, match='both own'):
        for step, offset in product(STEPS, WIDE_OFFSETS_S):
            run_step(step, offset, manager_class=broken.EarlyExpiryManager)
