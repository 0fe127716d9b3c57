import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from laburnumyard.core.ids import TargetId
from laburnumyard.core.load_reports import LoadReport
from laburnumyard.core.rate_limits import LimitKind
from laburnumyard.core.target_directory import TargetState
from laburnumyard.gateway._platform_interface import SendContext
from laburnumyard.platform._wire_format import PlatformWireFormat
from tests.platform.conftest import encode_entry


def test_the_entry_of_a_target(wire_format):
    record = wire_format.decode_target('servers/i-7', encode_entry()).ok
    assert_that(record.target, Equals('i-7'))
    assert_that(record.life.started_at_ms, Equals(1785544778852))
    assert_that(record.slots, Equals(3))
    assert_that(record.state, Is(TargetState.READY))
    assert_that(record.warm_up_left_s, Equals(1.5))


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'resting'},
        {'state': None},
        {'address': 'somewhere'},
        {'address': 17},
        {'maxConcurrency': 0},
        {'maxConcurrency': '3'},
        {'maxConcurrency': True},
        {'born': None},
        {'born': 1.5},
        {'warmupLeftMs': -1},
        {'warmupLeftMs': 1e300},
        {'service': ''},
    ],
)
def test_a_malformed_entry_names_no_target(wire_format, changes):
    decoded = wire_format.decode_target('servers/i-7', encode_entry(**changes))
    assert_that(decoded.is_error(), Is(True))


@given(st.binary(max_size=200))
def test_entries_and_documents_of_any_bytes_are_errors(content):
    wire_format = PlatformWireFormat()
    decoded = wire_format.decode_target('servers/i-7', content)
    assert_that(decoded.is_error(), Is(True))
    assert_that(wire_format.decode_routes(content).is_error(), Is(True))


def test_the_operators_document(wire_format, config):
    table = wire_format.decode_routes(config).ok
    route = table.find('shop.example', '/benches/17')
    assert_that(table.version, Equals(7))
    assert_that(route.is_repeatable, Is(False))
    assert_that(route.timeout_s, Equals(0.8))
    assert_that([part.weight for part in route.parts], Equals([90, 10]))
    assert_that(table.keyed_services(), Equals(('a',)))
    assert_that(table.limits.body_bytes, Equals(1000))


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        (('version',), 'latest'),
        (('version',), 12),
        (('routes',), None),
        (('routes', 0, 'timeoutMs'), 'soon'),
        (('routes', 0, 'split'), [{'service': 'a'}]),
        (('services', 0, 'name'), 7),
        (('limits',), []),
    ],
)
def test_a_malformed_document_is_an_error(wire_format, config, path, found):
    document = json.loads(config)
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = found
    decoded = wire_format.decode_routes(json.dumps(document).encode())
    assert_that(decoded.is_error(), Is(True))


@pytest.mark.parametrize(
    ('header', 'key'),
    [('0', 0), ('65535', 65535), ('65536', None), ('-1', None), ('', None)],
)
def test_the_key_of_a_request(wire_format, header, key):
    headers = (('laburnumyard-shard-key', header),)
    assert_that(wire_format.read_request_head(headers).key, Equals(key))


@pytest.mark.parametrize('text', ['soon', '1e3', '9' * 30, '-5'])
def test_a_deadline_that_is_no_number_counts_as_none(wire_format, text):
    headers = (('laburnumyard-deadline-ms', text),)
    assert_that(wire_format.read_request_head(headers).deadline_s, Is(None))


def test_terms_replace_what_the_caller_sent(wire_format):
    headers = (
        ('laburnumyard-expect-instance', 'i-mine'),
        ('laburnumyard-deadline-ms', '99999'),
        ('x-own', '1'),
    )
    sent = wire_format.write_send_headers(
        headers, SendContext(TargetId('i-7'), 0.5)
    )
    assert_that(
        sent,
        Equals(
            (
                ('x-own', '1'),
                ('laburnumyard-deadline-ms', '500'),
                ('laburnumyard-expect-instance', 'i-7'),
            )
        ),
    )


@pytest.mark.parametrize(
    ('status', 'name', 'expected'),
    [
        (503, 'laburnumyard-not-executed', True),
        (421, 'x', True),
        (503, 'x', False),
        (500, 'x', False),
    ],
)
def test_only_targets_promise_that_a_request_did_not_run(
    wire_format, status, name, expected
):
    head = wire_format.read_response_head(status, ((name, '1'),))
    assert_that(head.is_not_run, Is(expected))


def test_the_idle_time_that_a_target_states(wire_format):
    head = wire_format.read_response_head(
        200, (('keep-alive', 'timeout=9, max=5'),)
    )
    assert_that(head.idle_limit_s, Equals(9.0))
    assert_that([head.is_signed], Contains(False))


@pytest.mark.parametrize(
    ('values', 'kind', 'per_second'),
    [
        ((), LimitKind.NONE, 0),
        (('0',), LimitKind.STATED, 0),
        (('0.3',), LimitKind.STATED, 0.3),
        (('1000000000',), LimitKind.STATED, 1e9),
        (('-1',), LimitKind.MALFORMED, 0),
        (('',), LimitKind.MALFORMED, 0),
        (('1e9',), LimitKind.MALFORMED, 0),
        (('nan',), LimitKind.MALFORMED, 0),
        (('2', '3'), LimitKind.MALFORMED, 0),
        (('9' * 60_000,), LimitKind.MALFORMED, 0),
    ],
)
def test_the_rate_limit_of_a_response(wire_format, values, kind, per_second):
    headers = tuple(('server-limit', text) for text in values)
    statement = wire_format.read_response_head(200, headers).rate_limit
    assert_that(statement.kind, Is(kind))
    assert_that(statement.per_second, Equals(per_second))


@pytest.mark.parametrize(
    ('values', 'report'),
    [
        (('3,0,8,100',), LoadReport(3, 0, 8, 1)),
        (('4,16,4,312',), LoadReport(4, 16, 4, 3.12)),
        (('3,0,8',), LoadReport(3, 0, 8)),
        ((), None),
        (('',), None),
        (('3,0',), None),
        (('3,0,8,100,1',), None),
        (('3,0,8,',), None),
        (('3, 0, 8, 100',), None),
        (('-3,0,8,100',), None),
        (('3,0,8,1e3',), None),
        (('3,0,8,nan',), None),
        (('3,0,0,100',), None),
        (('3,0,8,0',), None),
        (('\u0663,0,8,100',), None),
        (('9999999,0,8,100',), None),
        (('3,0,8,100', '3,0,8,100'), None),
        (('1,' * 60_000,), None),
    ],
)
def test_the_load_report_of_a_response(wire_format, values, report):
    """A value of another form must not be taken for a load."""
    headers = tuple(('laburnumyard-instance-load', text) for text in values)
    head = wire_format.read_response_head(200, headers)
    assert_that(head.load_report, Equals(report))
