import pickle
from copy import deepcopy

import pytest
from expression import Error, Ok
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from laburnumyard.core.fast_results import ok


@pytest.mark.parametrize('value', [None, 0, 'a', (1, 2)])
def test_a_result_is_as_its_library_makes_it(value):
    assert_that(ok(value), Equals(Ok(value)))
    assert_that(vars(ok(value)).keys(), Equals(vars(Ok(value)).keys()))
    assert_that(repr(ok(value)), Equals(repr(Ok(value))))
    assert_that(ok(value).is_ok(), Is(True))
    assert_that(ok(value).ok, Equals(value))
    assert_that(ok(value), Not(Equals(Error(value))))


def test_results_share_nothing():
    first, second = ok(1), ok(2)
    assert_that(first.ok, Equals(1))
    assert_that(deepcopy(second), Equals(Ok(2)))
    assert_that(pickle.loads(pickle.dumps(second)), Equals(Ok(2)))


def test_a_result_cannot_be_changed():
    result = ok(1)
    with pytest.raises(TypeError):
        result.ok = 2
