import pytest

from standins._serve import serving
from standins.target import Fencing, TargetApp, TargetSettings


@pytest.fixture
def target_app():
    settings = TargetSettings(
        'c1',
        'catalogue',
        slots=2,
        queue=1,
        fencing=Fencing.NONE,
    )
    return TargetApp(settings)


@pytest.fixture
async def target_address(target_app):
    async with serving(target_app) as address:
        yield address
