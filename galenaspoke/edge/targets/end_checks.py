"""Checks whether a response without a length has ended or was cut off.

Such a response ends with its connection, but the kernel also closes the
connections of a process that was killed.  So the end of the connection alone
proves nothing.  The target proves it: the process that sent the response still
lives, and doesn't work on the request any more.  If the response takes long,
the target is asked while it is under way as well: what answers then, and once
more after the end, is the same process by its own word.  A target may also
give up a response that isn't read for seconds, so what this router read as
late as that has no proof.

Example::

    check = checker.begin(target, conn, sent_at)    # once the head was read
    check.confirm('9c41')     # raises ResponseLost if it may be cut off
    check.close()
"""

import math

import gevent

from galenaspoke.http import connections
from galenaspoke.store import base as store_base

HTTP_OK = 200
# What a target says of its work may be some hundred ms old, so it is asked
# again after a pause, for this long in all.
ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_MS = 1_500
# For how long after a process lived it may be told by the store, or, where its
# entry states no start, by the time alone.
MIN_RESTART_MS = 1_000
# When a target is asked for the first time, after the request was sent, if its
# response is under way.  One that ends before proves its process by the time.
EARLY_QUESTION_MS = 500
# The same for a stream, after its head came.  What its target answers while
# the stream is under way shows best which process it is.
STREAM_QUESTION_MS = 50
# How often it is asked so if the questions are lost, and after which pauses.
MAX_EARLY_QUESTIONS = 3
EARLY_INTERVAL_S = 0.2
# How much the wall clocks of a router and a target may differ.
MAX_CLOCK_ERROR_MS = 17_000
# A target may give up a response that was not read for this long.
MAX_UNREAD_MS = 2_000
# How often it is checked that this process doesn't stand still.
STALL_INTERVAL_S = 0.5


class EndChecker:
    """Begins the checks of targets' responses.

    `report_codec` translates the platform's reports.  `read_entry` takes the
    id of a target and a time-out in s, and returns the target's entry as the
    store has it now, None if there is none; it raises StoreError on failure.
    """

    __slots__ = (
        '_report_codec',
        '_read_entry',
        '_clock',
        '_metrics',
        '_stalled_at',
    )

    def __init__(self, report_codec, read_entry, clock, metrics):
        self._report_codec = report_codec
        self._read_entry = read_entry
        self._clock = clock
        self._metrics = metrics
        # When this process last stood still for MAX_UNREAD_MS.
        self._stalled_at = -math.inf

    def begin(self, target, conn, sent_at, is_stream=False):
        """Return the EndCheck of a response whose head has just come.

        `conn` is its connection, `sent_at` when the request was sent, and
        `is_stream` whether the response comes bit by bit.
        """
        now = self._clock.now()
        ask_at = max(now, sent_at + EARLY_QUESTION_MS)
        if is_stream:
            ask_at = now + STREAM_QUESTION_MS
        return EndCheck(
            target,
            conn,
            self._report_codec,
            self._read_entry,
            self._clock,
            self._metrics,
            sent_at,
            ask_at,
            lambda: self._stalled_at >= sent_at,
        )

    def watch_stalls(self):
        """Notice when this process stands still; never return."""
        while True:
            slept_at = self._clock.now()
            gevent.sleep(STALL_INTERVAL_S)
            now = self._clock.now()
            if now - slept_at >= MAX_UNREAD_MS:
                self._stalled_at = now


