"""The pages keep up with the code."""

import inspect
import re
from configparser import ConfigParser
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.cli._commands import Commands
from laburnumyard.core.errors import ANSWERS, ErrorKind
from laburnumyard.telemetry._log import Event

ROOT = Path(__file__).parent.parent
DOCS = ROOT / 'docs'


def row_of(kind):
    answer = ANSWERS[kind]
    retry = 'yes' if answer.may_retry else 'no'
    cells = (
        f'`{kind.value}`',
        str(answer.status.value),
        answer.ran.value,
        retry,
        f'{answer.meaning} {answer.remedy}',
    )
    return f'| {" | ".join(cells)} |'


def test_the_caller_page_lists_every_kind_as_it_is_answered():
    page = (DOCS / 'callers.md').read_text()
    rows = [line for line in page.splitlines() if row_is_of_a_kind(line)]
    assert_that(rows, Equals([row_of(kind) for kind in ErrorKind]))


def row_is_of_a_kind(line):
    return bool(re.match(r'\| `[a-z-]+` \| \d{3} ', line))


def test_the_style_page_gives_a_reason_for_each_rule_that_is_off():
    page = (DOCS / 'design' / 'style.md').read_text()
    parser = ConfigParser()
    parser.read(ROOT / 'setup.cfg')
    flake8 = parser['flake8']
    rules = re.findall(r'WPS\d+', flake8['ignore'] + flake8['per-file-ignores'])
    widened = [name for name in flake8 if name.startswith(('max-', 'i-'))]
    known = {'max-line-length', 'max-name-length', 'max-module-complexity'}
    at_default = known | {'max-cognitive-average', 'max-base-classes'}
    for name in {*rules, *widened} - at_default:
        assert_that(page, Contains(name))


def test_the_operator_pages_name_every_command():
    pages = [path.read_text() for path in (DOCS / 'operators').glob('*.md')]
    commands = inspect.getmembers(Commands, inspect.isfunction)
    names = [name for name, _ in commands if not name.startswith('_')]
    for name in names:
        assert_that('\n'.join(pages), Contains(f'laburnumyard {name}'))


def test_the_log_page_names_every_event():
    page = (DOCS / 'operators' / 'logs.md').read_text()
    for event in Event:
        assert_that(page, Contains(f'`{event.value}`'))


def test_the_error_page_names_every_kind():
    page = (DOCS / 'operators' / 'errors.md').read_text()
    for kind in ErrorKind:
        assert_that(page, Contains(f'`{kind.value}`'))


@pytest.mark.parametrize('path', sorted(DOCS.rglob('*.md')), ids=str)
def test_links_lead_to_files(path):
    for link in re.findall(r'\]\(([^)#:]+)\)', path.read_text()):
        assert_that((path.parent / link).exists(), Is(True), link)
