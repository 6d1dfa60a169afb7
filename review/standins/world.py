"""Stand-ins for the store, the engines and the clients, in one process.

They speak what PROTOCOL.md says, on loopback addresses and the real clock.
The project's programs run beside them as processes of their own, with the
commands of the deploy file.  Only the standard library is used.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
# As in asm-generic/socket.h.
SO_ATTACH_FILTER = 26
BOUNDS = {
    'SeedLagS': 3,
    'ReuseAfterS': 2,
    'StableWindowMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'SkewMaxMs': 5000,
    'RevokeStrict': False,
    'RevokeMs': 5000,
    'RetryRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 58,
    'RecoverS': 12,
    'PassMs': 120,
    'ReuseWindowS': 10,
    'settle_ms': 1500,
}


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, text):
        self._file.write(f'{self.now():8.3f} s  {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of a request."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


def encode(status, body=b'', headers=()):
    """Encode a response with a length."""
    lines = [f'HTTP/1.1 {status} -', f'Content-Length: {len(body)}', *headers]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class HttpServer:
    """Serves `handle(first, headers, body, writer)`, which returns bytes.

    None closes the connection without a response.  A server that is dark
    accepts no connections and answers nothing, and nothing tells its peers so.
    """

    def __init__(self, address, handle):
        self.is_dark = False
        self._handle = handle
        self._writers = set()
        self._fillers = []
        # Writers of connections that went silent.
        self._silent = []
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(split(address))
        self._sock.listen(8)
        self._sock.setblocking(False)
        self._task = asyncio.create_task(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            reader = asyncio.StreamReader(limit=2**23)
            await loop.connect_accepted_socket(
                lambda r=reader: asyncio.StreamReaderProtocol(
                    r, self._on_connection
                ),
                sock,
            )

    async def _on_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                response = None
                if not self.is_dark:
                    response = await self._handle(*message, writer)
                if self.is_dark or writer in self._silent:
                    # Nothing more is heard of this connection.
                    await asyncio.sleep(60)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def silence_connections(self):
        """Let all open connections go silent for good, without a reset.

        What comes in on them is dropped before the kernel answers it, by a
        filter on the sockets; new connections work.  Where there are no such
        filters, the kernel acknowledges what this end never answers.
        """
        # One instruction: keep no byte of any packet.
        code = ctypes.create_string_buffer(struct.pack('HBBI', 0x06, 0, 0, 0))
        program = struct.pack('HP', 1, ctypes.addressof(code))
        for writer in list(self._writers):
            self._silent.append(writer)
            with contextlib.suppress(OSError):
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, SO_ATTACH_FILTER, program
                )

    def go_dark(self):
        """Be silent: further connections hang, and open ones say nothing."""
        self.is_dark = True
        self._task.cancel()
        for _ in range(32):
            # They fill the queue of connections that nobody accepts.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self._sock.getsockname())
            self._fillers.append(sock)

    def come_back(self):
        """Serve again; the connections of before are unknown, so reset."""
        for sock in self._fillers:
            sock.close()
        self._fillers = []
        self._reset_connections()
        self.is_dark = False
        self._task = asyncio.create_task(self._accept())

    def close(self):
        """Stop listening and close all connections."""
        self._task.cancel()
        self._sock.close()
        for writer in list(self._writers):
            writer.close()

    def crash(self):
        """Stop listening and reset all connections."""
        self._task.cancel()
        self._sock.close()
        self._reset_connections()

    def _reset_connections(self):
        for writer in list(self._writers):
            # Closing at once, without lingering, resets the connection.
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()


def split(address):
    """Split IP:PORT."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def free_port(host):
    """Return a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Store:
    """The platform's metadata store.

    A `Spec` is kept as the bytes that were written.  `before_page(kind,
    number)` is called before each page of a list but the first is made.
    """

    def __init__(self, address, record):
        self.address = address
        self.before_page = lambda kind, number: None
        # Whether it is down: calls get no answer.
        self.is_down = False
        self.calls = 0
        self._record = record
        self._kinds = {}
        self._revision = 100
        # Pairs of the time and (revision, kind, object, deleted).
        self._history = []
        self._lost_up_to = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Listen."""
        self.server = HttpServer(self.address, self._handle)

    # What the engines and the operator do; the return is the ack.

    def put(self, kind, name, spec):
        """Write an object, as its owner does; return the revision."""
        objects = self._kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old['spec'] == spec:
            return old['rev']
        self._revision += 1
        created = old['created'] if old else self._revision
        objects[name] = {
            'name': name,
            'rev': self._revision,
            'created': created,
            'spec': spec,
        }
        self._note(kind, objects[name], False)
        return self._revision

    def remove(self, kind, name):
        """Remove an object."""
        old = self._kinds.get(kind, {}).pop(name, None)
        if old is not None:
            self._revision += 1
            self._note(kind, {**old, 'rev': self._revision}, True)

    def names(self, kind):
        """Return the names of all objects of a kind."""
        return sorted(self._kinds.get(kind, {}))

    def drop_history(self):
        """Forget all changes so far, and cut the waiting watches."""
        self._history = []
        self._lost_up_to = self._revision
        self._wake()

    def _note(self, kind, obj, deleted):
        now = time.monotonic()
        self._history.append((now, self._revision, kind, obj, deleted))
        while self._history and now - self._history[0][0] > HISTORY_S:
            self._lost_up_to = self._history.pop(0)[1]
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # The calls.

    async def _handle(self, first, headers, body, _):
        method, url, _ = first.split(' ')
        path, _, query = url.partition('?')
        args = dict(part.split('=', 1) for part in query.split('&') if part)
        parts = path.strip('/').split('/')
        self.calls += 1
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_down:
            # The connection returns nothing further.
            await asyncio.sleep(60)
            return None
        if parts[0] != 'objects' or len(parts) < 2:
            return encode(404)
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else None
        if method == 'GET' and 'Watch' in args:
            return await self._watch(
                kind, int(args['Watch']), int(args.get('WaitMs', 0))
            )
        if method == 'GET' and name is None:
            return self._list(kind, args.get('After', ''))
        if method == 'GET':
            obj = self._kinds.get(kind, {}).get(name)
            return encode(200, dump(obj)) if obj else encode(404)
        return self._write(method, kind, name, args, body)

    def _list(self, kind, after):
        self.before_page(kind, after)
        objects = self._kinds.get(kind, {})
        items, size = [], 0
        more = False
        for name in sorted(n for n in objects if n > after):
            raw = dump(objects[name])
            if len(items) >= PAGE_ITEMS or size + len(raw) > PAGE_BYTES:
                more = True
                break
            items.append(raw)
            size += len(raw)
        body = (
            b'{"Items":['
            + b','.join(items)
            + b'],"HasMore":%s,"StoreRevision":%d}'
            % (b'true' if more else b'false', self._revision)
        )
        return encode(200, body)

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + min(30_000, wait_ms) / 1000
        while True:
            if since < self._lost_up_to:
                return encode(410)
            events = [
                b'{"Object":%s,"Deleted":%s}'
                % (dump(obj), b'true' if deleted else b'false')
                for _, rev, of, obj, deleted in self._history
                if of == kind and rev > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if self.is_down:
            await asyncio.sleep(60)
            return None
        body = b'{"events":[%s],"StoreRevision":%d}' % (
            b','.join(events),
            self._revision,
        )
        return encode(200, body)

    def _write(self, method, kind, name, args, body):
        objects = self._kinds.setdefault(kind, {})
        if method == 'DELETE':
            old = objects.get(name)
            if old is None:
                return encode(404)
            if 'Rev' in args and int(args['Rev']) != old['rev']:
                return encode(409, dump(old))
            self.remove(kind, name)
            return encode(200, dump(old))
        message = json.loads(body)
        metadata = message.get('Metadata', {})
        spec = json.dumps(message.get('Spec')).encode()
        if method == 'POST':
            name = metadata['Name']
            if name in objects:
                return encode(409, dump(objects[name]))
        else:
            old = objects.get(name)
            if old is None:
                return encode(404)
            if 'Rev' in metadata and metadata['Rev'] != old['rev']:
                return encode(409, dump(old))
        self.put(kind, name, spec)
        return encode(200, dump(objects[name]))


def dump(obj):
    """Encode an object of the store."""
    return (
        b'{"Metadata":{"Name":%s,"Rev":%d,"CreateRevision":%d,'
        b'"Finalizers":[],"Deleting":false},"Spec":%s,"Status":null}'
        % (
            json.dumps(obj['name']).encode(),
            obj['rev'],
            obj['created'],
            obj['spec'],
        )
    )


class Engine:
    """A server of a service: one incarnation, with slots and a queue.

    It answers what the path asks for after `work_s`.  Streams hold `events`
    events, `gap_s` apart.
    """

    def __init__(self, store, record, service, zone, address, work_s=0.03):
        self.id = f'i-{secrets.token_hex(5)}'
        self.address = address
        self.state = 'ready'
        self.events = 5
        self.gap_s = 0.05
        # How long a stream takes to its first event.
        self.first_s = 0.0
        # How many tokens an event holds, 0 for a service without streams.
        self.stride = 0
        self.work_s = work_s
        self.slots = 64
        self.version = 'v1'
        # Triples of the time, the id of a request and its path.
        self.arrivals = []
        self.runs = []
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self.server = None
        self._born = int(time.time() * 1000)
        # Until when it is cold.
        self._cold_until = 0

    async def start(self):
        """Listen and register."""
        self.server = HttpServer(self.address, self._handle)
        self.register()

    def register(self):
        """Write the entry; return when the store has acknowledged it."""
        entry = {
            'Service': self._service,
            'Addr': self.address,
            'Zone': self._zone,
            'Version': self.version,
            'Slots': self.slots,
            'State': self.state,
            'ColdLeftMs': self.cold_left_ms(),
            'Seq': 1,
            'born': self._born,
        }
        self._store.put('servers', self.id, json.dumps(entry).encode())
        return time.monotonic()

    def cold_left_ms(self):
        """Return how much longer it is cold."""
        return max(0, int(1000 * (self._cold_until - time.monotonic())))

    def restart(self, cold_s):
        """Be a new incarnation under the same id, cold for a while."""
        self._record(f'{self.id} starts again, cold for {cold_s} s')
        self._born = int(time.time() * 1000)
        self._cold_until = time.monotonic() + cold_s
        self.server.come_back()

    async def crash(self, down_s):
        """Crash, and be back after a while as another incarnation.

        The entry of the one that crashed goes after three heartbeats.
        """
        self._record(f'{self.id} crashes')
        self.server.crash()
        crashed_id = self.id
        await asyncio.sleep(down_s)
        self.id = f'i-{secrets.token_hex(5)}'
        self._born = int(time.time() * 1000)
        await self.start()
        self._record(f'{self.id} is back in place of {crashed_id}')
        await asyncio.sleep(max(0, 3 * HEARTBEAT_S - down_s))
        self._store.remove('servers', crashed_id)

    def drain(self):
        """Report that it leaves; return when that was acknowledged."""
        self.state = 'draining'
        self._record(f'{self.id} reports draining, and the store accepts it')
        return self.register()

    def leave(self):
        """End: the entry is removed, and nothing listens any more."""
        self._record(f'{self.id} has left')
        self._store.remove('servers', self.id)
        self.server.close()

    async def _handle(self, first, headers, body, writer):
        method, url, _ = first.split(' ')
        request_id = headers.get('x-request-id', '')
        echo = [f'X-Request-Id: {request_id}'] if request_id else []
        if url == '/health':
            status = 200 if self.state == 'ready' else 503
            left = f'X-Cold-Ms: {self.cold_left_ms()}'
            return encode(status, b'', [f'X-Instance-Id: {self.id}', left])
        self.arrivals.append((time.monotonic(), request_id, url))
        expected = headers.get('x-expect-instance')
        if expected not in (None, self.id):
            return encode(421, b'', [f'X-Instance-Id: {self.id}', *echo])
        self.runs.append((time.monotonic(), request_id, url, headers, body))
        self._record(f'{self.id} runs {request_id} {method} {url}')
        if self.stride:
            return await self._stream(request_id, headers, echo, writer)
        await asyncio.sleep(self.work_s)
        stamp = [f'X-Response-Stamp: {self.id}.{request_id}', *echo]
        return encode(200, b'done ' + request_id.encode(), stamp)

    async def _stream(self, request_id, headers, echo, writer):
        """Send a stream of all output tokens that the request allows."""
        _, output_tokens = map(int, headers['x-token-usage'].split(','))
        first = int(headers.get('last-event-id') or 0) + 1
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'X-Response-Stamp: {self.id}.{request_id}',
            *echo,
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        await asyncio.sleep(self.first_s)
        for number in range(first, output_tokens // self.stride + 1):
            await asyncio.sleep(self.gap_s)
            event = b'id: %d\ndata: %s\n\n' % (number, b'x' * 40)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        self._record(f'{self.id} has ended {request_id}')
        return b'0\r\n\r\n'


class Answer:
    """What a client got: a status, 0 if the connection ended without one."""

    def __init__(self, status, headers=None, body=b'', why=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.why = why


class Connection:
    """A client's connection to a router, which it keeps."""

    def __init__(self, address):
        self._address = address
        self._streams = None

    async def ask(self, method, url, host, headers=(), body=b'', timeout_s=3):
        """Send one request; return the Answer."""
        try:
            return await asyncio.wait_for(
                self._ask(method, url, host, headers, body), timeout_s
            )
        except asyncio.TimeoutError:
            self.close()
            return Answer(0, why='no answer in time')
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            self.close()
            return Answer(0, why=f'connection ended: {exc}')

    async def _ask(self, method, url, host, headers, body):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                *split(self._address), limit=2**23
            )
        reader, writer = self._streams
        lines = [f'{method} {url} HTTP/1.1', f'Host: {host}', *headers]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        first, got, content = await read_message(reader)
        if got.get('connection', '').lower() == 'close':
            self.close()
        return Answer(int(first.split(' ')[1]), got, content)

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class World:
    """A small deployment: a store, engines, and processes of the system."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        # A loopback network of its own, so that nothing else has its ports.
        self.net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self._hosts = 0
        self.store = Store(self.new_address(), self.record)
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.host = f'h{secrets.token_hex(3)}.example'
        self.processes = {}
        self.zone = 'zone-a'
        # Bounds beyond the usual ones.
        self.bounds = {}

    def new_address(self, port=None):
        """Return an address on a new machine."""
        self._hosts += 1
        host = f'{self.net}.{self._hosts}'
        return f'{host}:{port or free_port(host)}'

    def write_config(self, version, routes, services, tenants=(), limits=None):
        """Publish a configuration; the return is the acknowledgement."""
        config = {
            'Version': version,
            'Routes': routes,
            'Services': services,
            'Limits': limits
            or {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
            'Tenants': list(tenants),
        }
        self.store.put('config', 'main', json.dumps(config).encode())
        self.record(f'version {version} is acknowledged')
        return time.monotonic()

    def route(self, prefix, service, kind, **fields):
        """Return a route of a configuration."""
        return {
            'Name': f'r-{prefix.strip("/")}',
            'Host': self.host,
            'PathPrefix': prefix,
            'Kind': kind,
            'TimeoutMs': 3000,
            'LatencyTargetMs': 300,
            'Priority': 1,
            'Service': service,
            'MaxAttempts': 1,
            'Public': False,
            'Sticky': False,
            'Resumable': False,
            'GapTargetMs': 400,
            **fields,
        }

    async def start_process(self, name, role, machine=None, first=True):
        """Start a program of the deploy file; return its Process."""
        process = Process(self, name, role, machine)
        self.processes[name] = process
        await process.start(first)
        return process

    async def finish(self):
        """End all processes that were started."""
        for process in self.processes.values():
            await process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


class Process:
    """One process of the system on a machine of its own."""

    def __init__(self, world, name, role, machine=None):
        self._world = world
        self.name = name
        self._role = role
        self.ip = machine or split(world.new_address(1))[0]
        port = free_port(self.ip)
        self.front = f'{self.ip}:{port}'
        self.ready_at = f'{self.ip}:{free_port(self.ip)}'
        self.control = f'{self.ip}:{free_port(self.ip)}'
        self.store_address = world.store.address
        self.task = None

    def _write_settings(self, path, first):
        settings = {
            'Node': self.name,
            'Role': self._role,
            'MachineClass': 'front' if self._role == 'edge' else 'side',
            'Serves': ['front'] if self._role == 'edge' else ['side'],
            'BindIp': self.ip,
            'Zone': self._world.zone,
            'Region': 'region',
            'Zones': {'zone-a': 'region', 'zone-b': 'region'},
            'Listen': {},
            'PortRange': [7340, 7355],
            'SeedAddrs': [],
            'FirstStart': first,
            'Discovery': 'platform',
            'Entry': 'vip',
            'HeartbeatMs': 1200,
            'Bounds': {**BOUNDS, **self._world.bounds},
            'Platform': {
                'Addr': self.store_address,
                'form': 'objects',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': HISTORY_S,
                'ValueBytes': 1048576,
            },
        }
        if self._role == 'edge':
            settings['Listen'] = {
                'Front': self.front,
                'Ready': self.ready_at,
                'Control': self.control,
            }
        # JSON is YAML.
        pathlib.Path(path).write_text(json.dumps(settings))

    async def start(self, first=True):
        """Start the process, or start it again."""
        path = f'{self._world.folder}/{self.name}.yaml'
        self._write_settings(path, first)
        command = {
            'edge': ['galenaspoke.edge.main', '--metrics-port', '7999'],
            'relay': ['galenaspoke.edge.relay_main'],
        }[self._role]
        environ = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environ['GALENASPOKE_BOOT'] = path
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environ['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(f'{self._world.folder}/{self.name}.log', 'ab')
        self.task = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            *command,
            cwd=ROOT,
            env=environ,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._world.record(f'{self.name} starts')

    def log_text(self):
        """Return what the process has written."""
        path = f'{self._world.folder}/{self.name}.log'
        return pathlib.Path(path).read_text(errors='replace')

    def record_events(self, names, since):
        """Add its log lines with these events, from a wall time in ms on."""
        for line in self.log_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get('event') in names and event['at_ms'] >= since:
                self._world.record(
                    f'log of {self.name}, {event["at_ms"] - since} ms after:'
                    f' {line}'
                )

    async def is_ready(self):
        """Return whether it says that it is ready."""
        answer = await Connection(self.ready_at).ask(
            'GET', '/ready', self.ready_at, timeout_s=1
        )
        return answer.status == 200

    async def wait_ready(self, timeout_s=20):
        """Wait until it is ready; return whether it is."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                self._world.record(f'{self.name} is ready')
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        """Send it a signal."""
        self._world.record(f'{self.name} gets {signal.Signals(number).name}')
        self.task.send_signal(number)

    async def end(self):
        """Kill it, if it still runs."""
        if self.task is not None and self.task.returncode is None:
            self.task.kill()
            await self.task.wait()


def run(main, folder):
    """Run a case: `main(world)` returns HELD, BROKEN or NOT_RUN."""

    async def play():
        world = World(folder)
        # A script that is stopped ends its processes, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            await world.store.start()
            return await asyncio.wait_for(main(world), 110)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            world.record('the case took too long or was stopped')
            return NOT_RUN
        finally:
            await world.finish()

    result = asyncio.run(play())
    print({HELD: 'held', BROKEN: 'broken', NOT_RUN: 'could not run'}[result])
    sys.exit(result)
