"""Entries of another writer name no target, and end nothing."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from laburnumyard.core.ids import ServiceName
from laburnumyard.core.routes import RouteTable, ServiceSpec
from laburnumyard.gateway import Platform
from laburnumyard.gateway._cluster_view import ClusterView
from laburnumyard.gateway._platform_interface import Item
from laburnumyard.gateway._store_health import StoreHealth
from laburnumyard.gateway._store_watcher import StoreWatcher
from tests.platform.conftest import ENTRY, encode_entry

NESTED = b'{"service": %b}' % (b'[' * 100_000)
HUGE = 10**400


@pytest.fixture
def watcher(wire_format):
    platform = Platform(None, None, wire_format)
    return StoreWatcher(platform, ClusterView(), StoreHealth(), bool)


ODD_ENTRIES = {
    'nested': NESTED,
    'not-json': b'\xff\xfe{',
    'huge-warm-up': encode_entry(warmupLeftMs=HUGE),
    'huge-born': encode_entry(born=HUGE),
    'huge-sequence': encode_entry(sequence=HUGE),
    'huge-slots': encode_entry(maxConcurrency=HUGE),
    'endless-warm-up': encode_entry(warmupLeftMs=float('inf')),
    'no-port': encode_entry(address='10.1.0.9:0'),
    'port-65536': encode_entry(address='10.1.0.9:65536'),
    'port-99999': encode_entry(address='10.1.0.9:99999'),
    'no-ip': encode_entry(address='999.0.0.1:8080'),
    'any-ip': encode_entry(address='0.0.0.0:8080'),
    'group-ip': encode_entry(address='224.0.0.1:8080'),
    'other-script': encode_entry(
        address='10.1.0.9:\N{ARABIC-INDIC DIGIT EIGHT}080'
    ),
    'lone-surrogate': encode_entry(service='\ud800'),
    'no-version': encode_entry(version=None),
    'version-number': encode_entry(version=7),
    'no-sequence': encode_entry(sequence=None),
    'sequence-text': encode_entry(sequence='4'),
    'lone-surrogate-zone': encode_entry(zone='lima-\udfff'),
}


# FAULT, LOST: one odd entry ended the watch of all, or failed each request.
@pytest.mark.parametrize('odd', ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_names_no_target_and_leaves_the_others(watcher, odd):
    items = (
        Item('servers/odd', odd, 3),
        Item('servers/good', encode_entry(), 4),
    )
    watcher.target_entries.apply_changes(items)
    assert_that(list(watcher.view.directory), Equals(['good']))


# OWNER, RECOVER: the entry of a service in no configuration ended a live
# target, and was probed and counted like one.
def test_an_entry_of_a_service_without_configuration_has_no_effect(watcher):
    view = watcher.view
    view.adopt_routes(make_table(1, 'a'))
    own = Item('servers/good', encode_entry(), 4)
    foreign = encode_entry(service='bodega', born=ENTRY['born'] + 1)
    watcher.target_entries.apply_changes((own,))
    watcher.target_entries.apply_changes((Item('servers/b-77', foreign, 5),))
    assert_that(list(view.directory), Equals(['good']))
    view.adopt_routes(make_table(2, 'a', 'bodega'))
    assert_that(sorted(view.directory), Equals(['b-77', 'good']))
    view.adopt_routes(make_table(3, 'a'))
    assert_that(list(view.directory), Equals(['good']))
    departed = view.departed
    assert_that([life.target for life in departed], Equals(['b-77']))


def make_table(version, *services):
    specs = {
        ServiceName(name): ServiceSpec(ServiceName(name), '/healthz', 9, False)
        for name in services
    }
    return RouteTable(version, (), specs)


def test_an_address_is_known_in_one_form(wire_format):
    entry = encode_entry(address='10.1.0.9:08080')
    decoded = wire_format.decode_target('servers/a', entry)
    assert_that(decoded.is_ok(), Is(True))
    assert_that(decoded.ok.address, Equals('10.1.0.9:8080'))
