"""A little HTTP/1.1 for the stand-ins and clients of the cases."""

import asyncio

LIMIT = 8_388_608


class Message:
    """A request or a response: first line, headers in lower case, body."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        return self.headers.get(name, default)


def encode(first, headers, body=None):
    lines = [first]
    lines += [f'{name}: {value}' for name, value in headers]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + (body or b'')


def respond(status, body=b'', headers=(), phrase='-'):
    return encode(f'HTTP/1.1 {status} {phrase}', headers, body)


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


async def read_head(reader):
    """Return a Message without its body, None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError('cut within a head') from exc
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return Message(first, headers)


async def read_chunks(reader):
    """Yield the chunks of a body; raise ConnectionError if it is cut."""
    while True:
        try:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ValueError) as exc:
            raise ConnectionError(f'cut within a body: {exc}') from exc
        if not size:
            return
        yield data[:-2]


async def read_body(reader, message):
    """Return the body of a request, or of a response that is framed."""
    if message.get('transfer-encoding').lower() == 'chunked':
        return b''.join([part async for part in read_chunks(reader)])
    length = int(message.get('content-length', '0'))
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError('cut within a body') from exc


async def call(address, method, path, body=b'', headers=(), timeout_s=2.0):
    """Make one call on a connection of its own; return the Message."""

    async def exchange():
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=LIMIT
        )
        try:
            head = [('Host', address), ('Connection', 'close'), *headers]
            writer.write(encode(f'{method} {path} HTTP/1.1', head, body))
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                raise ConnectionError('closed without a response')
            message.body = await read_body(reader, message)
            return message
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
