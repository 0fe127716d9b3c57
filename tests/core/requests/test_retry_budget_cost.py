import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is

from laburnumyard.core.errors import ErrorKind
from laburnumyard.core.requests import RetryBudget, may_retry
from laburnumyard.schema._generated.objects import Service


@pytest.fixture
def empty_budget():
    service = Service(
        name='orders', region='lima', common_class='common', retry_share=0
    )
    return RetryBudget(service)


@pytest.mark.parametrize(
    ('kind', 'is_retried'),
    [
        (ErrorKind.NO_OWNER, True),
        (ErrorKind.NOT_OWNER, True),
        (ErrorKind.PEER_UNREACHABLE, True),
        (ErrorKind.TARGET_SHED, False),
        (ErrorKind.TARGET_UNREACHABLE, False),
    ],
)
def test_only_retries_that_load_a_target_cost_budget(
    empty_budget, kind, is_retried
):
    assert_that(may_retry(kind, False, 1.0, 1, empty_budget), Is(is_retried))
