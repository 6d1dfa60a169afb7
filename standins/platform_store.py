"""Stand-in for the metadata store of the users' platform.

It has objects with revisions, conditional writes, lists in pages and watches.
Engines write their entries as `PUT /entries/NAME`, which has to be repeated as
a heartbeat; entries that fall silent are removed.

Each client may have an entrance of its own, at which it can be turned away.

Faults: `is_down` leaves calls without a response, `slow_s` delays each, and
`drop_history` makes the watches start anew.

Example::

    store = PlatformStore('127.1.2.3:8223')
    store.start()
    store.put('config', 'main', b'{"Version":1}')
"""

import json
from urllib import parse

import gevent
from gevent import event

from galenaspoke.core import clock as clocks
from standins import raw_http

KIND_OF_ENTRIES = 'servers'
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_MS = 20_000
MAX_WAIT_MS = 30_000
HEARTBEAT_MS = 1_200
ENTRY_SILENCE_MS = 3 * HEARTBEAT_MS
# How long a call hangs while the store is down.
HANG_S = 60
RESPONSE_S = 0.003
FIRST_REVISION = 100
# How the store turns a client away that gets no status.
RESET = 'reset'
SILENCE = 'silence'


class StoredObject:
    """One state of an object.  The value is kept as it was written."""

    __slots__ = ('name', 'revision', 'created', 'value')

    def __init__(self, name, revision, created, value):
        self.name = name
        self.revision = revision
        self.created = created
        self.value = value

    def encode(self):
        """Return its JSON."""
        return (
            b'{"Metadata":{"Name":%s,"Rev":%d,"CreateRevision":%d,'
            b'"Finalizers":[],"Deleting":false},"Spec":%s,"Status":null}'
            % (
                json.dumps(self.name).encode(),
                self.revision,
                self.created,
                self.value,
            )
        )


class StoredChange:
    """A change in the store's history."""

    __slots__ = ('at', 'kind', 'obj', 'is_deleted')

    def __init__(self, at, kind, obj, is_deleted):
        self.at = at
        self.kind = kind
        self.obj = obj
        self.is_deleted = is_deleted


