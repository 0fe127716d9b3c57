"""The limits of the machine come from the file or from the environment."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from laburnumyard.gateway import load_gateway_settings

SETTINGS = """
[daemon]
name = "lima-a-1"
data_centre = "lima-a"
region = "lima"
[listen]
callers = "127.0.0.1:7001"
readiness = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
[store]
address = "127.0.0.1:7004"
"""
VARIABLES = {
    'LABURNUMYARD_MEMORY_MB': '160',
    'LABURNUMYARD_MAX_DESCRIPTORS': '3075',
}


@pytest.mark.parametrize(
    ('machine', 'variables', 'limits'),
    [
        ('', {}, (0, 0)),
        ('', VARIABLES, (160, 3075)),
        ('', dict.fromkeys(VARIABLES, ''), (0, 0)),
        ('[machine]\nmemory_mb = 300', VARIABLES, (300, 3075)),
    ],
)
def test_limits_of_the_machine(machine, variables, limits):
    """Guards against a gateway that doesn't know how much memory it has."""
    loaded = load_gateway_settings(f'{SETTINGS}{machine}', 'x', variables)
    settings = loaded.ok.machine
    assert_that((settings.memory_mb, settings.max_descriptors), Equals(limits))


def test_a_limit_that_is_no_number_is_reported():
    variables = {'LABURNUMYARD_MEMORY_MB': 'much'}
    loaded = load_gateway_settings(SETTINGS, 'x', variables)
    assert_that(str(loaded.error[0]), Contains('memory_mb'))
