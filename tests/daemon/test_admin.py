import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.daemon._admin import AdminApp
from laburnumyard.daemon._admin_handlers import make_handlers
from tests.daemon.daemon_fixtures import listening
from tests.daemon.raw_http import ask


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('path', 'status'), [('/health', 200), ('/ready', 200), ('/nothing', 404)]
)
async def test_pages_are_served_over_http(daemon, path, status):
    app = AdminApp(daemon.settings.admin, make_handlers(daemon))
    async with listening(app, daemon.settings) as admin:
        answer = await ask(admin, 'GET', path)
    assert_that(answer.status, Equals(status))
