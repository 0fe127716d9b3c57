from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.rendezvous_hashing import rank

NAMES = tuple(f'daemon-{number}' for number in range(9))


def test_loss_of_one_member_keeps_the_order_of_the_others():
    before = rank('planner/orders', NAMES)
    after = rank('planner/orders', NAMES[1:])
    kept = tuple(name for name in before if name != NAMES[0])
    assert_that(after, Equals(kept))
