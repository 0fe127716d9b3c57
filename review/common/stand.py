"""Stand-ins for the review's scripts: store, workers, requesters, machines.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and need only Python's
standard library. The store, the workers and the requesters run in the process
of the script; each gateway is a process of its own, started with the command
of the deploy file.
"""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Bounds of the users' page for their smaller installation (lima).
BOUNDS = (
    'seedLagS=3 reuseAfterS=2 stabilityWindowMs=3000 ackMs=4000 catchUpS=4 '
    'drain_ms=2000 grace_s=6 lossSlackMs=200 configApplyMs=2000 '
    'rollbackSlackMs=250 maxStretchMs=5000 retry_ratio=0.2 retry_window_s=10 '
    'retry_allowance=56 recoveryS=15 hold_max_ms=10000 thawMs=300'
).split()
HEARTBEAT_S = 0.87
GRACE_S = 6.0
MAX_KEY = 65535
MS = 1000
ZONES = ('lima-a', 'lima-b', 'lima-c')


_kept = set()


def spawn(work):
    """Run a task and keep it from being collected."""
    task = asyncio.ensure_future(work)
    _kept.add(task)
    task.add_done_callback(_kept.discard)
    return task


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def note(self, what, **fields):
        at = time.monotonic() - self.start
        rest = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{at:9.4f} {what} {rest}\n')

    def say(self, text):
        self.file.write(f'# {text}\n')
        print(text, flush=True)

    def close(self):
        self.file.close()


# --- HTTP/1.1 ---------------------------------------------------------------


def encode(first_line, headers, body=b''):
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def response(status, headers=(), body=b''):
    headers = [*headers, ('Content-Length', len(body))]
    return encode(f'HTTP/1.1 {status} X', headers, body)


class Message:
    """A request or response as it was read."""

    def __init__(self, first_line, headers, body=b''):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        return self.headers.get(name.lower(), default)


def parse_head(raw):
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return Message(lines[0], headers)


class Served(asyncio.Protocol):
    """A connection to a stand-in: one request at a time, kept open."""

    def __init__(self, server):
        self.server = server
        self.buffer = b''
        self.task = None
        self.is_lost = False
        self.last_answer = None

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _):
        self.is_lost = True
        self.server.connections.discard(self)
        if self.task and self.server.drops_on_close:
            self.task.cancel()

    def data_received(self, data):
        self.buffer += data
        self.step()

    def step(self):
        if self.task or self.is_lost:
            return
        end = self.buffer.find(b'\r\n\r\n')
        if end < 0:
            return
        message = parse_head(self.buffer[:end])
        length = int(message.get('content-length', '0'))
        if len(self.buffer) < end + 4 + length:
            return
        message.body = self.buffer[end + 4 : end + 4 + length]
        self.buffer = self.buffer[end + 4 + length :]
        self.task = asyncio.ensure_future(self.serve(message))

    async def serve(self, message):
        try:
            answer = await self.server.answer(message, self)
            if answer is not None and not self.is_lost:
                self.last_answer = answer
                self.transport.write(answer)
        finally:
            self.task = None
        self.step()


class Server:
    """Base of the stand-ins that listen."""

    drops_on_close = True

    def __init__(self):
        self.connections = set()
        self.listener = None

    async def listen(self, ip, port=0):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: Served(self), ip, port, backlog=512
        )
        bound_ip, bound_port = self.listener.sockets[0].getsockname()
        self.address = f'{bound_ip}:{bound_port}'

    def close(self):
        if self.listener:
            self.listener.close()
        for connection in tuple(self.connections):
            connection.transport.abort()


# --- the platform's store ---------------------------------------------------


