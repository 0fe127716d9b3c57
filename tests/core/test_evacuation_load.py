"""An evacuation under load, in virtual time: a third of the targets leave and
come back cold.

The keyed service of the load patterns gets 105 requests a second, 42 % of what
its nine targets can serve.
"""

from dataclasses import replace
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from standins.gateway_faults import most_in_a_second
from standins.service_model import ServiceModel
from tests.core.test_load_patterns import (
    DURATION_S,
    KEYS,
    QUIET_SHARE,
    RELATIVE_TIMES,
    make_load,
)

RATE = 105
PER_SECOND = 7.1
COLD_FACTOR = 3
EVACUATED_AT = 3
RETURNED_AT = 6
WARM_AT = 10
EVACUATED = tuple(RELATIVE_TIMES)[:3]


class EvacuatedModel(ServiceModel):
    """Evacuates some targets for a while; they return cold."""

    def __init__(self, warm_up_per_s):
        self.cold_until = {}
        super().__init__(dict(RELATIVE_TIMES))
        self.scheduler.limiter.warm_up_per_s = warm_up_per_s
        self.at(EVACUATED_AT, self.evacuate)
        self.at(RETURNED_AT, self.come_back)
        self.at(WARM_AT, self.warm_up)

    def record(self, name):
        until = self.cold_until.get(name, 0)
        return replace(super().record(name), cold_until=until)

    def evacuate(self):
        self.draining.update(EVACUATED)
        self.update_targets()

    def come_back(self):
        self.draining.clear()
        for name in EVACUATED:
            self.cold_until[name] = WARM_AT
            self.paces[name] *= COLD_FACTOR
        self.update_targets()

    def warm_up(self):
        self.paces = dict(RELATIVE_TIMES)


def play(seed, warm_up_per_s):
    model = EvacuatedModel(warm_up_per_s)
    random = Random(seed)
    load = make_load(seed, lambda now: RATE, lambda *_: random.randrange(KEYS))
    return model, model.run(load, DURATION_S + 1)


def between(model, name, since, until):
    return [at for at in model.arrivals_at[name] if since <= at < until]


# Keys must not stay without a target during an evacuation, nor come back to
# cold targets faster than these tolerate requests.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('warm_up_per_s', [3, PER_SECOND])
def test_a_third_of_the_targets_is_evacuated_and_returns(seed, warm_up_per_s):
    model, result = play(seed, warm_up_per_s)
    for name in EVACUATED:
        # The model grants at the very moment of the evacuation.
        assert_that(
            between(model, name, EVACUATED_AT + 0.001, RETURNED_AT), Equals([])
        )
        most = most_in_a_second(model.arrivals_at[name], RETURNED_AT, WARM_AT)
        assert_that(most, LessThan(warm_up_per_s + 1.001))
        warm = between(model, name, WARM_AT, DURATION_S + 1)
        assert_that(len(warm), GreaterThan(0))
    assert_that(result.share, GreaterThan(QUIET_SHARE))


# They also get keys back while they are cold.
def test_cold_targets_get_some_of_their_keys_back():
    model, _ = play(1, PER_SECOND)
    returned = [
        len(between(model, name, RETURNED_AT, WARM_AT)) for name in EVACUATED
    ]
    assert_that(min(returned), GreaterThan(0))