class EndCheck:
    """Finds out whether the response that a target is sending was cut off.

    A second connection is made while the response is under way, and the
    process at its other end answers a question there.  If the target hasn't
    closed the first connection by then, both lead to the same process.  That
    the second one was made says nothing: a gateway may accept it, and keep it
    until another process is there.  After the response the process proves that
    it lives by an answer on the second connection, which doesn't outlive it,
    or by the start that it stated before.

    Without such an answer, the time when the process started shows that it is
    the same one.  A process that doesn't state it has stated it in its entry:
    shortly after it lived, which it did when the request was sent, the store
    is asked whether the entry names another start.  When data came says
    nothing, since the kernel of a dead process sends the rest once the router
    has room.

    While the store can't be asked, an answer on a kept connection tells it, if
    that had carried a response before the request was sent: it ends with its
    process, and the one that answers a request later at the same address is
    the same.

    That the target has closed the first one may come late, on a path that
    holds up or loses packets.  So no process that says that it has started
    after the request was sent proves anything, nor one that doesn't say when,
    once the target's entry names another start.
    """

    __slots__ = (
        '_target',
        '_response_conn',
        '_report_codec',
        '_read_entry',
        '_clock',
        '_metrics',
        '_sent_at',
        '_sent_at_wall',
        '_listed_born',
        '_has_stalled',
        '_connect_task',
        '_early_task',
        '_conn',
        '_is_early',
        '_is_kept',
        '_has_answered',
        '_is_answer_late',
        '_early_born',
        '_early_run_ids',
        '_alive_at',
        '_has_survived',
        '_has_lost_early',
        '_was_listed',
        '_unread_ms',
        'says_leaving',
        'lists_others',
    )

    def __init__(
        self,
        target,
        conn,
        report_codec,
        read_entry,
        clock,
        metrics,
        sent_at,
        ask_at,
        has_stalled,
    ):
        self._target = target
        self._response_conn = conn
        self._report_codec = report_codec
        self._read_entry = read_entry
        self._clock = clock
        self._metrics = metrics
        self._sent_at = sent_at
        # The same in ms since 1970.
        self._sent_at_wall = clock.wall() - (clock.now() - sent_at)
        # When the target's process started, by the entry at this time.
        self._listed_born = target.entry.born
        self._has_stalled = has_stalled
        # The connection for the next question, None if there is none yet.
        self._conn = None
        # Whether it was made while the response was under way.
        self._is_early = False
        # Whether the target answered a request on it before the sending.
        self._is_kept = False
        # Whether the target answered on it while the response was under way,
        # and when its process started, by that answer; 0 if it didn't say so.
        self._has_answered = False
        self._early_born = 0
        self._early_run_ids = ()
        # Whether a question before that answer was lost, perhaps with the
        # process of the response.
        self._is_answer_late = False
        # The latest time at which the process is known to have lived.
        self._alive_at = sent_at
        # Whether it has answered since on the connection of such an answer.
        self._has_survived = False
        # Whether such a connection was lost, perhaps with its process.
        self._has_lost_early = False
        # Whether a report has listed the request.
        self._was_listed = False
        # The longest time for which nothing of the response was read.
        self._unread_ms = 0
        # Whether the target has said, since its response ended, that it
        # leaves, and that it works on other requests.
        self.says_leaving = False
        self.lists_others = False
        self._connect_task = gevent.spawn(self._try_to_connect)
        wait_ms = max(0, ask_at - clock.now())
        self._early_task = gevent.spawn_later(wait_ms / 1000, self._ask_early)

    def record_unread(self, unread_ms):
        """Record that nothing was read for a while, whatever has come."""
        self._unread_ms = max(self._unread_ms, unread_ms)

    def confirm(self, request_id):
        """Return if the response has ended by itself.

        Call it once the connection of the response was closed.  Raises
        PeerClosed if it was cut off with its process, and ResponseLost if
        nothing shows that it wasn't cut off.
        """
        try:
            self._ask_until_known(request_id)
        except connections.ResponseLost:
            self._metrics.count('ends.unproved')
            raise
        self._metrics.count('ends.proved')

    def is_alive(self, request_id):
        """Return whether the target still lives, after `confirm`."""
        try:
            self._ask_while_doubtful(request_id)
        except connections.ResponseLost:
            return False
        return True

    def close(self):
        """End the check."""
        self._early_task.kill(block=False)
        self._connect_task.kill(block=False)
        if self._conn is not None:
            self._conn.close()

    def _try_to_connect(self):
        try:
            self._connect()
        except connections.NotSent:
            # `confirm` makes another one.
            pass

    def _connect(self):
        now = self._clock.now()
        self._conn = self._target.acquire_last_connection(now)
        self._is_early = self._is_under_way()
        self._is_kept = _is_kept_since(self._conn, self._sent_at)
        self._has_answered = False

    def _is_under_way(self):
        """Return whether the target hasn't closed the first connection."""
        return not self._response_conn.is_closed_by_peer()

    def _ask_early(self):
        """Ask on a second connection while the response is under way.

        A question that is lost says nothing: it is asked again.  Then the
        target's entry has to tell the process as well, see `_ask`, so that is
        done only if the entry states a start.
        """
        self._connect_task.join()
        for _ in range(MAX_EARLY_QUESTIONS):
            if self._conn is not None and self._is_early:
                self._ask_early_once()
            is_over = self._conn is not None or not self._is_under_way()
            if is_over or not self._listed_born:
                return
            gevent.sleep(EARLY_INTERVAL_S)
            self._try_to_connect()

    def _ask_early_once(self):
        """Ask on the second connection; keep it if that tells a process."""
        conn, self._conn = self._conn, None
        is_usable = False
        try:
            until = self._clock.now() + ASK_TIMEOUT_MS
            response, report = self._exchange(conn, until)
            is_usable = self._record_early(report) and conn.is_reusable(
                response
            )
        except (connections.ResponseLost, connections.ReadTimeout):
            self._has_lost_early = True
        finally:
            if not is_usable:
                conn.close()
        if is_usable:
            self._conn = conn
            self._has_answered = True
            self._is_answer_late = self._has_lost_early

    def _record_early(self, report):
        """Record an early report; return whether it identifies a process."""
        is_own = not report.is_relayed and not report.is_misdirected
        if not is_own or not self._is_under_way():
            return False
        self._early_born = report.born
        self._early_run_ids = report.run_ids
        return True

    def _drop_answered(self):
        """Drop a connection that has answered unless it is open and empty.

        What waits there may be a copy of the answer.
        """
        if self._conn is None or self._conn.is_open_and_empty():
            return
        if self._has_answered:
            self._conn.close()
            self._conn = None
            self._has_lost_early = True
        else:
            # What waits there may pass for one.
            self._is_kept = False

    def _ask_until_known(self, request_id):
        self._connect_task.join()
        # An answer that comes from now on is no early one.
        self._early_task.kill()
        self._drop_answered()
        self._ask_while_doubtful(request_id)
        # Only now: what came during a stall is read before that is noticed.
        if self._has_stalled() or self._unread_ms >= MAX_UNREAD_MS:
            why = 'it was not read for too long'
            raise _make_loss(connections.ResponseLost, why)

    def _ask_while_doubtful(self, request_id):
        until = self._clock.now() + ASK_TIMEOUT_MS
        while doubt := self._ask(request_id, until):
            if self._clock.now() >= until:
                raise _make_loss(connections.ResponseLost, doubt)
            gevent.sleep(ASK_INTERVAL_S)

    def _ask(self, request_id, until):
        """Ask the target once; return why that proves nothing, '' if it does.

        Raises PeerClosed if the process is gone, or was never reached.
        """
        asked_at = self._clock.now()
        try:
            if self._conn is None:
                self._connect()
            report = self._read_report(until)
        except connections.NotSent as exc:
            is_refused = isinstance(exc, connections.Refused)
            if is_refused or self._clock.now() >= until:
                raise self._make_end(exc) from exc
            return f'no connection: {exc}'
        except (connections.ResponseLost, connections.ReadTimeout) as exc:
            self._has_lost_early = self._has_lost_early or self._is_early
            return f'no report: {exc}'
        if report.is_relayed:
            return 'a gateway has no answer of the target'
        if report.is_misdirected or self._is_other(report):
            raise self._make_end('another process has its address')
        if self._target.is_replaced and not report.born:
            raise self._make_end('another process has its entry')
        is_soon = self._clock.now() - self._alive_at < MIN_RESTART_MS
        is_same = self._has_answered or self._states_early_start(report)
        has_survived = is_same or (self._has_survived and is_soon)
        is_soon = has_survived or (is_soon and not self._has_lost_early)
        is_certain = is_same and not self._is_answer_late
        is_proved = is_certain or self._is_known(report)
        if not (is_proved or is_soon):
            if report.born and self._listed_born:
                raise self._make_end('another process has its address')
            return 'nothing shows that its process is the same'
        if not is_proved:
            self._check_entry(report, until)
        self._has_survived = has_survived
        self._alive_at = asked_at
        return self._find_work(report, request_id)

    def _check_entry(self, report, until):
        """Raise if the store names the start of another process.

        It is asked after the process has answered.  Raises ResponseLost if the
        store doesn't say, unless that answer came on a kept connection; an
        entry that never stated a start tells nothing.
        """
        if not self._listed_born:
            return
        left_s = max(0, until - self._clock.now()) / 1000
        self._metrics.count('ends.entries_read')
        try:
            entry = self._read_entry(self._target.entry.id, left_s)
        except store_base.StoreError as exc:
            if self._is_kept:
                return
            raise _make_loss(
                connections.ResponseLost, f'its entry is not known: {exc}'
            ) from exc
        if entry is None or entry.born == self._listed_born:
            return
        if not report.born or entry.born != report.born:
            raise self._make_end('another process has its entry')

    def _find_work(self, report, request_id):
        """Return why the target may work on the request, '' if it doesn't."""
        if request_id in report.run_ids:
            self._was_listed = True
            return 'the target still works on the request'
        self.says_leaving = report.is_leaving
        # A report that never listed it may be older than the response.
        was_listed = self._was_listed or request_id in self._early_run_ids
        self.lists_others = was_listed and bool(report.run_ids)
        if self._was_listed and not report.is_readable:
            return 'the target worked on the request a moment ago'
        return ''

    def _read_report(self, until):
        """Ask for a report, and close the connection.

        Nothing would tie a copy of the report to the question, so the next
        request there could get it.
        """
        conn, self._conn = self._conn, None
        try:
            _, report = self._exchange(conn, until)
        finally:
            conn.close()
        return report

    def _exchange(self, conn, until):
        """Ask for a report; return the response, and what it says."""
        left_ms = max(1, until - self._clock.now())
        conn.set_read_timeout(left_ms / 1000)
        conn.send(self._report_codec.encode_request(self._target.entry.id))
        response = conn.read_head(self._report_codec.is_report)
        body = conn.read_body(response, may_end_by_close=True)
        report = self._report_codec.decode(response.status, body)
        is_cut = not response.is_framed and not report.is_readable
        if response.status == HTTP_OK and is_cut:
            raise connections.PeerClosed('the report may be cut off')
        return response, report

    def _states_early_start(self, report):
        """Return whether a process states the start of the early report."""
        return report.born != 0 and report.born == self._early_born

    def _is_other(self, report):
        """Return whether it is another process than that of the response."""
        has_both = report.born and self._early_born
        if has_both and not self._states_early_start(report):
            return True
        return self._is_new(report)

    def _is_new(self, report):
        """Return whether a process says that it started after the sending.

        The clocks of a known one may differ from this router's.
        """
        if not report.born or report.born == self._listed_born:
            return False
        return report.born > self._sent_at_wall - MIN_RESTART_MS

    def _is_known(self, report):
        """Return whether a process was there when the request was sent.

        The target's entry may be older than the process.
        """
        if not report.born:
            return False
        is_old = report.born < self._sent_at_wall - MAX_CLOCK_ERROR_MS
        return is_old or report.born == self._listed_born

    def _make_end(self, why):
        """Return the error for a process that is gone.

        A target that leaves ends by itself: nothing has brought it down.
        """
        is_leaving = self._target.is_leaving or self._target.is_removed
        error = (
            connections.ResponseLost if is_leaving else connections.PeerClosed
        )
        return _make_loss(error, why)


def _is_kept_since(conn, sent_at):
    """Return whether a request was answered on a connection before a time.

    One that was only made may not have reached a process yet.
    """
    return conn.request_count > 0 and conn.idle_since < sent_at


def _make_loss(error, why):
    return error(f'closed, without a length: {why}')
