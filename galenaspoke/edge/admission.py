"""Which requests are taken, and under which route and account.

Nothing is denied for what an older configuration says: a key or a route that
isn't known is looked up anew first, and where that can't be done the caller is
told to come back.
"""

import hashlib
import random

from galenaspoke.edge import request_context as request_context
from galenaspoke.edge import outcomes

RETRY_SOON_MS = (150, 450)
RETRY_STALE_MS = (500, 1_200)
RETRY_POISON_MS = (20_000, 30_000)

_POINT_BYTES = 8


class Admission:
    """Decides on requests before any target is chosen.

    Example::

        found = admission.admit(req)
        if isinstance(found, outcomes.Refusal): ...
    """

    __slots__ = (
        'is_stopping',
        '_config',
        '_poison_detector',
        '_header_codec',
        '_take_until',
        '_ends_at',
    )

    def __init__(self, config, poison_detector, header_codec):
        # The process is about to stop: connections end with their request.
        self.is_stopping = False
        self._config = config
        self._poison_detector = poison_detector
        self._header_codec = header_codec
        # Until when any request is taken; after that, only one that is over
        # before the process ends.
        self._take_until = None
        self._ends_at = None

    def admit(self, req):
        """Return the request's Course, or a Refusal."""
        if not self._config.has_config():
            return outcomes.Refusal(
                503,
                outcomes.Reason.NO_CONFIGURATION,
                retry_after_ms=outcomes.spread(RETRY_STALE_MS),
            )
        metadata = self._header_codec.parse_request(req)
        route = self._route(req)
        if isinstance(route, outcomes.Refusal):
            return route
        account = None
        if self._config.catalog.requires_key and not route.public:
            account = self._account(metadata)
            if isinstance(account, outcomes.Refusal):
                return account
        context = request_context.RequestContext(req, metadata, route, account)
        if self._too_late(context):
            return outcomes.Refusal(
                503,
                outcomes.Reason.LEAVING,
                retry_after_ms=outcomes.spread(RETRY_SOON_MS),
            )
        if self._poisoned(context):
            return outcomes.Refusal(
                503,
                outcomes.Reason.POISON,
                'the targets that ran it went down',
                outcomes.spread(RETRY_POISON_MS),
            )
        context.service = route.choose_service(_point(metadata))
        return context

    def _poisoned(self, context):
        poison_detector = self._poison_detector
        return poison_detector.has_suspects() and poison_detector.refused(
            context.compute_fingerprint()
        )

    def _route(self, req):
        host = req.header(b'host').lower().rpartition(':')
        host = host[0] if host[1] and host[2].isdecimal() else ''.join(host)
        path = req.path
        route = self._config.catalog.match(host, path)
        if route is not None:
            return route
        if not self._config.confirm():
            return self._stale('no route is known')
        route = self._config.catalog.match(host, path)
        return route or outcomes.Refusal(
            404, outcomes.Reason.UNKNOWN_ROUTE, f'{host}{path}'
        )

    def _account(self, metadata):
        account = self._config.catalog.find_account(metadata.api_key)
        if account is not None:
            return account
        if not self._config.confirm():
            return self._stale('the key is not known')
        account = self._config.catalog.find_account(metadata.api_key)
        return account or outcomes.Refusal(
            401, outcomes.Reason.UNKNOWN_KEY, 'no account holds this key'
        )

    def _stale(self, detail):
        return outcomes.Refusal(
            503,
            outcomes.Reason.VIEW_STALE,
            f'{detail}, and the configuration may have changed',
            outcomes.spread(RETRY_STALE_MS),
        )

    def begin_shutdown(self, take_until, ends_at):
        """Note that the process stops, and by when."""
        self.is_stopping = True
        self._take_until = take_until
        self._ends_at = ends_at

    def _too_late(self, context):
        """Tell whether a request may outlast a process that stops."""
        return (
            self.is_stopping
            and context.arrived_at > self._take_until
            and context.deadline > self._ends_at
        )


def _point(metadata):
    """Return where in a split route a request falls, from 0 to 1.

    Requests that share a prompt's parts stay together.
    """
    key = metadata.affinity_key()
    if not key:
        return random.random()
    digest = hashlib.blake2b(key.encode(), digest_size=_POINT_BYTES).digest()
    return int.from_bytes(digest) / 256**_POINT_BYTES
