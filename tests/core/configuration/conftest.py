import pytest

from laburnumyard.core.configuration import parse_objects

TEMPLATE = """
[[priority_class]]
name = 'urgent'
rank = 0
least_share = 0.5
[[priority_class]]
name = 'common'
rank = 10
[[priority_class]]
name = 'deferred'
rank = 20
deferrable = true

[[service]]
name = 'catalogue'
region = 'lima'
common_class = 'common'

[[key_range]]
name = 'low'
service = 'catalogue'
stop = 0.3
targets = ['catalogue-1', 'catalogue-2']
[[key_range]]
name = 'high'
service = 'catalogue'
start = 0.3
targets = ['catalogue-2']

[[target]]
name = 'catalogue-1'
service = 'catalogue'
data_centre = 'lima-a'
address = '127.0.0.1:8001'
[[target]]
name = 'catalogue-2'
service = 'catalogue'
data_centre = 'lima-b'
address = '127.0.0.1:8002'

[[customer]]
name = 'clinic'
token_sha256 = 'HASH'
shares = [
    { service = 'catalogue', priority_class = 'urgent', share = 0.25 },
]
"""
OBJECTS = TEMPLATE.replace('HASH', 'a' * 64)


@pytest.fixture
def objects():
    return OBJECTS


@pytest.fixture
def configuration():
    return parse_objects({'lima.toml': OBJECTS}).ok
