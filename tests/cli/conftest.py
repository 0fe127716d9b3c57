import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count
from types import MappingProxyType

import pytest

from laburnumyard.cli import run_command
from laburnumyard.cli._environment import Environment
from tests.core.configuration.conftest import OBJECTS
from tests.support.fake_store import FakeStore

VARIABLES = MappingProxyType(
    {
        'LABURNUMYARD_STORE': '127.0.0.1:2379',
        'LABURNUMYARD_TOKEN': 'secret',
        'USER': 'ana',
    }
)


@dataclass
class Outcome:
    """Exit code and output of a command."""

    code: int
    stdout: str
    stderr: str

    @property
    def json(self):
        return json.loads(self.stdout)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def environment(store):
    @asynccontextmanager
    async def open_store(address):
        yield store

    numbers = count(1)
    return Environment(
        VARIABLES,
        new_change_id=lambda: f'change-{next(numbers)}',
        read_time=lambda: '2026-12-04T04:33:00+00:00',
        open_store=open_store,
    )


@pytest.fixture
def run(environment, capsys):
    def run_and_capture(*arguments):
        code = run_command(arguments, environment)
        captured = capsys.readouterr()
        return Outcome(code, captured.out, captured.err)

    return run_and_capture


@pytest.fixture
def objects_file(tmp_path):
    path = tmp_path / 'lima.toml'
    path.write_text(OBJECTS)
    return path
