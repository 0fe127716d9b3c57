from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from laburnumyard.core import ownership
from laburnumyard.core.key_hashing import HASH_SPACE, HashRange
from laburnumyard.schema._generated.settings import TimingSettings

NAMES = ('orders-1', 'orders-2')
DATA_CENTRE = 'lima-1'


def new_manager():
    settings = ownership.ManagerSettings(
        'vm-1', 1, DATA_CENTRE, TimingSettings()
    )
    span = ownership.KeyRangePlan(HashRange(0, HASH_SPACE), NAMES)
    kinds = {name: ownership.FencedTarget(DATA_CENTRE) for name in NAMES}
    plan = ownership.ServicePlan('orders', (span,), kinds)
    return ownership.LeaseManager(settings, plan)


def of_kind(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def answer(seal):
    return ownership.TargetAnswer(seal.target, seal.call, True, seal.term, 0, 1)


def test_targets_met_after_a_takeover_share_one_reading_of_the_head():
    manager = new_manager()
    manager.handle(ownership.TakeOver(), 100)
    effects = manager.handle(ownership.HeadRead(None, 100), 100.01)
    swap = of_kind(effects, ownership.SwapHead)[0]
    effects = manager.handle(ownership.SwapDone(swap.change, 1), 101)
    seals = of_kind(effects, ownership.SendSeal)
    assert_that(seals, HasLength(len(NAMES)))
    for seal, now in zip(seals, (101.003, 101.004), strict=True):
        effects = manager.handle(answer(seal), now)
        assert_that(of_kind(effects, ownership.ReadHead), Equals([]))
    now = manager.wake_at(101.004)
    effects = manager.handle(ownership.Tick(), now)
    assert_that(of_kind(effects, ownership.ReadHead), HasLength(1))
    reading = ownership.HeadRead(manager.state.snapshot, now)
    effects = manager.handle(reading, now + 0.01)
    granted = [grant.target for grant in of_kind(effects, ownership.SendGrant)]
    assert_that(granted, Equals(list(NAMES)))
