"""HTTP protocol by which routers lend each other prepaid tokens.

A lender counts a loan as spent at once, and the borrower spends it without
reporting to anyone.  No agreement is needed: if either router dies or a
response is lost, tokens are stranded at worst and never spent twice.  A
borrower may return tokens that it does not need, but only to the incarnation
that lent them.

Example::

    request = LoanRequest('voucher-desk', 1500, 500, 'front-a-1', 0)
    LoanClient().request_loan('10.1.0.40:7340', request).tokens      # 2000
"""

import typing

import msgspec

from galenaspoke.core import ledger
from galenaspoke.edge.money import reservations
from galenaspoke.http import connections
from galenaspoke.http import messages
from galenaspoke.http import wsgi_bodies
from galenaspoke.utils import addresses
from galenaspoke.utils import decoding

LEND_PATH = '/lend'
RETURN_PATH = '/return'
CONNECT_TIMEOUT_S = 0.1
# Longer than `lending.LEND_TIMEOUT_MS`, the time that a lender waits for the
# ledger.
RESPONSE_TIMEOUT_S = 0.35
# The longest request and response.
MAX_MESSAGE_BYTES = 65_536
MAX_RESPONSE_BYTES = 65_536
# Idle connections kept for each address.
MAX_IDLE_CONNECTIONS = 4

Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=ledger.MAX_TOKENS)]
# Why a loan may be refused.
_REFUSALS = {shortage.value for shortage in reservations.Shortage} | {
    reservations.MOVED
}


class LoanRequest(msgspec.Struct):
    """A borrower's request, in tokens.

    `need` is the least amount that helps, `ahead` what the borrower would
    like on top, and `unsettled` the unspent part of its earlier loans.
    `borrower` is the name of the router, without its incarnation.
    """

    budget: str
    need: Tokens
    ahead: Tokens
    borrower: str
    unsettled: Tokens


class LoanResponse(msgspec.Struct):
    """The lender's response: tokens lent by `holder`, or why there are none.

    `shortage` is the value of a reservations.Shortage, or reservations.MOVED
    if the lender is shutting down, or does not own the budget's page and has
    too few tokens to spare: the borrower should read the page again.
    """

    holder: str
    tokens: Tokens = 0
    shortage: str = ''
    detail: str = ''


class LoanReturn(msgspec.Struct):
    """Unspent tokens of a loan, returned to the holder that lent them."""

    budget: str
    tokens: Tokens
    holder: str
    borrower: str


class LoanClient:
    """Sends loan requests and returns to other routers.

    Keeps idle connections open for later requests.
    """

    __slots__ = ('_idle',)

    def __init__(self):
        # Idle connections by address.
        self._idle = {}

    def request_loan(self, address, request):
        """Return the LoanResponse of the router at `address`.

        Returns None if it does not answer, or not with what a lender says.
        """
        body = self._post(address, LEND_PATH, request)
        if body is None:
            return None
        try:
            response = decoding.decode_json(body, LoanResponse)
        except decoding.Unreadable:
            # Tokens that were lent, if any, are stranded: the lender counts
            # them as spent.
            return None
        if response.tokens > request.need + request.ahead:
            return None
        is_clear = response.tokens or response.shortage in _REFUSALS
        return response if is_clear else None

    def return_tokens(self, address, loan_return):
        """Return tokens to their lender; if that fails, they are stranded."""
        self._post(address, RETURN_PATH, loan_return)

    def _post(self, address, path, message):
        """Send a message; return the body of the response, or None."""
        target = addresses.parse(address)
        if target is None:
            return None
        host, port = target
        body = msgspec.json.encode(message)
        head = messages.encode_head(
            f'POST {path} HTTP/1.1'.encode(),
            [
                (b'Host', address.encode()),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        conn = self._take_idle(address)
        try:
            conn = conn or connections.connect(
                host, port, CONNECT_TIMEOUT_S, MAX_RESPONSE_BYTES
            )
        except connections.NotSent:
            return None
        return self._exchange(conn, address, head + body)

    def _exchange(self, conn, address, request):
        """Send a request; return the body of its response, or None."""
        idle = self._idle.setdefault(address, [])
        is_reusable = False
        try:
            conn.set_read_timeout(RESPONSE_TIMEOUT_S)
            conn.send(request)
            response = conn.read_response()
            has_room = len(idle) < MAX_IDLE_CONNECTIONS
            is_reusable = has_room and conn.is_reusable(response)
        except (connections.ResponseLost, connections.ReadTimeout):
            return None
        finally:
            if is_reusable:
                idle.append(conn)
            else:
                conn.close()
        return bytes(response.body)

    def _take_idle(self, address):
        """Return an idle connection that is still open, or None."""
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_open_and_empty():
                return conn
            conn.close()
        return None


def make_lending_app(budget_manager):
    """Return the WSGI application that serves requests of other routers."""
    handlers = {
        LEND_PATH: (LoanRequest, budget_manager.lend),
        RETURN_PATH: (LoanReturn, budget_manager.accept_return),
    }

    def application(environ, start_response):
        if environ['PATH_INFO'] not in handlers:
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        message_type, handle = handlers[environ['PATH_INFO']]
        try:
            message = decoding.decode_json(
                wsgi_bodies.read(environ, MAX_MESSAGE_BYTES), message_type
            )
        except wsgi_bodies.TooLong:
            return wsgi_bodies.refuse(start_response)
        except decoding.Unreadable:
            start_response('400 Bad Request', [('Content-Length', '0')])
            return [b'']
        body = msgspec.json.encode(handle(message))
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    return application


def list_lender_addresses(page, budget, own_holder):
    """Return the addresses of the other holders on a page.

    The holders with the most unspent tokens of `budget` come first.
    """
    entry = page.entries.get(budget)
    grants = entry.grants if entry else {}

    def unspent(holder):
        grant = grants.get(holder)
        return grant.granted - grant.spent if grant else 0

    holders = [name for name in page.contacts if name != own_holder]
    holders.sort(key=unspent, reverse=True)
    return [page.contacts[name] for name in holders]