class PlatformStore:
    """All objects by kind, and the server that hands them out."""

    def __init__(self, address):
        self.address = address
        self.is_down = False
        self.slow_s = 0.0
        self._clock = clocks.Clock()
        self._kinds = {}
        self._revision = FIRST_REVISION
        self._history = []
        self._forgotten_revision = 0
        self._changed = event.Event()
        # When each engine was heard of.
        self._heard_at = {}
        # Addresses for one client each, and how those are turned away.
        self._entrances = []
        self._refusals = {}

    def add_entrance(self):
        """Return a further address; call this before `start`."""
        host, port = raw_http.parse(self.address)
        entrance = f'{host}:{port + len(self._entrances) + 1}'
        self._entrances.append(entrance)
        return entrance

    def turn_away(self, entrance, how):
        """Refuse calls at an entrance, None to serve them again.

        `how` is a status, 'reset' or 'silence'.
        """
        self._refusals[entrance] = how

    def start(self):
        """Listen."""
        self._servers = [
            raw_http.listen(address, self._serve)
            for address in [self.address, *self._entrances]
        ]
        gevent.spawn(self._remove_silent_entries)

    def put(self, kind, name, value):
        """Write an object, unless that changes nothing; return it."""
        objects = self._kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old.value == value:
            return old
        self._revision += 1
        created = old.created if old else self._revision
        obj = StoredObject(name, self._revision, created, value)
        objects[name] = obj
        self._record(kind, obj, False)
        return obj

    def remove(self, kind, name):
        """Remove an object; return it, None if there is none."""
        old = self._kinds.get(kind, {}).pop(name, None)
        if old is not None:
            self._revision += 1
            last = StoredObject(name, self._revision, old.created, old.value)
            self._record(kind, last, True)
        return old

    def count(self, kind):
        """Return the number of objects of a kind."""
        return len(self._kinds.get(kind, ()))

    def drop_history(self):
        """Forget all changes so far."""
        self._history = []
        self._forgotten_revision = self._revision
        self._wake()

    def _record(self, kind, obj, is_deleted):
        now = self._clock.now()
        self._history.append(StoredChange(now, kind, obj, is_deleted))
        while now - self._history[0].at > HISTORY_MS:
            self._forgotten_revision = self._history.pop(0).obj.revision
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def _remove_silent_entries(self):
        while True:
            gevent.sleep(0.1)
            now = self._clock.now()
            for name, heard_at in list(self._heard_at.items()):
                if now - heard_at > ENTRY_SILENCE_MS:
                    del self._heard_at[name]
                    self.remove(KIND_OF_ENTRIES, name)

    def _serve(self, sock, _peer):
        conn = raw_http.Connection(sock)
        entrance = '{}:{}'.format(*sock.getsockname())
        try:
            while (message := conn.read_head()) is not None:
                body = conn.read_body(message)
                refusal = self._refuse(entrance)
                if refusal == RESET:
                    raw_http.reset(sock)
                    return
                sock.sendall(refusal or self._respond(message, body))
        except (OSError, raw_http.Disconnected):
            pass
        finally:
            sock.close()

    def _refuse(self, entrance):
        """Return the refusal of a call, RESET, or None to serve it."""
        how = self._refusals.get(entrance)
        if how == SILENCE:
            gevent.sleep(HANG_S)
            raise raw_http.Disconnected('the store was silent')
        if how in (None, RESET):
            return how
        return raw_http.encode_response(how)

    def _respond(self, message, body):
        method, url, _ = message.first.split(' ')
        path, _, query = url.partition('?')
        args = dict(parse.parse_qsl(query))
        _, root, *parts = path.split('/')
        if root == 'entries':
            return self._handle_entry(method, parts[0], body)
        gevent.sleep(RESPONSE_S + self.slow_s)
        self._hang_if_down()
        if root != 'objects' or not parts:
            return raw_http.encode_response(404)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method != 'GET':
            return self._write(method, kind, name, args, body)
        if 'Watch' in args:
            return self._watch(kind, args)
        if name is None:
            return self._list(kind, args.get('After', ''))
        obj = self._kinds.get(kind, {}).get(name)
        if obj is None:
            return raw_http.encode_response(404)
        return raw_http.encode_response(200, obj.encode())

    def _hang_if_down(self):
        if self.is_down:
            gevent.sleep(HANG_S)
            raise raw_http.Disconnected('the store was down')

    def _handle_entry(self, method, name, body):
        if method == 'DELETE':
            self._heard_at.pop(name, None)
            self.remove(KIND_OF_ENTRIES, name)
        else:
            self._heard_at[name] = self._clock.now()
            self.put(KIND_OF_ENTRIES, name, body)
        return raw_http.encode_response(200)

    def _list(self, kind, after):
        objects = self._kinds.get(kind, {})
        items, size, has_more = [], 0, False
        for name in sorted(name for name in objects if name > after):
            raw = objects[name].encode()
            size += len(raw)
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                has_more = True
                break
            items.append(raw)
        body = b'{"Items":[%s],"HasMore":%s,"StoreRevision":%d}' % (
            b','.join(items),
            b'true' if has_more else b'false',
            self._revision,
        )
        return raw_http.encode_response(200, body)

    def _watch(self, kind, args):
        since = int(args['Watch'])
        wait_ms = min(MAX_WAIT_MS, int(args.get('WaitMs', 0)))
        until = self._clock.now() + wait_ms
        while True:
            if since < self._forgotten_revision:
                return raw_http.encode_response(410)
            changes = [
                b'{"Object":%s,"Deleted":%s}'
                % (
                    change.obj.encode(),
                    b'true' if change.is_deleted else b'false',
                )
                for change in self._history
                if change.kind == kind and change.obj.revision > since
            ]
            left_ms = until - self._clock.now()
            if changes or left_ms <= 0:
                break
            self._changed.wait(left_ms / 1000)
        body = b'{"events":[%s],"StoreRevision":%d}' % (
            b','.join(changes),
            self._revision,
        )
        self._hang_if_down()
        return raw_http.encode_response(200, body)

    def _write(self, method, kind, name, args, body):
        document = json.loads(body) if body else {}
        metadata = document.get('Metadata') or {}
        name = name or metadata.get('Name')
        old = self._kinds.get(kind, {}).get(name)
        expected = metadata.get('Rev', args.get('Rev'))
        if method == 'POST' and old is not None:
            return raw_http.encode_response(409, old.encode())
        if method != 'POST' and old is None:
            return raw_http.encode_response(404)
        if method != 'POST' and expected not in (None, ''):
            if int(expected) != old.revision:
                return raw_http.encode_response(409, old.encode())
        if method == 'DELETE':
            obj = self.remove(kind, name)
        else:
            value = json.dumps(document.get('Spec')).encode()
            obj = self.put(kind, name, value)
        return raw_http.encode_response(200, obj.encode())
