"""A request handler with scripted engines, all in this process.

An engine is a function that takes the socket at its end of a connection and
the number of the request that it gets there.

Example::

    desk = Desk(engines={'i-1': lambda remote, _: remote.sendall(OK)})
    desk.request().status     # 200
"""

import collections

import gevent

from galenaspoke.core import catalog
from galenaspoke.core import clock as clocks
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.membership import router_list
from galenaspoke.edge.serving import admission
from galenaspoke.edge.serving import request_handler
from galenaspoke.edge.serving import retries
from galenaspoke.edge.streams import version_tracking
from galenaspoke.edge.targets import directory
from galenaspoke.edge.views import target_view as target_views
from galenaspoke.http import messages
from galenaspoke.platform import headers
from galenaspoke.platform import reports
from galenaspoke.platform import target_entries
from tests.edge import base
from tests import fakes

REQUEST_ID = b'9c41'


def encode_response(status=200, body=b'ok', extra=b'', request_id=REQUEST_ID):
    """Return the bytes of a whole response of an engine."""
    return (
        b'HTTP/1.1 %d -\r\nX-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
        b'%sContent-Length: %d\r\n\r\n%s'
        % (status, request_id, extra, len(body), body)
    )


def encode_busy(extra=b''):
    """Return the bytes of a response that turns a request away."""
    return encode_response(503, b'', b'X-Not-Run: 1\r\n' + extra)


