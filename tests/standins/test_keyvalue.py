import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from standins._keyvalue import KeyValue
from standins._vms import LaggingVms


@pytest.fixture
def store():
    return KeyValue()


def test_revisions_rise_over_the_whole_store(store):
    first = store.write('a', b'', 0)
    second = store.write('b', b'', 0)
    third = store.write('a', b'', first.revision)
    revisions = [swap.revision for swap in (first, second, third)]
    assert_that(revisions, Equals([1, 2, 3]))


def test_swap_with_another_revision_changes_nothing(store):
    store.write('a', b'first', 0)
    refused = store.write('a', b'second', 7)
    assert_that((refused.is_applied, refused.revision), Equals((False, 1)))
    assert_that(store.read('a').content, Equals(b'first'))
    assert_that(store.delete('absent', 0).is_applied, Is(False))


def test_keys_vanish_with_their_lease(store):
    lease = store.grant_lease(ttl_s=2, now=10)
    store.write('a', b'', 0, lease)
    store.write('b', b'', 0)
    assert_that(store.renew_lease(lease, 11), Is(True))
    store.expire(12.9)
    assert_that(sorted(store.entries), Equals(['a', 'b']))
    store.expire(13)
    assert_that(sorted(store.entries), Equals(['b']))
    assert_that(store.renew_lease(lease, 13), Is(False))


def test_vms_change_after_the_lag():
    listed = LaggingVms(lag_s=5)
    listed.start([{'name': 'a'}])
    listed.change([], now=10)
    assert_that(listed.read(14.9), Equals([{'name': 'a'}]))
    assert_that(listed.read(15), Equals([]))