class Store(Server):
    """The key-value store: linearizable, one revision counter, leases."""

    drops_on_close = False

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.lease_number = 0
        self.changed = asyncio.Event()
        self.era = 1
        self.first_event = 0
        self.is_away = False
        # Copies of the system's own keys, for a drill.
        self.copies = []

    def put(self, key, content, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': b64encode(content).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self.tell(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.tell({'key': key, 'revision': self.revision, 'removed': True})

    def tell(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.is_away:
                continue
            self.copies.append(
                (now, self.revision, dict(self.items), dict(self.leases))
            )
            del self.copies[:-400]
            for lease, (_, until) in tuple(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)

    def leave(self):
        """Be away: connections are reset, and new ones too."""
        self.is_away = True
        for connection in tuple(self.connections):
            connection.transport.abort()

    def come_back(self, age_s):
        """Come back from a copy that was some seconds old when it left."""
        newest = self.copies[-1][0]
        at, revision, items, leases = next(
            copy for copy in reversed(self.copies) if newest - copy[0] >= age_s
        )
        now = time.monotonic()
        others = {
            key: item
            for key, item in self.items.items()
            if key.startswith(('op/', 'servers/'))
        }
        self.items = items
        self.leases = {
            lease: (ttl, now + max(0, until - at))
            for lease, (ttl, until) in leases.items()
        }
        self.revision = revision
        self.events = []
        self.era += 1
        self.first_event = revision
        self.copies = []
        # What the operator and the workers wrote is written again.
        for key in [key for key in items if key.startswith('servers/')]:
            if key not in others:
                self.remove(key)
        for key, item in others.items():
            self.put(key, b64decode(item['value']))
        self.is_away = False

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    def reply(self, status, content):
        headers = [
            ('Content-Type', 'application/json'),
            ('Store-Era', self.era),
        ]
        return response(status, headers, json.dumps(content).encode())

    async def answer(self, message, connection):
        await asyncio.sleep(0.004)
        if self.is_away:
            connection.transport.abort()
            return None
        target = message.first_line.split(' ')[1]
        parts = urlsplit(target)
        query = {
            name: values[0] for name, values in parse_qs(parts.query).items()
        }
        name, _, rest = parts.path.removeprefix('/-/').partition('/')
        body = json.loads(message.body or b'{}')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return self.reply(404, {'asOf': self.revision})
            return self.reply(200, {**item, 'asOf': self.revision})
        if name == 'kv-range':
            rows = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            ]
            more = len(rows) > 500
            return self.reply(
                200,
                {'items': rows[:500], 'morePages': more, 'asOf': self.revision},
            )
        if name == 'kv-watch':
            return await self.watch(query)
        if name == 'kv-txn':
            return self.transact(body)
        if name == 'kv-lease':
            self.lease_number += 1
            ttl = max(1000, body['ttlMs'])
            until = time.monotonic() + ttl / MS
            self.leases[self.lease_number] = (ttl, until)
            return self.reply(200, {'lease': self.lease_number, 'ttlMs': ttl})
        lease = int(rest)
        if lease not in self.leases:
            return self.reply(404, {})
        if name == 'kv-keep':
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / MS)
        else:
            self.end_lease(lease)
        return self.reply(200, {})

    async def watch(self, query):
        after, prefix = int(query['after']), query['prefix']
        if not self.first_event <= after <= self.revision:
            return self.reply(410, {})
        until = time.monotonic() + int(query['waitMs']) / MS
        while True:
            found = [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return self.reply(200, {'events': found, 'asOf': self.revision})
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def transact(self, body):
        rows = body.get('expectedRevision', [])
        current = {
            row['key']: self.items.get(row['key'], {}).get('revision', 0)
            for row in rows
        }
        if any(current[row['key']] != row['revision'] for row in rows):
            items = [self.items[key] for key in current if key in self.items]
            return self.reply(412, {'items': items})
        puts = body.get('puts', [])
        if any(
            row.get('lease') and row['lease'] not in self.leases for row in puts
        ):
            return self.reply(404, {})
        keys = [row['key'] for row in puts] + body.get('remove', [])
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return self.reply(403, {})
        for row in puts:
            self.put(row['key'], b64decode(row['value']), row.get('lease', 0))
        for key in body.get('remove', []):
            self.remove(key)
        return self.reply(200, {'revision': self.revision})


# --- workers ----------------------------------------------------------------


class Worker(Server):
    """A worker: slots, a short queue, and keys if its service is sharded."""

    def __init__(self, record, name, service, zone, **more):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = more.get('slots', 3)
        self.queue = more.get('queue', 12)
        self.work_s = more.get('work_s', 0.1)
        self.sharded = more.get('sharded', False)
        self.body = more.get('body', b'the worker says so')
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * MS)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.holds = []  # (first, last, fence, until)
        self.seen = []  # (first, last, fence)
        self.active = {}  # attempt id -> key
        self.is_writing = True
        self.on_event = lambda *_, **__: None
        self.spoils = lambda: False
        self.answers = 0

    def entry(self):
        self.sequence += 1
        return json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'maxConcurrency': self.slots,
                'state': self.state,
                'warmupLeftMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()

    def write(self, store):
        store.put(f'servers/{self.name}', self.entry())

    async def beat(self, store):
        while True:
            if self.is_writing:
                self.write(store)
            await asyncio.sleep(HEARTBEAT_S)

    def held(self, key, now):
        return next(
            (
                hold
                for hold in self.holds
                if hold[0] <= key <= hold[1] and now < hold[3]
            ),
            None,
        )

    def headers(self, message):
        found = [
            ('Laburnumyard-Instance-Id', self.name),
            ('Keep-Alive', 'timeout=10'),
        ]
        attempt = message.get('laburnumyard-attempt-id')
        if attempt:
            found.append(('Laburnumyard-Attempt-Id', attempt))
        return found

    async def answer(self, message, connection):
        method, path, _ = message.first_line.split(' ')
        self.answers += 1
        expected = message.get('laburnumyard-expect-instance', self.name)
        if expected != self.name:
            return response(421, self.headers(message))
        if path == '/-/grant':
            found = self.grant(json.loads(message.body), message)
        elif path == '/-/release':
            # The fault of a garbling worker: a second copy of the last answer
            # comes late, where the next one is expected.
            if connection.last_answer and self.spoils():
                self.record.note(
                    'extra-answer-late', worker=self.name, on='release'
                )
                connection.transport.write(connection.last_answer)
            found = await self.release(json.loads(message.body), message)
        elif path == '/healthz':
            found = response(200, self.headers(message))
        else:
            return await self.run(method, path, message)
        return found

    def grant(self, order, message):
        first, last, fence = order['from'], order['target'], order['fence']
        now = time.monotonic()
        if any(
            seen > fence and a <= last and first <= b
            for a, b, seen in self.seen
        ):
            self.record.note(
                'grant-refused',
                worker=self.name,
                first=first,
                last=last,
                fence=fence,
            )
            return response(409, self.headers(message))
        is_new = not any(
            hold[2] == fence
            and hold[0] <= first
            and last <= hold[1]
            and now < hold[3]
            for hold in self.holds
        )
        self.drop(first, last)
        until = now + order['holdMs'] / MS
        self.holds.append((first, last, fence, until))
        self.seen.append((first, last, fence))
        self.record.note(
            'granted' if is_new else 'renewed',
            worker=self.name,
            first=first,
            last=last,
            fence=fence,
            hold_ms=order['holdMs'],
        )
        if is_new:
            self.on_event('granted', self, first, last, fence)
        return response(200, self.headers(message))

    async def release(self, order, message):
        first, last, fence = order['from'], order['target'], order['fence']
        self.record.note(
            'release', worker=self.name, first=first, last=last, fence=fence
        )
        self.drop(first, last)
        self.seen.append((first, last, fence))
        running = [
            attempt
            for attempt, (key, _) in self.active.items()
            if first <= key <= last
        ]
        while any(attempt in self.active for attempt in running):
            await asyncio.sleep(0.005)
        self.record.note(
            'released', worker=self.name, first=first, last=last, fence=fence
        )
        return response(
            200,
            [
                *self.headers(message),
                ('Laburnumyard-Handover', f'{random.getrandbits(64):016x}'),
            ],
        )

    def drop(self, first, last):
        kept = []
        for a, b, fence, until in self.holds:
            if b < first or a > last:
                kept.append((a, b, fence, until))
                continue
            if a < first:
                kept.append((a, first - 1, fence, until))
            if b > last:
                kept.append((last + 1, b, fence, until))
        self.holds = kept

    async def run(self, method, path, message):
        attempt = message.get('laburnumyard-attempt-id')
        refused = [*self.headers(message), ('Laburnumyard-Not-Executed', '1')]
        if not attempt:
            return response(400, refused)
        if self.running >= self.slots and self.waiting >= self.queue:
            return response(503, refused)
        deadline = (
            time.monotonic()
            + int(message.get('laburnumyard-deadline-ms', '2000')) / MS
        )
        async with self.free:
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    left = deadline - time.monotonic()
                    if left <= 0:
                        return response(503, refused)
                    with suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.free.wait(), left)
            finally:
                self.waiting -= 1
            now = time.monotonic()
            key = int(message.get('laburnumyard-shard-key', '-1'))
            hold = (
                self.held(key, now) if self.sharded else (0, 0, 0, now + 1000)
            )
            if hold is None:
                return response(421, refused)
            self.running += 1
        self.active[attempt] = (key, hold[3])
        work_s = self.work_s(message) if callable(self.work_s) else self.work_s
        self.record.note(
            'run',
            worker=self.name,
            attempt=attempt,
            method=method,
            path=path,
            key=key,
        )
        self.on_event('run', self, key, attempt, hold[3])
        status = 200
        try:
            stop = min(deadline, hold[3])
            await asyncio.sleep(max(0, min(work_s, stop - now)))
            if now + work_s > stop:
                status = 504 if stop == deadline else 500
            self.record.note(
                'ran', worker=self.name, attempt=attempt, status=status
            )
        except asyncio.CancelledError:
            self.record.note('dropped', worker=self.name, attempt=attempt)
            raise
        finally:
            self.active.pop(attempt, None)
            self.running -= 1
            spawn(self.wake())
        signed = [
            *self.headers(message),
            ('Laburnumyard-Instance-Signature', f'{self.name}.{attempt}'),
        ]
        return response(
            status, signed, self.body if status == 200 else b'failed'
        )

    async def wake(self):
        async with self.free:
            self.free.notify_all()


