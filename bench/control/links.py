"""Requests per second over one link between two processes.

``python -m bench.control.links`` starts the answering process itself.
"""

import asyncio
import subprocess
import sys
import time

from laburnumyard.core.ids import DaemonName
from laburnumyard.schema._generated import messages
from laburnumyard.wire import IncomingLink, LinkPool, LinkServer, Peer

ADDRESS = '127.0.0.1:17933'
START_S = 2
REQUESTS = 40000
CALLERS = 64
BODY = b'x' * 1024
HEADERS = tuple(
    messages.Header(name=f'header-{place}', value='some value')
    for place in range(4)
)
SERVER = messages.Hello(
    daemon='server',
    incarnation=1,
    data_centre='a',
    region='lima',
    peer_address='',
)
CLIENT = messages.Hello(
    daemon='client',
    incarnation=1,
    data_centre='a',
    region='lima',
    peer_address='',
)


def submit() -> messages.Submit:
    """Return a request with a body of 1 KiB."""
    return messages.Submit(
        number=0,
        request_id='0123456789abcdef',
        service='catalogue',
        target='catalogue-1',
        customer='clinic',
        key='bench-17',
        method='GET',
        path='/catalogue/benches',
        headers=HEADERS,
        body=BODY,
        deadline_ms=1000,
        repeatable=True,
        ticket='',
        hops=1,
    )


class Answerer:
    """Answers each request with a body of 1 KiB, until its asker is gone."""

    def __init__(self) -> None:
        """Start without a link."""
        self.answered = 0
        self.is_over = asyncio.Event()

    def take(self, link: IncomingLink, message: messages.Submit) -> None:
        """Answer a request."""
        if not self.answered:
            link.on_closed.append(lambda _: self.is_over.set())
        self.answered += 1
        link.send(
            messages.SubmitAnswer(
                number=message.number,
                kind='',
                detail='',
                status=200,
                headers=HEADERS,
                body=BODY,
            ),
        )


async def serve(address: str) -> None:
    """Answer one asker and print what it cost."""
    answerer = Answerer()
    async with LinkServer(address, SERVER, answerer.take):
        busy = time.process_time()
        await answerer.is_over.wait()
        busy = time.process_time() - busy
    answerer_us = busy * 1e6 / answerer.answered
    print(f'link_request_answerer_us={answerer_us:.1f}')


async def ask(address: str) -> None:
    """Ask over one link and print the rate."""
    peer = Peer(DaemonName('server'), address)
    async with LinkPool(CLIENT) as pool:
        started, busy = time.perf_counter(), time.process_time()
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(caller(pool, peer))
        elapsed = time.perf_counter() - started
        busy = time.process_time() - busy
    rate = REQUESTS / elapsed
    asker_us = busy * 1e6 / REQUESTS
    print(f'link_requests_per_s={rate:.0f}')
    print(f'link_request_asker_us={asker_us:.1f}')


async def caller(pool: LinkPool, peer: Peer) -> None:
    """Ask one request after another."""
    for _ in range(REQUESTS // CALLERS):
        answer = await pool.request(peer, submit(), 5)
        assert answer.is_ok(), answer.error


def main() -> None:
    """Ask another process, which this one starts and waits for."""
    if len(sys.argv) > 1:
        asyncio.run(serve(ADDRESS))
        return
    command = (sys.executable, '-m', 'bench.control.links', 'serve')
    answerer = subprocess.Popen(command)
    try:
        time.sleep(START_S)
        asyncio.run(ask(ADDRESS))
        answerer.wait(START_S)
    finally:
        answerer.kill()


if __name__ == '__main__':
    main()
