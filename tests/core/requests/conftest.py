import pytest

from laburnumyard.core import requests
from tests.core.requests.queue_simulation import QueueSimulation, settings


@pytest.fixture
def new_simulation():
    """Return a factory of simulated queues with the given settings."""

    def build(*, is_cold=False, slots=3, cancel_time=0, **options):
        queue = requests.TargetQueue(
            settings(slots=slots, **options),
            requests.OperationTimes(),
            is_cold=is_cold,
        )
        return QueueSimulation(queue, slots, cancel_time)

    return build
