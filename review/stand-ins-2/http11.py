"""HTTP/1.1 in a few lines, for the stand-ins of this review."""

import asyncio


async def read_message(reader):
    """Return the first line, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length') or 0)
    try:
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode(first, headers=(), body=b''):
    """Return a message with a length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(address, method, path, body=b''):
    """Make one call on a connection of its own; return status and body."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        own = [('Host', address), ('Connection', 'close')]
        writer.write(encode(f'{method} {path} HTTP/1.1', own, body))
        message = await read_message(reader)
    finally:
        writer.close()
    if message is None:
        raise ConnectionError('no response')
    first, _, content = message
    return int(first.split(' ')[1]), content
