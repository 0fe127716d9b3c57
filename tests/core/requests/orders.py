"""The orders of a run and the steps that they reach."""

from tests.core.requests.caller import Caller
from tests.support.matrix import Step

ORDERS = 5
ORDER_INTERVAL = 0.005
# Orders before the fault, so that connections are open when it is injected.
WARM_UP = 0.08
WARM_UP_ORDERS = 4
STEPS = (
    Step.ISSUE_TICKET,
    Step.ADMIT,
    Step.QUEUE,
    Step.SEND,
    Step.ANSWER,
    Step.RETRY,
    Step.CANCEL,
)
# Steps that are reached only if the target is frozen from the start.
LATE_STEPS = frozenset((Step.CANCEL, Step.RETRY))


def order_all(fleet, count=ORDERS, name='order'):
    for number in range(count):
        caller = Caller(fleet, f'{name}-{number}', start=number)
        moment = fleet.now + number * ORDER_INTERVAL
        fleet.at(moment, caller.order, caller.next_try)
