"""Loans of prepaid money between routers.

A router that lends counts the loan as spent, and the borrower spends it
without telling anybody.  So a loan needs no agreement: when either dies, or
an answer is lost, money is at most stranded and never spent twice.

Example::

    Lending().ask('10.1.0.40:7340', 'voucher-desk', 1500)    # 4000
"""

import msgspec

from galenaspoke.edge import settings as edge_settings
from galenaspoke.http import links
from galenaspoke.http import messages

PATH = '/lend'
CONNECT_TIMEOUT_S = 0.1
ANSWER_TIMEOUT_S = 0.2
MOST_IDLE = 4


class Loan(msgspec.Struct):
    """What is asked for, and the answer to it."""

    budget: str
    tokens: int


class Lending:
    """Asks other routers, on connections that are kept."""

    __slots__ = ('_idle',)

    def __init__(self):
        # By address.
        self._idle = {}

    def ask(self, address, budget, need):
        """Return how many tokens the router at `address` lends."""
        host, port = edge_settings.split_address(address)
        body = msgspec.json.encode(Loan(budget, need))
        head = messages.encode_head(
            f'POST {PATH} HTTP/1.1'.encode(),
            [
                (b'Host', address.encode()),
                (b'Content-Length', b'%d' % len(body)),
            ],
        )
        link = self._idle.pop(address, None)
        if link is not None and not link.quiet():
            link.close()
            link = None
        try:
            link = link or links.connect(host, port, CONNECT_TIMEOUT_S)
            link.wait_at_most(ANSWER_TIMEOUT_S)
            link.send(head + body)
            answer = link.answer()
            lent = msgspec.json.decode(bytes(answer.body), type=Loan).tokens
        except links.NotSent:
            return 0
        except (links.Broken, links.Silent, msgspec.DecodeError):
            # What was lent, if anything, is stranded with the lender.
            link.close()
            return 0
        if link.spare(answer) and len(self._idle) < MOST_IDLE:
            self._idle[address] = link
        else:
            link.close()
        return lent


def application(lend):
    """Return the WSGI application that answers other routers' `ask`.

    `lend` takes a budget and the tokens needed, and returns those lent.
    """

    def serve(environ, start_response):
        if environ['PATH_INFO'] != PATH:
            start_response('404 Not Found', [('Content-Length', '0')])
            return [b'']
        try:
            asked = msgspec.json.decode(
                environ['wsgi.input'].read(), type=Loan
            )
        except msgspec.DecodeError:
            start_response('400 Bad Request', [('Content-Length', '0')])
            return [b'']
        body = msgspec.json.encode(
            Loan(asked.budget, lend(asked.budget, asked.tokens))
        )
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
