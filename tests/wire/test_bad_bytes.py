import asyncio
import random
from types import MappingProxyType

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from laburnumyard.schema._generated import messages
from laburnumyard.wire import FrameError, FrameReader, encode_frame
from laburnumyard.wire._framing import LENGTH, decode_envelope
from laburnumyard.wire._queue import OutgoingFrame, SendQueue
from tests.wire.conftest import (
    SETTINGS,
    TEST_TIMEOUT_S,
    hello,
    submit,
    wait_until,
)

HELLO = encode_frame(hello('raw'))
BAD_STREAMS = MappingProxyType(
    {
        'empty frame': LENGTH.pack(0),
        'oversize frame': LENGTH.pack(2**31),
        'no envelope': HELLO + LENGTH.pack(5) + b'\xff' * 5,
        'no hello': encode_frame(submit('key')),
        'text that is not UTF-8': HELLO
        + encode_frame(submit('key-key-key')).replace(b'key-key', b'\xff' * 7),
        'unknown member': HELLO
        + LENGTH.pack(24)
        + bytes.fromhex('000000000200000000000000010000006300000000000000'),
        'truncated frame': HELLO + encode_frame(submit('key'))[:-3],
    }
)


@pytest.mark.anyio
@pytest.mark.parametrize('fault', BAD_STREAMS)
async def test_bad_bytes_close_only_their_link(
    fault, server, daemon, pool, peer
):
    host, port = server.address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(BAD_STREAMS[fault])
    if fault == 'truncated frame':
        writer.write_eof()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        with pytest.raises((EOFError, ConnectionError)):
            while True:
                await reader.readexactly(1)
    await wait_until(lambda: not server.links)
    answer = await pool.request(peer, submit('good'), TEST_TIMEOUT_S)
    assert_that(answer.ok.detail, Equals('good'))
    assert_that(daemon.keys(), Equals(['good']))


@pytest.mark.parametrize('seed', range(4))
def test_changed_bytes_are_a_message_or_a_typed_error(seed):
    draw = random.Random(seed)
    whole = messages.encode(submit('key', b'body'))
    outcomes = set()
    for _ in range(500):
        length = draw.choice([len(whole), draw.randrange(1, len(whole))])
        changed = bytearray(whole[:length])
        changed[draw.randrange(len(changed))] = draw.randrange(256)
        try:
            decode_envelope(bytes(changed))
        except FrameError:
            outcomes.add('refused')
        else:
            outcomes.add('taken')
    assert_that(outcomes, Equals({'refused', 'taken'}))


@pytest.mark.parametrize('size', [1, 3, 7, 1000])
def test_frames_are_cut_alike_whatever_the_pieces(size):
    sent = [submit(f'key-{place}') for place in range(5)]
    stream = b''.join(map(encode_frame, sent))
    reader = FrameReader(SETTINGS.frame_bytes)
    received_messages = [
        decode_envelope(envelope)
        for start in range(0, len(stream), size)
        for envelope in reader.feed(stream[start : start + size])
    ]
    assert_that(received_messages, Equals(sent))
    reader.finish()


def test_control_messages_go_before_bulk_ones():
    queue = SendQueue(SETTINGS)
    queue.put(submit('key'), OutgoingFrame(b'bulk'))
    queue.put(messages.Ping(number=1), OutgoingFrame(b'control'))
    assert_that(queue.take_batch(), Equals(b'controlbulk'))
