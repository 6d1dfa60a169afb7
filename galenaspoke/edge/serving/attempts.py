"""Attempts: send a request to one target and relay its response."""

from galenaspoke.core import catalog
from galenaspoke.edge import outcomes
from galenaspoke.edge.serving import stream_ends
from galenaspoke.edge.streams import event_limits
from galenaspoke.edge.streams import sse
from galenaspoke.edge.targets import incarnations
from galenaspoke.http import connections
from galenaspoke.http import messages

# A response with this status or a higher one, NOT_RUN_STATUSES aside, is an
# `outcomes.Failure`: it is relayed only if no other target may be tried.
MIN_FAILURE_STATUS = 500
# From this status up to MIN_FAILURE_STATUS, the request itself is at fault.
MIN_REQUEST_ERROR_STATUS = 400
OK = 200
EVENT_STREAM = 'text/event-stream'
# Statuses that promise the caller that the request did not run.  A response
# with one of them that lacks the target's own statement (`not_run`) is not
# relayed: its outcome is unknown.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# With this status a target turns requests away; it may say for how long.
UNAVAILABLE_STATUS = 503
# Targets are told the deadline in whole ms, and may be early by as much.
DEADLINE_MARGIN_MS = 2
# The longest event of a stream.
MAX_EVENT_BYTES = 1_048_576


