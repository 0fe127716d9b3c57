import anyio
import pytest

from standins._serve import serving
from standins.target import Fencing, TargetApp, TargetSettings
from tests.daemon.world import running

POLL_S = 0.002
POLLS = 10_000


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def wait_until():
    """Wait for a condition, with a generous limit."""

    async def poll(condition):
        for _ in range(POLLS):
            if condition():
                return
            await anyio.sleep(POLL_S)
        pytest.fail('the condition never came true')

    return poll


@pytest.fixture
def target_app():
    settings = TargetSettings('c1', 'catalogue', fencing=Fencing.NONE)
    return TargetApp(settings)


@pytest.fixture
async def target(target_app):
    async with serving(target_app) as address:
        yield address


@pytest.fixture
async def daemon(target):
    async with running() as one:
        one.configure(target)
        yield one