def answer_report(remote, head, born):
    """Answer a request for a report; return whether it was one."""
    if not head.startswith(b'GET /report '):
        return False
    body = b'{"Stage":"unified","Seq":0,"born":%d}' % born
    remote.sendall(
        b'HTTP/1.1 200 -\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    )
    return True


class ScriptedTarget(directory.Target):
    """A target whose connections end at a scripted engine."""

    __slots__ = ('engine', 'requests', 'tasks')

    def __init__(self, entry, engine, get_share):
        super().__init__(entry, get_share)
        self.engine = engine
        # How many requests have reached it.
        self.requests = 0
        self.tasks = []

    def connect(self):
        """Return a connection to the engine."""
        conn, remote = base.make_connection_pair(
            self.entry.id, self.read_pacer
        )
        self.tasks.append(gevent.spawn(self._run_engine, remote))
        return conn

    def _run_engine(self, remote):
        try:
            while head := remote.recv(65_536):
                if answer_report(remote, head, self.entry.born):
                    continue
                self.requests += 1
                self.engine(remote, self.requests)
        except OSError:
            pass
        finally:
            remote.close()


class FakeConfigView:
    """A configuration that is always in force."""

    def __init__(self, catalog_):
        self.catalog = catalog_

    def has_config(self):
        """Return True."""
        return True

    def confirm(self):
        """Return True."""
        return True


class Caller:
    """Records what a caller receives."""

    def __init__(self):
        self.keep_alive = True
        self.response_started = False
        self.has_active_request = False
        self.status = None
        self.headers = {}
        self.body = b''

    def has_queued_request(self):
        """Return False: each test sends one request at a time."""
        return False

    def cancel_on_disconnect(self):
        """Return a context manager that never cancels."""
        return gevent.Timeout(None)

    def raise_if_gone(self):
        """Do nothing: this caller stays."""

    def send_response(self, status, pairs, body):
        """Record a whole response."""
        self.response_started = True
        self.status, self.headers, self.body = status, dict(pairs), body

    def start_chunked_response(self, status, pairs):
        """Record the head of a stream."""
        self.response_started = True
        self.status, self.headers = status, dict(pairs)
        return b''

    def send(self, data):
        """Record bytes of a stream."""
        self.body += data

    def retry_after_ms(self):
        """Return when the caller should retry, None if that isn't said."""
        value = self.headers.get(b'Retry-After')
        return value and 1000 * float(value)


def make_lone_router():
    """Return the RouterList of a router that is alone."""
    routers = router_list.RouterList('front-a-1')
    routers.replace({})
    return routers


class LoneMember:
    """The only router of a fleet, as `members.Members` shows it."""

    def __init__(self, routers):
        self.name = ''
        self.routers = routers

    def is_registered(self):
        """Return that it is in the list of routers."""
        return True

    def list_others(self):
        """Return the other routers: none."""
        return {}


class Desk:
    """One service with scripted engines, and a router's handler before it."""

    def __init__(
        self,
        engines,
        kind=catalog.RequestKind.IDEMPOTENT,
        timeout_ms=600,
        clock=None,
        routers=None,
        store=None,
        send_datagram=lambda address, data: None,
        members=None,
        settings=None,
        memory_tokens=0,
        **route_options,
    ):
        self.clock = clock or clocks.Clock()
        if routers is None:
            routers = make_lone_router()
        self.journal = base.Recorder()
        cfg = base.make_edge_settings(
            **{'retry_slack': 50, **(settings or {})}
        )
        options = {
            'max_attempts': 2,
            'priority': 0,
            'public': False,
            'resumable': kind is catalog.RequestKind.STREAM,
            'gap_target_ms': 400,
            'latency_target_ms': 100,
            **route_options,
        }
        route = catalog.Route(
            'r',
            'desk',
            '/a/',
            kind,
            (('pool', 1.0),),
            timeout_ms=timeout_ms,
            **options,
        )
        services = [
            catalog.Service(
                'pool', '/health', 100, memory_tokens=memory_tokens
            )
        ]
        self.config_view = config_view = FakeConfigView(
            catalog.Catalog(1, [route], services, [], {}, catalog.Limits())
        )
        self.detector = poison.PoisonDetector(self.clock, self.journal)
        self.target_view = target_views.TargetView(
            store,
            self.clock,
            self.journal,
            target_entries,
            lambda: config_view.catalog.services,
            Exception,
            self.detector.record_target_down,
            routers.get_share,
        )
        self._get_share = routers.get_share
        self.versions = version_tracking.VersionTracking(
            cfg,
            store or fakes.FakeStore(),
            members or LoneMember(routers),
            self.target_view,
            send_datagram,
            self.clock,
            self.journal,
        )
        self.targets = collections.OrderedDict()
        for name, engine in engines.items():
            self.add_target(name, engine)
        self.admission = admission.Admission(
            config_view, self.detector, headers
        )
        self.handler = request_handler.RequestHandler(
            cfg,
            self.admission,
            config_view,
            self.target_view,
            None,
            retries.RetryBudget(cfg, self.clock, routers.get_count),
            self.detector,
            self.versions.resumption,
            headers,
            reports,
            self.clock,
            self.journal,
            self.journal,
        )

    def add_target(self, name, engine, **options):
        """Add a target to the directory; `options` change its entry."""
        entry = base.make_target_entry(name, **options)
        self.target_view.directory.put(entry, self.clock.now())
        self.record_versions()
        target = ScriptedTarget(entry, engine, self._get_share)
        self.target_view.directory._targets[name] = target
        self.targets[name] = target

    def record_versions(self):
        """Record the versions of the targets in the store."""
        self.versions.update('pool')

    def request(self, caller=None, pairs=(), body=b'', request_id=REQUEST_ID):
        """Handle one request; return the Caller that got the response.

        `pairs` are headers beside those that every request has.
        """
        req = self.make_request(pairs, body, request_id)
        caller = caller or Caller()
        self.handler.handle(req, caller)
        return caller

    def make_request(self, pairs=(), body=b'', request_id=REQUEST_ID):
        """Return a whole request that a caller sends now."""
        req = messages.Request()
        req.is_head_complete = req.is_complete = True
        req.method = b'POST'
        req.url = b'/a/x'
        req.headers = [(b'host', b'desk'), (b'x-request-id', request_id)]
        req.headers.extend(pairs)
        req.body += body
        req.arrived_at = self.clock.now()
        return req

    def count_requests(self):
        """Return how many requests have reached each target."""
        return [target.requests for target in self.targets.values()]

    def close(self):
        """End the engines."""
        for target in self.targets.values():
            gevent.killall(target.tasks)
