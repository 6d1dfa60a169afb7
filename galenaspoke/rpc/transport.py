"""grpclib on gevent: an asyncio loop inside one greenlet.

With everything monkey-patched, the loop's selector waits cooperatively, so
the loop is one greenlet among many in the process's one thread.  A greenlet
calls out with `Channel.unary` or `Channel.stream` and waits as for any other
I/O; a handler on the server side is a plain function run in a greenlet of its
own.
"""

import asyncio
import collections

import gevent
from gevent import event
from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server

from galenaspoke.rpc import codec

_CODEC = codec.MsgpackCodec()
_CONNECT_TIMEOUT_S = 1.0
# What may wait for a slow reader before the sender is held up.
_STREAM_BUFFER = 64

_loop = None


class PeerUnreachable(Exception):
    """A call got no answer; `sent` tells if the peer may have acted on it."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


def loop():
    """Return the process's asyncio loop, started at the first call."""
    global _loop
    if _loop is None:
        _loop = asyncio.new_event_loop()
        gevent.spawn(_run_loop, _loop)
    return _loop


def _run_loop(running):
    asyncio.set_event_loop(running)
    running.run_forever()


def wait(coroutine):
    """Run a coroutine in the loop; block this greenlet until it ends."""
    result = event.AsyncResult()

    def finished(task):
        if task.cancelled():
            result.set_exception(asyncio.CancelledError())
        elif task.exception():
            result.set_exception(task.exception())
        else:
            result.set(task.result())

    def start():
        task = loop().create_task(coroutine)
        task.add_done_callback(finished)

    loop().call_soon_threadsafe(start)
    return result.get()


class Method:
    """One call: its path, its messages, and whether the reply streams."""

    __slots__ = ('path', 'takes', 'gives', 'streams')

    def __init__(self, path, takes, gives, streams=False):
        self.path = path
        self.takes = takes
        self.gives = gives
        self.streams = streams


class Channel:
    """A connection to one peer, opened when first used."""

    __slots__ = ('address', '_channel')

    def __init__(self, address):
        self.address = address
        host, _, port = address.rpartition(':')
        self._channel = client.Channel(
            host, int(port), loop=loop(), codec=_CODEC
        )

    def close(self):
        """Close the connection; calls in progress fail."""
        loop().call_soon_threadsafe(self._channel.close)

    def unary(self, method, message, timeout_ms):
        """Call and return the reply; raises PeerUnreachable."""
        return wait(self._unary(method, message, timeout_ms / 1000))

    async def _connect(self):
        try:
            await asyncio.wait_for(
                self._channel.__connect__(), _CONNECT_TIMEOUT_S
            )
        except (OSError, asyncio.TimeoutError) as exc:
            raise PeerUnreachable(f'{self.address}: {exc!r}', False) from exc

    async def _unary(self, method, message, timeout_s):
        await self._connect()
        try:
            call = client.UnaryUnaryMethod(
                self._channel, method.path, method.takes, method.gives
            )
            return await call(message, timeout=timeout_s)
        except _FAILURES as exc:
            raise PeerUnreachable(f'{self.address}: {exc!r}', True) from exc

    def stream(self, method, message, idle_ms, total_ms, first_ms):
        """Yield the messages of a reply; raises PeerUnreachable.

        Gives up when the first doesn't arrive within `first_ms`, another
        within `idle_ms`, or the whole within `total_ms`.  Closing the
        generator cancels the call.
        """
        inbox = _Inbox()
        task = []

        def start():
            coroutine = self._stream(method, message, total_ms / 1000, inbox)
            task.append(loop().create_task(coroutine))

        loop().call_soon_threadsafe(start)
        wait_ms = first_ms
        try:
            while True:
                item = inbox.get(wait_ms / 1000)
                wait_ms = idle_ms
                if item is _END:
                    return
                if isinstance(item, Exception):
                    raise item
                yield item
        finally:
            if task and not task[0].done():
                loop().call_soon_threadsafe(task[0].cancel)

    async def _stream(self, method, message, total_s, inbox):
        sent = False
        try:
            await self._connect()
            sent = True
            call = client.UnaryStreamMethod(
                self._channel, method.path, method.takes, method.gives
            )
            async with call.open(timeout=total_s) as stream:
                await stream.send_message(message, end=True)
                async for item in stream:
                    inbox.put(item)
            inbox.put(_END)
        except PeerUnreachable as exc:
            inbox.put(exc)
        except _FAILURES as exc:
            detail = f'{self.address}: {exc!r}'
            inbox.put(PeerUnreachable(detail, sent))


_FAILURES = (
    OSError,
    asyncio.TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
)
_END = object()


class _Inbox:
    """Items from the loop to one greenlet."""

    __slots__ = ('_items', '_ready')

    def __init__(self):
        self._items = collections.deque()
        self._ready = event.Event()

    def put(self, item):
        self._items.append(item)
        self._ready.set()

    def get(self, timeout_s):
        while not self._items:
            self._ready.clear()
            if not self._ready.wait(timeout_s):
                return PeerUnreachable('no answer in time', True)
        return self._items.popleft()


class Server:
    """Serves handlers: functions from a message to a reply or replies."""

    def __init__(self, handlers):
        self._handlers = handlers
        self._server = None

    def __mapping__(self):
        mapping = {}
        for method, function in self._handlers:
            if method.streams:
                cardinality = const.Cardinality.UNARY_STREAM
                handler = _streaming(function)
            else:
                cardinality = const.Cardinality.UNARY_UNARY
                handler = _replying(function)
            mapping[method.path] = const.Handler(
                handler, cardinality, method.takes, method.gives
            )
        return mapping

    def start(self, address):
        """Listen on `address`; raises OSError if it is taken."""
        host, _, port = address.rpartition(':')
        wait(self._start(host, int(port)))

    async def _start(self, host, port):
        self._server = server.Server([self], codec=_CODEC)
        await self._server.start(host, port)

    def stop(self):
        """Stop listening and end the calls in progress."""
        loop().call_soon_threadsafe(self._server.close)


def _replying(function):
    async def handler(stream):
        message = await stream.recv_message()
        done = loop().create_future()
        gevent.spawn(_reply, function, message, done)
        await stream.send_message(await done)

    return handler


def _reply(function, message, done):
    try:
        _resolve(done, done.set_result, function(message))
    except exceptions.GRPCError as exc:
        _resolve(done, done.set_exception, exc)
    except Exception as exc:
        _resolve(done, done.set_exception, exc)
        raise


def _resolve(done, setter, value):
    def resolve():
        if not done.done():
            setter(value)

    loop().call_soon_threadsafe(resolve)


def _streaming(function):
    async def handler(stream):
        message = await stream.recv_message()
        queue = asyncio.Queue()
        sender = gevent.spawn(_send_all, function, message, queue)
        try:
            while True:
                item = await queue.get()
                if item is _END:
                    return
                if isinstance(item, Exception):
                    raise item
                await stream.send_message(item)
        finally:
            sender.kill(block=False)

    return handler


def _send_all(function, message, queue):
    def put(item):
        loop().call_soon_threadsafe(queue.put_nowait, item)

    try:
        for item in function(message):
            put(item)
            while queue.qsize() > _STREAM_BUFFER:
                gevent.sleep(0.005)
        put(_END)
    except Exception as exc:
        put(exc)
        raise
