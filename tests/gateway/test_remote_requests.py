from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.core.ids import (
    AttemptId,
    DataCentre,
    RouteName,
    Seconds,
    ServiceName,
)
from laburnumyard.core.scheduling import Refusal, WorkId
from laburnumyard.gateway._coordinator_roles import (
    Coordination,
    CoordinatorRole,
    encode_slot_request,
)
from laburnumyard.gateway._slot_dispatcher import SlotRefused, SlotRequest

pytestmark = pytest.mark.anyio
SERVICE = ServiceName('catalogue')
REFUSED = SlotRefused(Refusal.OVERLOADED, Seconds(0.1))


class Dispatcher:
    """Keeps the callbacks of requests, or refuses them at once."""

    def __init__(self, refuses_at_once):
        self.refuses_at_once = refuses_at_once
        self.replies = []

    def submit(self, slot_request, reply):
        if self.refuses_at_once:
            reply(REFUSED)
        else:
            self.replies.append(reply)
        return WorkId(1)


class Link:
    """Link of another gateway that keeps what is sent on it."""

    remote = None

    def __init__(self):
        self.sent = []
        self.on_closed = []

    def send(self, message):
        self.sent.append(message)


def build_coordination():
    """Return the roles of a gateway that is linked to nothing."""
    view = SimpleNamespace(on_directory=[], on_coordinators=[])
    return Coordination(None, view, None, None, None, None)


# The entry of each refused request stays until the link of its gateway closes.
@pytest.mark.parametrize('refuses_at_once', [True, False])
async def test_refused_requests_of_other_gateways_are_forgotten(
    refuses_at_once,
):
    dispatcher = Dispatcher(refuses_at_once)
    coordination = build_coordination()
    coordination.roles[SERVICE] = CoordinatorRole(1, dispatcher)
    link = Link()
    asked = encode_slot_request(
        SlotRequest(
            SERVICE,
            RouteName('r-1'),
            AttemptId('a-1'),
            0,
            None,
            DataCentre('lima-a'),
            Seconds(1),
            Seconds(1),
        )
    )
    coordination.handle_message(asked, link)
    for reply in dispatcher.replies:
        reply(REFUSED)
    assert_that(len(link.sent), Equals(1))
    assert_that(coordination.remote, Equals({link: {}}))
