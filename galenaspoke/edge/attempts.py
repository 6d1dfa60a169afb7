"""One attempt at one target: send the request, bring the answer back."""

from galenaspoke.edge import sse
from galenaspoke.edge import outcomes
from galenaspoke.http import connections
from galenaspoke.http import messages

FIRST_FAILURE = 500
EVENT_STREAM = 'text/event-stream'
# Answers of a target that promise that it didn't run the request; without
# its own word for that they aren't passed on.
PROMISES = (408, 421, 429, 503)


class Attempt:
    """One request at one target.

    `context` is the request's Course, which keeps what outlives an attempt.
    `header_codec` translates headers.
    """

    __slots__ = (
        '_course',
        '_target',
        '_caller',
        '_header_codec',
        '_clock',
        '_facts',
    )

    def __init__(self, context, target, caller, header_codec, clock):
        self._course = context
        self._target = target
        self._caller = caller
        self._header_codec = header_codec
        self._clock = clock
        self._facts = None

    def run(self, patience_ms):
        """Return how the attempt ended, as one of `outcomes`.

        A target that is silent for `patience_ms` is given up.
        """
        try:
            conn = self._target.acquire_connection(self._clock.now())
        except connections.NotSent as exc:
            return outcomes.NotRun(str(exc), reached=False)
        answer = None
        spare = False
        # Until it is known to have ended, it may be running.
        self._course.may_have_run = True
        try:
            conn.send(self._encode())
            self._course.sent += 1
            self._course.sent_at = self._clock.now()
            conn.set_read_timeout(patience_ms / 1000)
            answer = conn.read_head(self._belongs)
            outcome = self._take(conn, answer)
            spare = conn.is_reusable(answer)
            return outcome
        except connections.ResponseLost as exc:
            return outcomes.Unknown(str(exc))
        except connections.ReadTimeout:
            return outcomes.Unknown('silent', timed_out=True)
        finally:
            if spare:
                self._target.release_connection(
                    conn, self._clock.now(), self._facts.idle_ms
                )
            else:
                # Whatever the target is still doing for it ends with this.
                conn.close()

    def _encode(self):
        context = self._course
        req = context.req
        headers = self._header_codec.forwarded(
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
        return messages.encode_head(first_line, headers) + bytes(req.body)

    def _belongs(self, answer):
        """Tell whether an answer is to this request."""
        facts = self._header_codec.parse_response(answer)
        return facts.request_id == self._course.metadata.request_id or (
            not facts.request_id and not facts.genuine
        )

    def _take(self, conn, answer):
        self._facts = facts = self._header_codec.parse_response(answer)
        if facts.not_run:
            conn.read_body(answer)
            if facts.misdirected:
                # It was not sent to a target that the route allows.
                self._course.sent -= 1
            return outcomes.NotRun(
                f'status {answer.status}',
                misdirected=facts.misdirected,
                retry_after_ms=facts.retry_after_ms,
            )
        if facts.encoded or not facts.genuine:
            return outcomes.Unknown(f'status {answer.status} is not its own')
        kind = answer.header(b'content-type')
        if answer.status == 200 and kind.startswith(EVENT_STREAM):
            return self._stream(conn, answer)
        body = conn.read_body(answer)
        if answer.status in PROMISES:
            return outcomes.Unknown(f'status {answer.status} after a run')
        answer.body += body
        if answer.status >= FIRST_FAILURE:
            return outcomes.Failure(answer)
        self._course.first_byte(self._clock.now())
        self._caller.answer(
            answer.status, self._header_codec.returned(answer), body
        )
        return outcomes.Served(answer.status)

    def _stream(self, conn, answer):
        """Pass events on as they come, whole ones only."""
        splitter = sse.Splitter()
        while True:
            fresh = self._fresh(splitter.feed(answer.take()))
            if fresh:
                self._pass_on(answer, fresh)
            if answer.complete:
                break
            if not conn.receive() and not answer.complete:
                raise connections.ResponseLost(
                    'closed in the middle of a stream'
                )
        if splitter.rest():
            raise connections.ResponseLost('the last event is not whole')
        self._send(answer, messages.LAST_CHUNK)
        return outcomes.Served(answer.status)

    def _fresh(self, found):
        """Return the events that the caller doesn't have yet."""
        last = self._course.last_event_id
        if not last.isdecimal():
            return found
        return [
            event
            for event in found
            if not event.id.isdecimal() or int(event.id) > int(last)
        ]

    def _pass_on(self, answer, fresh):
        now = self._clock.now()
        self._target.wait_estimator.record_first_event(self._course, now)
        if not self._caller.begun:
            self._course.first_byte(now)
        self._course.delivered(fresh, now)
        data = messages.chunk(b''.join(event.raw for event in fresh))
        self._send(answer, data)

    def _send(self, answer, data):
        """Send a part of the answer's body, after its head if need be."""
        if not self._caller.begun:
            head = self._caller.begin(
                answer.status, self._header_codec.returned(answer)
            )
            data = head + data
        self._caller.send(data)
