import pytest

from laburnumyard.core.keys import hash_key
from laburnumyard.daemon._clock import boot_time
from laburnumyard.daemon._jobs import Job

GENEROUS_S = 20


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def job():
    """Return a repeatable job of the catalogue."""
    return Job(
        request_id='vm-1-1',
        service='catalogue',
        customer='',
        key='bench',
        key_hash=hash_key('bench'),
        operation='GET read',
        method='GET',
        path='/catalogue/read',
        headers=(),
        body=b'',
        deadline=boot_time() + GENEROUS_S,
        repeatable=True,
        ticket='',
        hops=0,
    )