# --- machines ---------------------------------------------------------------

PORTS = range(20_000, 31_000)


def free_ports(ip, number):
    """Return ports below those that the system gives to outgoing sockets."""
    found, sockets = [], []
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            probe.close()
            continue
        sockets.append(probe)
        found.append(port)
        if len(found) == number:
            break
    for probe in sockets:
        probe.close()
    return found


def render(template, fields):
    """Fill in the placeholders that the deploy file's template has."""

    def section(found):
        rows = fields[found[1]]
        return ''.join(
            found[2].replace('{{@}}', name).replace('{{.|json}}', text)
            for name, text in (row.split('=') for row in rows)
        )

    text = re.sub(
        r'\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n?', section, template, flags=re.S
    )

    def value(found):
        node = fields
        for name in found[1].split('.'):
            node = node[name]
        return json.dumps(node)

    return re.sub(r'\{\{([\w.]+)\|json\}\}', value, text)


class Gateway:
    """One machine with its gateway process."""

    def __init__(self, index, folder, store, network):
        self.name = f'edge-{index + 1}'
        self.zone = ZONES[index % len(ZONES)]
        self.ip = f'127.{network}.{index + 1}.18'
        self.folder = folder
        self.store = store
        front, ready, control = free_ports(self.ip, 3)
        self.front = f'{self.ip}:{front}'
        self.ready = f'{self.ip}:{ready}'
        self.control = f'{self.ip}:{control}'
        self.process = None
        self.exit_code = None
        self.log = folder / f'{self.name}.log'

    def write_settings(self, seeds):
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        self.command = shlex.split(role['run'])
        fields = {
            'nodeName': self.name,
            'zone': self.zone,
            'region': 'lima',
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'controlPlane': self.control,
            },
            'platform': {'address': self.store},
            'limits': {'cpuFraction': 0.86},
            'seeds': seeds,
            'bounds': BOUNDS,
        }
        template = (REPOSITORY / role['template']).read_text()
        self.settings = self.folder / f'{self.name}.toml'
        self.settings.write_text(render(template, fields))

    async def start(self):
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': str(self.folder),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(REPOSITORY / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'LABURNUMYARD_CONFIG': str(self.settings),
        }
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        try:
            asked = Asked(
                self.ready, 'GET', '/-/readyz', [('Connection', 'close')]
            )
            return (await asked.run(1.0)).status == 200
        except OSError:
            return False


