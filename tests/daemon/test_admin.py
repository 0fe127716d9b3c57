import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.daemon._admin import AdminApp
from laburnumyard.daemon._operations import make_handlers
from tests.daemon.http import ask
from tests.daemon.world import listening


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('path', 'status'), [('/health', 200), ('/ready', 200), ('/nothing', 404)]
)
async def test_pages_are_served_over_http(daemon, path, status):
    app = AdminApp(daemon.settings.admin, make_handlers(daemon))
    async with listening(app, daemon.settings) as admin:
        answer = await ask(admin, 'GET', path)
    assert_that(answer.status, Equals(status))
