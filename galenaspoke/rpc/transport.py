"""grpclib on gevent: an asyncio event loop that runs in one greenlet.

The standard library is monkey-patched, so the selector of the loop waits
cooperatively and the loop is one greenlet among many in the only thread of the
process.  A greenlet makes a call with `Channel.unary` or `Channel.stream` and
blocks as for any other I/O.  A server handler is a plain function that runs in
its own greenlet.
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
# How many messages of a stream are buffered for a slow reader before its
# sender has to wait.
_MAX_BUFFERED_REPLIES = 64
# The same at the reader: more than a stream usually has, since its sender's
# time-out goes on while it waits.
_MAX_QUEUED_REPLIES = 16_384
_QUEUE_POLL_S = 0.005
MAX_MESSAGE_BYTES = 67_108_864
# How long a request may take to come in once its call has begun.
RECEIVE_TIMEOUT_S = 30

_loop = None


class PeerUnreachable(Exception):
    """A call failed: the peer did not reply, or replied with an RPC error.

    `sent` is false if the peer can't have acted on the call.
    """

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


def get_loop():
    """Return the asyncio loop of the process; the first call starts it."""
    global _loop
    if _loop is None:
        _loop = asyncio.new_event_loop()
        gevent.spawn(_run_loop, _loop)
    return _loop


def _run_loop(new_loop):
    asyncio.set_event_loop(new_loop)
    new_loop.run_forever()


def run_coroutine(coroutine):
    """Run a coroutine in the loop; block the greenlet until it has ended.

    Returns the coroutine's result, or raises its exception.
    """
    result = event.AsyncResult()

    def on_done(task):
        if task.cancelled():
            result.set_exception(asyncio.CancelledError())
        elif task.exception():
            result.set_exception(task.exception())
        else:
            result.set(task.result())

    def start():
        task = get_loop().create_task(coroutine)
        task.add_done_callback(on_done)

    get_loop().call_soon_threadsafe(start)
    return result.get()


class Method:
    """An RPC method: its path, message types, and whether replies stream."""

    __slots__ = ('path', 'request_type', 'reply_type', 'is_streaming')

    def __init__(self, path, request_type, reply_type, is_streaming=False):
        self.path = path
        self.request_type = request_type
        self.reply_type = reply_type
        self.is_streaming = is_streaming


class Channel:
    """A connection to one peer, opened by the first call."""

    __slots__ = ('address', '_channel')

    def __init__(self, address):
        self.address = address
        host, _, port = address.rpartition(':')
        self._channel = client.Channel(
            host, int(port), loop=get_loop(), codec=_CODEC
        )

    def close(self):
        """Close the connection, so that calls in progress fail."""
        get_loop().call_soon_threadsafe(self._channel.close)

    def unary(self, method, message, timeout_ms):
        """Make a call and return its reply; raises PeerUnreachable."""
        return run_coroutine(self._unary(method, message, timeout_ms / 1000))

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
                self._channel,
                method.path,
                method.request_type,
                method.reply_type,
            )
            async with call.open(timeout=timeout_s) as stream:
                await stream.send_message(message, end=True)
                _bound_messages(stream)
                return await stream.recv_message()
        except _TRANSPORT_ERRORS as exc:
            raise PeerUnreachable(f'{self.address}: {exc!r}', True) from exc

    def stream(self, method, message, idle_ms, total_ms, first_ms):
        """Make a call and yield its replies; raises PeerUnreachable.

        The call fails if the first reply doesn't arrive within `first_ms`, a
        later one within `idle_ms` of the one before, or the last one within
        `total_ms`, and if there is none at all.  Closing the generator cancels
        the call.
        """
        replies = _ReplyQueue()
        task = []

        def start():
            coroutine = self._stream(method, message, total_ms / 1000, replies)
            task.append(get_loop().create_task(coroutine))

        get_loop().call_soon_threadsafe(start)
        wait_ms = first_ms
        try:
            while True:
                item = replies.get(wait_ms / 1000)
                wait_ms = idle_ms
                if item is _END:
                    return
                if isinstance(item, Exception):
                    raise item
                yield item
        finally:
            if task and not task[0].done():
                get_loop().call_soon_threadsafe(task[0].cancel)

    async def _stream(self, method, message, total_s, replies):
        sent = has_replied = False
        try:
            await self._connect()
            sent = True
            call = client.UnaryStreamMethod(
                self._channel,
                method.path,
                method.request_type,
                method.reply_type,
            )
            async with call.open(timeout=total_s) as stream:
                await stream.send_message(message, end=True)
                _bound_messages(stream)
                async for item in stream:
                    replies.put(item)
                    has_replied = True
                    while len(replies) > _MAX_QUEUED_REPLIES:
                        await asyncio.sleep(_QUEUE_POLL_S)
            if not has_replied:
                raise PeerUnreachable(f'{self.address}: no reply', sent)
            replies.put(_END)
        except PeerUnreachable as exc:
            replies.put(exc)
        except _TRANSPORT_ERRORS as exc:
            detail = f'{self.address}: {exc!r}'
            replies.put(PeerUnreachable(detail, sent))


_TRANSPORT_ERRORS = (
    OSError,
    asyncio.TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
)
_END = object()


class _ReplyQueue:
    """Items passed from the event loop to one greenlet."""

    __slots__ = ('_items', '_ready')

    def __init__(self):
        self._items = collections.deque()
        self._ready = event.Event()

    def __len__(self):
        return len(self._items)

    def put(self, item):
        self._items.append(item)
        self._ready.set()

    def get(self, timeout_s):
        """Return the next item; on a timeout, return a PeerUnreachable."""
        while not self._items:
            self._ready.clear()
            if not self._ready.wait(timeout_s):
                return PeerUnreachable(
                    'the peer sent no reply within the time limit', True
                )
        return self._items.popleft()


class Server:
    """Serves handlers, given as pairs of Method and function.

    The function takes the request message and returns the reply, or a
    generator of replies if the method streams.
    """

    def __init__(self, handlers):
        self._handlers = handlers
        self._server = None

    def __mapping__(self):
        mapping = {}
        for method, function in self._handlers:
            if method.is_streaming:
                cardinality = const.Cardinality.UNARY_STREAM
                handler = _make_stream_handler(function)
            else:
                cardinality = const.Cardinality.UNARY_UNARY
                handler = _make_unary_handler(function)
            mapping[method.path] = const.Handler(
                handler, cardinality, method.request_type, method.reply_type
            )
        return mapping

    def start(self, address):
        """Listen on `address`; raises OSError if that fails."""
        host, _, port = address.rpartition(':')
        run_coroutine(self._start(host, int(port)))

    async def _start(self, host, port):
        self._server = server.Server([self], codec=_CODEC)
        await self._server.start(host, port)

    def stop(self):
        """Stop listening and terminate the calls in progress."""
        get_loop().call_soon_threadsafe(self._server.close)


def _bound_messages(stream):
    """Refuse messages of a stream that state more than MAX_MESSAGE_BYTES.

    The library has no setting for that and keeps what comes until it is whole.
    """
    buffer = stream._stream.buffer
    read = buffer.read

    async def read_bounded(size):
        if size > MAX_MESSAGE_BYTES:
            raise exceptions.GRPCError(
                const.Status.RESOURCE_EXHAUSTED, f'a message of {size} bytes'
            )
        return await read(size)

    buffer.read = read_bounded


async def _receive_request(stream):
    """Return the request of a call; raises GRPCError."""
    _bound_messages(stream)
    try:
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            return await stream.recv_message()
    except TimeoutError as exc:
        raise exceptions.GRPCError(
            const.Status.DEADLINE_EXCEEDED, 'the request comes too slowly'
        ) from exc


def _make_unary_handler(function):
    async def handler(stream):
        message = await _receive_request(stream)
        future = get_loop().create_future()
        gevent.spawn(_run_unary, function, message, future)
        await stream.send_message(await future)

    return handler


def _run_unary(function, message, future):
    try:
        _resolve(future, future.set_result, function(message))
    except exceptions.GRPCError as exc:
        # An expected refusal: passed to the caller, but not logged as a crash
        # of the greenlet.
        _resolve(future, future.set_exception, exc)
    except Exception as exc:
        _resolve(future, future.set_exception, exc)
        raise


def _resolve(future, setter, value):
    def resolve():
        if not future.done():
            setter(value)

    get_loop().call_soon_threadsafe(resolve)


def _make_stream_handler(function):
    async def handler(stream):
        message = await _receive_request(stream)
        queue = asyncio.Queue()
        sender = gevent.spawn(_run_stream, function, message, queue)
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


def _run_stream(function, message, queue):
    def put(item):
        get_loop().call_soon_threadsafe(queue.put_nowait, item)

    try:
        for count, item in enumerate(function(message), 1):
            put(item)
            if count % _MAX_BUFFERED_REPLIES == 0:
                # The queue grows only once the loop has run.
                gevent.sleep(0)
            while queue.qsize() > _MAX_BUFFERED_REPLIES:
                gevent.sleep(0.005)
        put(_END)
    except Exception as exc:
        put(exc)
        raise
