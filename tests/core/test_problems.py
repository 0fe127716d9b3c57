from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.core.configuration import parse_objects
from laburnumyard.core.file_problems import read_toml
from laburnumyard.core.settings import load_settings
from tests.core.configuration.conftest import OBJECTS
from tests.core.test_settings import SOUND

LINES = (*OBJECTS.splitlines(), *SOUND.splitlines())
DEEP = 300
DEEP_LIST = f'{"[" * DEEP}{"]" * DEEP}'
LONG_NUMBER = '9' * 5000
BAD_VALUES = (
    *('-1', '1.5', 'inf', 'nan', 'true', "'x'", "''", '[]', '[[1]]', '{}'),
    *('{a = 1}', '1979-05-27', "'127.0.0.1:99999'", '0.1e400', '[{}]'),
    *(DEEP_LIST, LONG_NUMBER),
)


@st.composite
def broken_texts(draw, text):
    """Return a document with some lines replaced and some fields broken."""
    lines = text.splitlines()
    for _ in range(draw(st.integers(1, 3))):
        line_number = draw(st.integers(0, len(lines) - 1))
        field = lines[line_number].partition('=')[0]
        broken = draw(st.sampled_from(BAD_VALUES))
        other = draw(st.sampled_from(LINES))
        lines[line_number] = (
            f'{field} = {broken}' if draw(st.booleans()) else other
        )
    return '\n'.join(lines)


def assert_each_has_a_remedy(outcome):
    for problem in outcome.swap().default_value(()):
        assert_that(str(problem), Contains(problem.remedy))
        assert_that(problem.remedy == '', Equals(False))


@settings(derandomize=True, deadline=None)
@given(broken_texts(OBJECTS))
def test_broken_objects_are_reported(text):
    assert_each_has_a_remedy(parse_objects({'lima.toml': text}))


@settings(derandomize=True, deadline=None)
@given(broken_texts(SOUND))
def test_broken_settings_are_reported(text):
    assert_each_has_a_remedy(load_settings(text, 'daemon.toml'))


def test_a_number_that_is_too_long_is_reported():
    problem = read_toml(f'a = {LONG_NUMBER}', 'a.toml').error
    assert_that(problem.remedy, Contains('4300 digits'))


def test_nesting_that_is_too_deep_is_reported():
    problem = read_toml(f'a = {DEEP_LIST}', 'a.toml').error
    assert_that(problem.remedy, Contains('nested too deeply'))