class Attempt:
    """One attempt to have a target serve a request.

    `cfg` are the EdgeSettings. `context` is the RequestContext, which holds
    the state that outlives the attempt. `header_codec` translates the
    platform's headers. `on_response` is called with the target, the
    ResponseMetadata of each of its responses, and when the request was sent, 0
    if that isn't known. `on_begin` is called with the context and the target
    before the first event of a stream is relayed, and `on_events` with both
    when events come. `may_retry` returns whether another target may be tried
    after this one. `acquire` takes how long the target may take to respond, in
    ms, and returns a connection to it; it raises NotSent on failure.
    `end_checker` is the EndChecker, and `end_judge` the EndJudge.
    """

    __slots__ = (
        '_cfg',
        '_context',
        '_target',
        '_caller',
        '_header_codec',
        '_clock',
        '_on_response',
        '_on_begin',
        '_on_events',
        '_may_retry',
        '_acquire',
        '_end_checker',
        '_end_judge',
        '_timeout_s',
        '_sent_at',
        '_metadata',
    )

    def __init__(
        self,
        cfg,
        context,
        target,
        caller,
        header_codec,
        clock,
        on_response,
        on_begin,
        on_events,
        may_retry,
        acquire,
        end_checker,
        end_judge,
    ):
        self._cfg = cfg
        self._context = context
        self._target = target
        self._caller = caller
        self._header_codec = header_codec
        self._clock = clock
        self._on_response = on_response
        self._on_begin = on_begin
        self._on_events = on_events
        self._may_retry = may_retry
        self._acquire = acquire
        self._end_checker = end_checker
        self._end_judge = end_judge
        self._timeout_s = None
        # When the request was sent.
        self._sent_at = 0
        self._metadata = None

    def run(self, timeout_ms):
        """Run the attempt; return an instance of a class in `outcomes`.

        A target that does not get on with its response for `timeout_ms` is
        abandoned, unless no other may be tried: then the wait goes on.
        """
        self._timeout_s = timeout_ms / 1000
        try:
            conn = self._acquire(timeout_ms)
        except connections.NotSent as exc:
            return outcomes.NotRun(
                str(exc),
                reached=False,
                misdirected=isinstance(exc, incarnations.OtherIncarnation),
                unidentified=isinstance(exc, incarnations.Unidentified),
                refused=isinstance(exc, connections.Refused),
            )
        response = None
        reusable = False
        # Assume that it runs until the target proves otherwise.
        self._context.may_have_run = True
        try:
            self._sent_at = self._clock.now()
            conn.request_ids.add(self._context.metadata.request_id)
            conn.send(self._encode_head(), self._context.req.body)
            self._context.sent_count += 1
            self._context.sent_at = self._clock.now()
            response = self._wait(
                conn, lambda: conn.read_head(self._is_for_this_request)
            )
            outcome = self._handle_response(conn, response)
            # Without the id it may be a copy of an earlier response, and the
            # target still at work.
            reusable = self._has_own_id() and conn.is_reusable(response)
            return outcome
        except connections.ResponseLost as exc:
            return outcomes.Unknown(
                str(exc),
                cut_off=isinstance(exc, connections.PeerClosed),
                flooded=isinstance(exc, connections.Flooded),
            )
        except connections.ReadTimeout:
            return outcomes.Unknown(
                'no data within the read timeout', timed_out=True
            )
        finally:
            if reusable:
                self._target.release_connection(
                    conn, self._clock.now(), self._metadata.idle_timeout_ms
                )
            else:
                # This also makes the target cancel work that is under way.
                conn.close()

    def _wait(self, conn, read):
        """Return what `read` returns; begin the read timeout anew before it.

        Reads again after the timeout while no other target may be tried.
        """
        while True:
            conn.set_read_timeout(self._timeout_s)
            try:
                return read()
            except connections.ReadTimeout:
                if self._may_retry():
                    raise

    def _encode_head(self):
        context = self._context
        req = context.req
        headers = self._header_codec.build_target_headers(
            req,
            context.account.name if context.account else None,
            self._target.entry.id,
            context.deadline - self._clock.now(),
            context.priority(),
            context.last_event_id,
        )
        if req.body or req.method not in (b'GET', b'HEAD'):
            headers.append((b'Content-Length', b'%d' % len(req.body)))
        first_line = b'%s %s HTTP/1.1' % (req.method, req.url)
        return messages.encode_head(first_line, headers)

    def _is_for_this_request(self, response):
        """Return whether a response belongs to this request.

        One with neither a request id nor a stamp is accepted as well: nothing
        ties it to another request.
        """
        metadata = self._header_codec.parse_response(response)
        is_own = metadata.request_id == self._context.metadata.request_id
        # Responses to other requests tell it as well.  A misdirected request
        # was answered by another target.
        if not metadata.misdirected:
            self._on_response(
                self._target, metadata, self._sent_at if is_own else 0
            )
        return is_own or (not metadata.request_id and not metadata.has_stamp)

    def _has_own_id(self):
        return self._metadata.request_id == self._context.metadata.request_id

    def _handle_response(self, conn, response):
        self._metadata = metadata = self._header_codec.parse_response(response)
        if response.status == UNAVAILABLE_STATUS and metadata.retry_after_ms:
            self._target.pause(self._clock.now() + metadata.retry_after_ms)
        if metadata.not_run and not metadata.request_id and conn.was_used:
            # It may be a second response to an earlier request.
            return outcomes.Unknown(f'status {response.status}, without an id')
        if metadata.not_run and not _can_refuse(response.status):
            return outcomes.Unknown(
                f'status {response.status}, but said not to have run'
            )
        if metadata.not_run:
            conn.read_body(response, self._timeout_s, may_end_by_close=True)
            if metadata.misdirected:
                # The request reached a target other than the intended one, so
                # it doesn't count as one of the route's attempts.
                self._context.sent_count -= 1
            return outcomes.NotRun(
                f'status {response.status}',
                misdirected=metadata.misdirected,
            )
        if metadata.has_content_encoding or not metadata.has_stamp:
            return outcomes.Unknown(
                f'status {response.status}, content-encoded or unstamped'
            )
        if response.is_framed:
            return self._relay(conn, response, None)
        check = self._end_checker.begin(
            self._target, conn, self._sent_at, _is_stream(response)
        )
        try:
            return self._relay(conn, response, check)
        finally:
            check.close()

    def _relay(self, conn, response, end_check):
        """Relay a response; `end_check` is None if it says where it ends."""
        if response.status == OK and _is_stream(response):
            return self._relay_stream(conn, response, end_check)
        is_stream_route = (
            self._context.route.kind is catalog.RequestKind.STREAM
        )
        has_doubt = end_check and self._cfg.doubt_closed_streams
        if response.status == OK and has_doubt and is_stream_route:
            # Streams that are closed early have no proof, whatever their type.
            raise connections.ResponseLost('no stream, and without a length')
        body = self._wait(
            conn,
            lambda: conn.read_body(
                response, self._timeout_s, may_end_by_close=True
            ),
        )
        closed_at = self._clock.now()
        self._confirm_end(end_check)
        if response.status == OK and is_stream_route:
            self._check_other_type(end_check, closed_at)
        if response.status in NOT_RUN_STATUSES:
            return outcomes.Unknown(
                f'status {response.status}, without proof it did not run'
            )
        response.body = body
        if response.status >= MIN_FAILURE_STATUS:
            conn.release()
            return outcomes.Failure(response)
        if self._caller.response_started:
            # The caller has events of another target already.
            return outcomes.Unknown(
                f'status {response.status} in the middle of a stream'
            )
        self._context.record_first_byte(self._clock.now())
        # From here on the connection to the caller counts the body.
        conn.release()
        self._caller.send_response(
            response.status,
            self._header_codec.build_caller_headers(response),
            body,
        )
        proof = None if response.is_framed else outcomes.Proof.ALIVE
        return outcomes.Served(response.status, response.is_framed, proof)

    def _check_other_type(self, end_check, closed_at):
        """Raise ResponseLost if a response that is no stream may be cut off.

        On a route of streams it is judged as they are.
        """
        if end_check is None or self._cfg.accept_closed_streams:
            return
        doubt = self._end_judge.find_doubt(
            self._context, self._target, end_check, True, closed_at
        )
        if doubt:
            raise connections.ResponseLost(_explain_close(doubt))

    def _relay_stream(self, conn, response, end_check):
        """Relay events as they arrive, each only once it is complete."""
        splitter = sse.EventSplitter()
        limits = event_limits.EventLimits(self._context.max_events)
        order = self._context.event_order
        order.begin_run()
        has_events = False
        has_new_events = False
        is_open = True
        while True:
            read_at = self._clock.now()
            events = splitter.feed(response.take_body())
            if too_many := limits.exceeded_by(events):
                raise connections.Flooded(too_many)
            undelivered = order.select(events)
            has_events = has_events or bool(events)
            if undelivered:
                self._relay_events(response, undelivered)
                has_new_events = has_new_events or any(
                    event.has_data() for event in undelivered
                )
            if end_check is not None:
                end_check.record_unread(self._clock.now() - read_at)
            if order.is_unfit:
                return outcomes.Closed(order.fault, is_unfit=True)
            if order.fault:
                raise connections.ResponseLost(order.fault)
            if response.is_complete or not is_open:
                break
            conn.hold(splitter.pending_bytes())
            if splitter.pending_bytes() > MAX_EVENT_BYTES:
                raise connections.ResponseLost('an event is too long')
            if events:
                # Only whole events show that the stream gets on.
                conn.set_read_timeout(self._timeout_s)
            is_open = self._receive_more(conn, response)
        closed_at = self._clock.now()
        # A stream that goes on may have had no more events.
        has_begun = has_events or bool(self._context.last_event_id)
        if not response.is_framed and not has_begun:
            raise connections.PeerClosed('connection closed before any event')
        if splitter.remainder():
            error = (
                connections.ResponseLost
                if response.is_framed
                else connections.PeerClosed
            )
            raise error('the last event is incomplete')
        if response.is_framed:
            order.end_run()
            if order.is_unfit:
                return outcomes.Closed(order.fault, is_unfit=True)
        if self._may_have_stopped(response):
            raise connections.ResponseLost('it ended at the deadline')
        if response.is_framed:
            return self._finish_stream(response, None)
        return self._judge_end(response, end_check, has_new_events, closed_at)

    def _judge_end(self, response, end_check, has_new_events, closed_at):
        """Return the outcome of a stream that its target has closed."""
        if stream_ends.has_most(self._context):
            return self._finish_stream(response, outcomes.Proof.MOST)
        self._confirm_end(end_check)
        if self._cfg.accept_closed_streams:
            return self._finish_stream(response, outcomes.Proof.ALIVE)
        ended = outcomes.Ended(
            lambda proof: self._finish_stream(response, proof),
            stream_ends.may_leave(self._target, end_check),
        )
        self._context.watched_end = ended
        doubt = self._end_judge.find_doubt(
            self._context, self._target, end_check, has_new_events, closed_at
        )
        self._context.watched_end = None
        self._context.record_closed(self._target, has_new_events)
        if doubt:
            return outcomes.Closed(_explain_close(doubt))
        return ended

    def _finish_stream(self, response, proof):
        """Tell the caller that its stream is complete; return the Served."""
        # It must not be told so once more if the sending is interrupted.
        self._context.watched_end = None
        is_chunked = self._context.req.takes_chunks
        self._send_body(response, messages.LAST_CHUNK if is_chunked else b'')
        return outcomes.Served(response.status, response.is_framed, proof)

    def _may_have_stopped(self, response):
        """Return whether a stream may end since its target was out of time.

        Targets stop work at the deadline, which this process may notice later.
        A length is stated before that.
        """
        if response.header(b'content-length'):
            return False
        left_ms = self._context.remaining_ms(self._clock.now())
        return left_ms <= DEADLINE_MARGIN_MS

    def _confirm_end(self, end_check):
        """Raise ResponseLost if a response may have been cut off."""
        if end_check is not None:
            end_check.confirm(self._context.metadata.request_id)

    def _receive_more(self, conn, response):
        """Read more of a stream; wait on if no other target may be tried.

        Returns False if the target closed the connection.
        """
        try:
            is_open = conn.receive()
        except connections.ReadTimeout:
            if self._may_retry():
                raise
            conn.set_read_timeout(self._timeout_s)
            return True
        if not is_open and response.is_framed:
            raise connections.PeerClosed(
                'connection closed in the middle of a stream'
            )
        return is_open

    def _relay_events(self, response, undelivered):
        now = self._clock.now()
        first = self._target.wait_estimator.record_first_event(
            self._context, now
        )
        if first is not None:
            self._context.read_tokens, self._context.read_ms = first
        if not self._caller.response_started:
            # What has reached nobody may be begun again at another version.
            self._caller.raise_if_gone()
            self._context.record_first_byte(now)
            self._context.stream_version = self._target.entry.version
            self._on_begin(self._context, self._target)
        self._context.record_events(undelivered, now)
        self._on_events(self._context, self._target)
        data = b''.join(event.raw for event in undelivered)
        if self._context.req.takes_chunks:
            data = messages.encode_chunk(data)
        self._send_body(response, data)

    def _send_body(self, response, data):
        """Send encoded body bytes, preceded by the head if it was not sent."""
        if not self._caller.response_started:
            head = self._caller.start_chunked_response(
                response.status,
                self._header_codec.build_caller_headers(response),
            )
            data = head + data
        self._caller.send(data)


def _explain_close(doubt):
    """Return why a response that its target closed may be cut off."""
    return f'closed, without a length: {doubt}'


def _is_stream(response):
    """Return whether a response says that it is a stream of events."""
    content_type = response.header(b'content-type').lower()
    return content_type.startswith(EVENT_STREAM)


def _can_refuse(status):
    """Return whether a target may answer so without running the request.

    A success, or a server error other than 503, says that it ran.
    """
    is_request_error = MIN_REQUEST_ERROR_STATUS <= status < MIN_FAILURE_STATUS
    return is_request_error or status == UNAVAILABLE_STATUS