# --- requesters -------------------------------------------------------------


class Answer:
    def __init__(
        self, status=0, headers=None, body=b'', is_whole=False, error=''
    ):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole
        self.error = error


async def read_answer(reader):
    """Read one answer; it is not whole if the connection ends in it."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError) as fault:
        return Answer(error=type(fault).__name__)
    head = parse_head(raw[:-4])
    status = int(head.first_line.split(' ')[1])
    length = int(head.get('content-length', '0'))
    try:
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as fault:
        return Answer(status, head.headers, fault.partial, error='cut')
    except ConnectionError as fault:
        return Answer(status, head.headers, error=type(fault).__name__)
    return Answer(status, head.headers, body, True)


class Asked:
    """One request on a connection of its own."""

    def __init__(self, address, method, path, headers=(), body=b''):
        self.address = address
        self.raw = encode(
            f'{method} {path} HTTP/1.1',
            [*headers, ('Content-Length', len(body))]
            if body or method != 'GET'
            else headers,
            body,
        )

    async def run(self, timeout_s):
        host, port = self.address.split(':')
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), min(1.0, timeout_s)
            )
        except (TimeoutError, OSError) as fault:
            return Answer(error=f'connect {type(fault).__name__}')
        try:
            writer.write(self.raw)
            return await asyncio.wait_for(read_answer(reader), timeout_s)
        except TimeoutError:
            return Answer(error='gave up')
        except ConnectionError as fault:
            return Answer(error=type(fault).__name__)
        finally:
            writer.close()


def attempt_id():
    return f'{random.getrandbits(64):016x}'


# --- the whole installation -------------------------------------------------


class System:
    """A store, workers and gateways on loopback addresses."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.network = random.SystemRandom().randint(20, 250)
        self.store = Store()
        self.workers = []
        self.gateways = []
        self.tasks = []
        self.version = 5
        self.routes = []
        self.services = []
        self.limits = {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        }

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    def configure(self):
        self.version += 2
        document = {
            'version': f'r{self.version}',
            'routes': self.routes,
            'services': self.services,
            'limits': self.limits,
        }
        self.store.put('op/config', json.dumps(document).encode())

    def add_service(self, name, sharded=False):
        self.services.append(
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConns': 110,
                'sharded': sharded,
            }
        )

    def add_route(self, name, service, kind, **more):
        self.routes.append(
            {
                'name': name,
                'host': f'{name}.example',
                'prefix': f'/{name}/',
                'routeType': kind,
                'timeoutMs': more.get('timeout_ms', 2500),
                'sloMs': more.get('slo_ms', 500),
                'priority': more.get('priority', 1),
                'service': service,
                'maxAttempts': 2,
            }
        )

    async def add_worker(self, name, service, **more):
        index = len(self.workers)
        zone = ZONES[index % len(ZONES)]
        worker = Worker(self.record, name, service, zone, **more)
        await worker.listen(f'127.{self.network}.100.{index + 1}')
        self.workers.append(worker)
        self.spawn(worker.beat(self.store))
        self.record.note(
            'worker', name=name, service=service, address=worker.address
        )
        return worker

    async def start_gateways(self, number):
        for index in range(number):
            gateway = Gateway(
                index, self.folder, self.store.address, self.network
            )
            self.gateways.append(gateway)
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            await gateway.start()
            self.record.note('gateway', name=gateway.name, front=gateway.front)
        until = time.monotonic() + 25
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f'{gateway.name} is not ready')
                await asyncio.sleep(0.1)

    def coordinator(self, service):
        """Return the gateway that the store names for a service."""
        item = self.store.items.get(f'laburnumyard/coordinator/{service}')
        text = b64decode(item['value']).decode('latin-1') if item else ''
        return next((g for g in self.gateways if g.name in text), None)


