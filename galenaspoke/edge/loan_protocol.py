"""Loans of prepaid money between routers.

A router that lends counts the loan as spent, and the borrower spends it
without telling anybody.  So a loan needs no agreement: when either dies, or
an answer is lost, money is at most stranded and never spent twice.  What a
borrower doesn't need any more it may give back, to the very process that
lent it.

Example::

    asked = Ask('voucher-desk', 1500, 500, 'front-a-1', 0)
    Lending().ask('10.1.0.40:7340', asked).tokens      # 2000
"""

import msgspec

from galenaspoke.edge import settings as edge_settings
from galenaspoke.http import connections
from galenaspoke.http import messages

LEND_PATH = '/lend'
RETURN_PATH = '/return'
CONNECT_TIMEOUT_S = 0.1
ANSWER_TIMEOUT_S = 0.35
MOST_IDLE = 4


class Ask(msgspec.Struct):
    """What a borrower asks for, in tokens.

    `need` is the least that helps, `ahead` what it would like on top, and
    `unsettled` what it has of earlier loans and hasn't spent.
    """

    budget: str
    need: int
    ahead: int
    borrower: str
    unsettled: int


class Loan(msgspec.Struct):
    """The answer: tokens lent by `holder`, or why there are none.

    `shortage` is a reservations.Shortage's value, or reservations.MOVED where
    another router owns the budget's page by now.
    """

    holder: str
    tokens: int = 0
    shortage: str = ''
    detail: str = ''


class Return(msgspec.Struct):
    """Tokens of a loan that go back to the holder that lent them."""

    budget: str
    tokens: int
    holder: str
    borrower: str


class LoanClient:
    """Asks other routers, on connections that are kept."""

    __slots__ = ('_idle',)

    def __init__(self):
        # Unused links by address.
        self._idle = {}

    def ask(self, address, asked):
        """Return the Loan of the router at `address`, None if silent."""
        response = self._post(address, LEND_PATH, asked)
        if response is None:
            return None
        try:
            return msgspec.json.decode(response, type=Loan)
        except msgspec.DecodeError:
            # What was lent, if anything, is stranded with the lender.
            return None

    def give_back(self, address, returned):
        """Give tokens back; if that fails they are stranded."""
        self._post(address, RETURN_PATH, returned)

    def _post(self, address, path, message):
        """Return the body of the answer, None if there is none."""
        host, port = edge_settings.split_address(address)
        body = msgspec.json.encode(message)
        head = messages.encode_head(
            f'POST {path} HTTP/1.1'.encode(),
            [
                (b'Host', address.encode()),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        conn = self._taken(address)
        try:
            conn = conn or connections.connect(host, port, CONNECT_TIMEOUT_S)
            conn.set_read_timeout(ANSWER_TIMEOUT_S)
            conn.send(head + body)
            response = conn.read_response()
        except connections.NotSent:
            return None
        except (connections.ResponseLost, connections.ReadTimeout):
            conn.close()
            return None
        idle = self._idle.setdefault(address, [])
        if conn.is_reusable(response) and len(idle) < MOST_IDLE:
            idle.append(conn)
        else:
            conn.close()
        return bytes(response.body)

    def _taken(self, address):
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_open_and_empty():
                return conn
            conn.close()
        return None


def application(budget_manager):
    """Return the WSGI application that answers other routers."""
    verbs = {
        LEND_PATH: (Ask, budget_manager.lend),
        RETURN_PATH: (Return, budget_manager.accept_return),
    }

    def serve(environ, start_response):
        if environ['PATH_INFO'] not in verbs:
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        kind, function = verbs[environ['PATH_INFO']]
        try:
            asked = msgspec.json.decode(
                environ['wsgi.input'].read(), type=kind
            )
        except msgspec.DecodeError:
            start_response('400 Bad Request', [('Content-Length', '0')])
            return [b'']
        body = msgspec.json.encode(function(asked))
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    return serve


def lenders(page, budget, own):
    """Return the addresses of those that hold a budget, most first."""
    entry = page.entries.get(budget)
    grants_held = entry.grants if entry else {}

    def unspent(holder):
        grant = grants_held.get(holder)
        return grant.granted - grant.spent if grant else 0

    holders = [name for name in page.contacts if name != own]
    holders.sort(key=unspent, reverse=True)
    return [page.contacts[name] for name in holders]
