import json

import pytest

from laburnumyard.platform._wire_format import PlatformWireFormat
from tests.gateway.conftest import config

__all__ = ('config',)

ENTRY = {
    'service': 'a',
    'address': '10.1.0.9:8080',
    'zone': 'lima-a',
    'version': 'v1',
    'maxConcurrency': 3,
    'state': 'ready',
    'warmupLeftMs': 1500,
    'sequence': 4,
    'born': 1785544778852,
}


@pytest.fixture
def wire_format():
    return PlatformWireFormat()


def encode_entry(**changes):
    fields = {**ENTRY, **changes}
    return json.dumps(
        {name: found for name, found in fields.items() if found is not None}
    ).encode()