@asynccontextmanager
async def installation(record):
    folder = Path(tempfile.mkdtemp(prefix='laburnumyard-review-'))
    system = System(folder, record)
    try:
        await system.store.listen(f'127.{system.network}.200.7')
        system.spawn(system.store.run())
        yield system
    finally:
        for task in system.tasks:
            task.cancel()
        for gateway in system.gateways:
            await gateway.stop()
        for worker in system.workers:
            worker.close()
        system.store.close()
        if os.environ.get('KEEP_LOGS'):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


def main(case, folder):
    """Run a case and exit with 0, 1 or 2."""
    record = Record(Path(folder) / 'record.txt')
    record.say(
        'with the disruption'
        if TROUBLE
        else 'TROUBLE=0: without the disruption'
    )

    async def run():
        try:
            async with asyncio.timeout(112), installation(record) as system:
                return await case(system, record)
        finally:
            left = asyncio.all_tasks() - {asyncio.current_task()}
            for task in left:
                task.cancel()
            await asyncio.gather(*left, return_exceptions=True)

    try:
        code = asyncio.run(run())
    except Exception as fault:
        record.say(f'could not run: {type(fault).__name__}: {fault}')
        code = COULD_NOT_RUN
    record.say({0: 'HELD', 1: 'BROKEN', 2: 'COULD NOT RUN'}[code])
    record.close()
    sys.exit(code)
