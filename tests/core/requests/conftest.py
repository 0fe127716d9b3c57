import pytest

from laburnumyard.core import requests
from tests.core.requests.queue_simulation import World, settings


@pytest.fixture
def new_world():
    """Build a queue under given settings, in a world of its own."""

    def build(*, is_cold=False, slots=3, cancel_time=0, **options):
        queue = requests.TargetQueue(
            settings(slots=slots, **options),
            requests.OperationTimes(),
            is_cold=is_cold,
        )
        return World(queue, slots, cancel_time)

    return build
