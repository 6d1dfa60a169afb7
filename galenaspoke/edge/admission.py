"""Which requests are taken, and under which route and account.

Nothing is denied for what an older configuration says: a key or a route that
isn't known is looked up anew first, and where that can't be done the caller is
told to come back.
"""

import hashlib
import random

from galenaspoke.edge import course as courses
from galenaspoke.edge import outcomes

RETRY_SOON_MS = (150, 450)
RETRY_STALE_MS = (500, 1_200)
RETRY_POISON_MS = (20_000, 30_000)

_SPLIT_POINT_BYTES = 8


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
        '_dialect',
        '_accept_until',
        '_exits_at',
    )

    def __init__(self, config, poison_detector, dialect):
        # The process is about to stop: connections end with their request.
        self.is_stopping = False
        self._config = config
        self._poison_detector = poison_detector
        self._dialect = dialect
        # Until when any request is taken; after that, only one that is over
        # before the process ends.
        self._accept_until = None
        self._exits_at = None

    def admit(self, req):
        """Return the request's Course, or a Refusal."""
        if not self._config.known():
            return outcomes.Refusal(
                503,
                outcomes.Reason.NO_CONFIGURATION,
                retry_after_ms=outcomes.jitter(RETRY_STALE_MS),
            )
        call = self._dialect.read_call(req)
        route = self._find_route(req)
        if isinstance(route, outcomes.Refusal):
            return route
        account = None
        if self._config.catalog.keyed and not route.public:
            account = self._find_account(call)
            if isinstance(account, outcomes.Refusal):
                return account
        course = courses.Course(req, call, route, account)
        if self._may_outlast_process(course):
            return outcomes.Refusal(
                503,
                outcomes.Reason.LEAVING,
                retry_after_ms=outcomes.jitter(RETRY_SOON_MS),
            )
        if self._is_poison(course):
            return outcomes.Refusal(
                503,
                outcomes.Reason.POISON,
                'the targets that ran it went down',
                outcomes.jitter(RETRY_POISON_MS),
            )
        course.service = route.service_for(_split_point(call))
        return course

    def _is_poison(self, course):
        poison_detector = self._poison_detector
        return poison_detector.has_suspects() and poison_detector.is_poison(
            course.fingerprint()
        )

    def _find_route(self, req):
        host = req.header(b'host').lower().rpartition(':')
        host = host[0] if host[1] and host[2].isdecimal() else ''.join(host)
        path = req.path
        route = self._config.catalog.match(host, path)
        if route is not None:
            return route
        if not self._config.confirm():
            return self._refuse_as_stale('no route is known')
        route = self._config.catalog.match(host, path)
        return route or outcomes.Refusal(
            404, outcomes.Reason.UNKNOWN_ROUTE, f'{host}{path}'
        )

    def _find_account(self, call):
        account = self._config.catalog.account_of(call.key)
        if account is not None:
            return account
        if not self._config.confirm():
            return self._refuse_as_stale('the key is not known')
        account = self._config.catalog.account_of(call.key)
        return account or outcomes.Refusal(
            401, outcomes.Reason.UNKNOWN_KEY, 'no account holds this key'
        )

    def _refuse_as_stale(self, detail):
        return outcomes.Refusal(
            503,
            outcomes.Reason.VIEW_STALE,
            f'{detail}, and the configuration may have changed',
            outcomes.jitter(RETRY_STALE_MS),
        )

    def begin_shutdown(self, accept_until, exits_at):
        """Note that the process stops, and by when."""
        self.is_stopping = True
        self._accept_until = accept_until
        self._exits_at = exits_at

    def _may_outlast_process(self, course):
        """Tell whether a request may outlast a process that stops."""
        return (
            self.is_stopping
            and course.arrived > self._accept_until
            and course.deadline > self._exits_at
        )


def _split_point(call):
    """Return where in a split route a request falls, from 0 to 1.

    Requests that share a prompt's parts stay together.
    """
    key = call.affinity()
    if not key:
        return random.random()
    digest = hashlib.blake2b(
        key.encode(), digest_size=_SPLIT_POINT_BYTES
    ).digest()
    return int.from_bytes(digest) / 256**_SPLIT_POINT_BYTES
