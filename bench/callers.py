"""Send requests to routers, as a caller does, and record the results."""

import time

from gevent import Timeout
import geventhttpclient
from geventhttpclient import response
import msgspec

from standins import engine

CONNECT_TIMEOUT_S = 1.0
REQUEST_ERRORS = (
    OSError,
    ValueError,
    Timeout,
    response.HTTPConnectionClosed,
    response.HTTPParseError,
    response.HTTPProtocolViolationError,
)


class Result(msgspec.Struct):
    """What a caller got: a response, a refusal, or an error.

    `error` is set if the connection failed, timed out or delivered invalid
    data.  A stream that ends early leaves `is_complete` False, and `refusal`
    and `error` empty.  `text` is all that was received, which is the whole
    response only if `is_complete`.  `billed` and `in_doubt` are tokens, as the
    router reported them.
    `sent_at` and `finished_at` are Unix times in milliseconds.  `duration_ms`
    and `first_piece_ms`, the time to the first piece, are counted from the
    start of the request; without streaming, the first piece is the whole body.
    `router` is the address that the request was sent to.
    """

    key: str
    status: int = 0
    text: str = ''
    is_complete: bool = False
    billed: int = 0
    in_doubt: int = 0
    refusal: dict | None = None
    error: str = ''
    duration_ms: float = 0.0
    first_piece_ms: float = 0.0
    sent_at: int = 0
    finished_at: int = 0
    router: str = ''


def send_request(address, service, body, key='', timeout_s=30.0, priority=5):
    """Send one request to one router; return a Result.

    Never retries.  `address` is the IP:PORT of the router.
    """
    headers = {'Request-Timeout-Ms': str(int(timeout_s * 1000))}
    headers['Priority'] = str(priority)
    if key:
        headers['Idempotency-Key'] = key
    result = Result(key, router=address)
    result.sent_at = time.time_ns() // 1_000_000
    started = time.monotonic()
    http = geventhttpclient.HTTPClient.from_url(
        f'http://{address}',
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )
    try:
        with Timeout(timeout_s + 2):
            resp = http.request(
                'POST',
                f'/v1/services/{service}',
                msgspec.json.encode(body),
                headers,
            )
            result.status = resp.status_code
            _read_response(resp, body, result, started)
    except REQUEST_ERRORS as exc:
        result.error = repr(exc)
    finally:
        http.close()
    result.duration_ms = (time.monotonic() - started) * 1000
    result.finished_at = time.time_ns() // 1_000_000
    return result


def _read_response(resp, body, result, started):
    if not (body.get('stream') and resp.status_code == 200):
        document = msgspec.json.decode(bytes(resp.read()))
        result.first_piece_ms = (time.monotonic() - started) * 1000
        _copy_fields(document, result, document.get('answer', ''))
        result.is_complete = 'answer' in document
        return
    while True:
        line = resp.readline(b'\n')
        if not line:
            return
        if not result.first_piece_ms:
            result.first_piece_ms = (time.monotonic() - started) * 1000
        item = msgspec.json.decode(bytes(line))
        if 'pieces' in item and not item.get('end'):
            result.text += ''.join(item['pieces'])
            continue
        _copy_fields(item, result, result.text)
        result.is_complete = bool(item.get('end'))
        return


def _copy_fields(document, result, text):
    result.text = text
    result.billed = document.get('billed', 0)
    result.in_doubt = document.get('in_doubt', 0)
    result.refusal = document.get('refused')


def make_expected_text(body):
    """Return the complete response that a model request must get."""
    return ''.join(engine.generate_tokens(body['prompt'], body['max_tokens']))
