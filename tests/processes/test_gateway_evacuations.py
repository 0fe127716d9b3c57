"""Gateway processes that empty a data centre, and fill it again."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from standins._gateway_target import GatewayTarget
from standins.gateway_cluster import running_gateways
from standins.gateway_faults import EVACUATE_S, most_in_a_second

pytestmark = pytest.mark.anyio
HERE = 'lima-a'
WARM_UP_S = 4.0
# Without a limit, a cold target would get a third of the requests, 20 a second,
# until it is known to be slow.
PER_SECOND = 1.0
# The operator's bounds, as the settings of the gateways have them.
CAP = PER_SECOND * 1.5 + 8
PER_SECOND_OF_ALL = 60


def make_targets(keyed):
    return [
        GatewayTarget(
            f'i-{number}',
            'catalogue',
            'lima-a' if number < 2 else 'lima-b',
            is_keyed=keyed,
            work_s=0.1,
            slots=10,
        )
        for number in range(3)
    ]


# Requests reach an evacuated data centre, keys have no target meanwhile, or
# cold targets get more than they tolerate when it returns. The coordinator is
# killed in both phases.
@pytest.mark.parametrize('keyed', [True, False])
async def test_an_evacuated_data_centre_is_empty_until_it_returns_cold(
    tmp_path, keyed
):
    async with running_gateways(
        tmp_path, make_targets(keyed), 4, keyed=keyed
    ) as cluster:
        here = [each for each in cluster.targets if each.data_centre == HERE]
        cluster.warm_up_s = WARM_UP_S
        cluster.warm_up_per_s = PER_SECOND
        cluster.configure('/benches/')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cluster.load, PER_SECOND_OF_ALL, 19)
            await anyio.sleep(2)
            began_at = anyio.current_time()
            before = [len(target.arrivals) for target in here]
            cluster.evacuate(HERE)
            await anyio.sleep(1)
            cluster.coordinator().kill()
            await anyio.sleep(EVACUATE_S)
            held = [
                hold
                for target in here
                for hold in target.held(anyio.current_time())
            ]
            ended_at = anyio.current_time()
            cluster.end_evacuation(HERE)
            await anyio.sleep(2)
            cluster.coordinator().kill()
        assert_that(min(before), GreaterThan(0))
        assert_that(held, Equals([]))
        late = [
            at
            for target in here
            for at in target.arrivals
            if began_at + EVACUATE_S <= at < ended_at
        ]
        assert_that(late, Equals([]))
        for target in here:
            most = most_in_a_second(
                target.arrivals, ended_at, ended_at + WARM_UP_S
            )
            assert_that(most, LessThan(CAP))
            returned = [at for at in target.arrivals if at >= ended_at]
            assert_that(len(returned), GreaterThan(2))
        served = [each for each in cluster.answered if each.status == 200]
        assert_that(len(served) / len(cluster.answered), GreaterThan(0.9))
