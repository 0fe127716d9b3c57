"""Callers behind a balancer that asks each daemon whether it is ready."""

import threading
import time
from collections import Counter
from contextlib import closing, contextmanager
from http.client import HTTPConnection, HTTPException
from itertools import count

from standins.cluster import is_answering

POLL_INTERVAL_S = 1
PACE_S = 0.01
TIMEOUT_S = 6
ORDER_EACH = 4


class Balancer:
    """Hands callers' connections to the daemons that were last ready."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.ready = ()
        self.turns = count()
        self.is_open = True
        self.told = Counter()
        self.poll()

    def poll(self):
        self.ready = tuple(
            daemon.callers
            for daemon in self.daemons
            if is_answering(daemon.admin, '/ready')
        )

    def keep_polling(self):
        while self.is_open:
            self.poll()
            time.sleep(POLL_INTERVAL_S)

    def choose(self):
        ready = self.ready
        return ready[next(self.turns) % len(ready)]

    def call(self, number):
        """Send requests one by one; every other caller keeps connections."""
        names = (f'{number}-{sent}' for sent in count(1))
        keeps = bool(number % 2)
        while self.is_open:
            address = self.choose()
            with closing(HTTPConnection(address, timeout=TIMEOUT_S)) as kept:
                is_kept = self.exchange(kept, next(names))
                while keeps and is_kept and address in self.ready:
                    is_kept = self.exchange(kept, next(names))

    def exchange(self, kept, name):
        """Send one request; False where its connection is to be closed."""
        try:
            answer, is_whole = self.send(kept, name)
        except (OSError, HTTPException) as fault:
            self.told[f'{type(fault).__name__} of {kept.host}:{kept.port}'] += 1
            return False
        kind = answer.getheader('laburnumyard-error', '')
        outcome = 'whole' if is_whole else f'{answer.status} {kind}'
        self.told[outcome] += 1
        time.sleep(PACE_S)
        return self.is_open and answer.getheader('connection') != 'close'

    def send(self, kept, name):
        headers = {
            'laburnumyard-key': f'key-{name}',
            'laburnumyard-deadline-ms': '3000',
        }
        if int(name.partition('-')[2]) % ORDER_EACH:
            return exchange(kept, 'GET', 'catalogue/read', name, headers)
        order = ('POST', 'orders/confirm', name, headers)
        answer, is_whole = exchange(kept, *order)
        ticket = answer.getheader('laburnumyard-ticket')
        if ticket is None:
            return answer, is_whole
        headers['laburnumyard-ticket'] = ticket
        if answer.getheader('connection') != 'close':
            return exchange(kept, *order)
        address = self.choose()
        with closing(HTTPConnection(address, timeout=TIMEOUT_S)) as fresh:
            return exchange(fresh, *order)


def exchange(kept, method, path, name, headers):
    target = f'/{path}?echo={name}&work_ms=5'
    kept.request(method, target, headers=headers)
    answer = kept.getresponse()
    is_whole = answer.read().endswith(f'end={name}'.encode())
    return answer, is_whole and answer.status == 200


@contextmanager
def balanced(daemons, callers):
    """Send requests through a balancer until the context ends."""
    balancer = Balancer(daemons)
    threads = [
        threading.Thread(target=balancer.call, args=(number,))
        for number in range(callers)
    ]
    threads.append(threading.Thread(target=balancer.keep_polling))
    for thread in threads:
        thread.start()
    try:
        yield balancer
    finally:
        balancer.is_open = False
        for thread in threads:
            thread.join()
