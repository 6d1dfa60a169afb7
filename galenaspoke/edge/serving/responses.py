"""The final responses to callers, and the log lines about them.

Example::

    responder = Responder(config_view, headers, clock, metrics, journal)
    responder.finish(req, context, caller, outcomes.Served(200))
"""

import msgspec

from galenaspoke.core import catalog
from galenaspoke.edge import outcomes
from galenaspoke.edge.serving import caller_connections


class Responder:
    """Sends the final response to each request and logs how it ended."""

    __slots__ = (
        '_config_view',
        '_header_codec',
        '_clock',
        '_metrics',
        '_journal',
    )

    def __init__(self, config_view, header_codec, clock, metrics, journal):
        self._config_view = config_view
        self._header_codec = header_codec
        self._clock = clock
        self._metrics = metrics
        self._journal = journal

    def finish(self, req, context, caller, result):
        """Send the final response unless that is done already; log it."""
        if isinstance(result, outcomes.Served):
            if not result.is_framed:
                self._metrics.count('answers.unframed')
            proof = result.proof and result.proof.value
            self._log_result(
                req, context, result.status, None, result.is_framed, proof
            )
            return
        if caller.response_started:
            # The caller has a partial response, which must not look complete.
            self._log_result(req, context, 0, result)
            raise caller_connections.CallerDisconnected(
                'the response could not be completed'
            )
        if isinstance(result, outcomes.Failure):
            response = result.response
            caller.send_response(
                response.status,
                self._header_codec.build_caller_headers(response),
                response.take_body(),
            )
            self._log_result(req, context, response.status, result)
            return
        self._send_refusal(caller, result)
        self._log_result(req, context, result.status, result)

    def _send_refusal(self, caller, refusal):
        headers = [(b'Content-Type', b'application/json')]
        if refusal.retry_after_ms:
            seconds = b'%.2f' % (refusal.retry_after_ms / 1000)
            headers.append((b'Retry-After', seconds))
        if refusal.reason is outcomes.Reason.BAD_REQUEST:
            caller.keep_alive = False
        body = msgspec.json.encode(
            {'refused': refusal.reason.value, 'detail': refusal.detail}
        )
        caller.send_response(refusal.status, headers, body)

    def _log_result(
        self, req, context, status, result, is_framed=True, proof=None
    ):
        now = self._clock.now()
        self._metrics.count(f'answers.{status}')
        fields = {'status': status, 'ms': now - req.arrived_at}
        if not is_framed:
            fields['framed'] = False
            fields['proof'] = proof
        if context is not None:
            kind = context.route.kind.value
            if context.first_byte_ms is not None:
                self._metrics.timing(
                    f'first_byte.{kind}', context.first_byte_ms
                )
            fields |= {
                'id': context.metadata.request_id,
                'route': context.route.name,
                'account': context.account and context.account.name,
                'targets': context.tried_ids,
                'first_ms': context.first_byte_ms,
                'events': context.event_count,
                'version': context.stream_version,
                'resumed_id': context.metadata.resumed_id,
                'gap_ms': context.longest_gap_ms,
                **self._note_event_ids(context),
                'sent_ms': context.sent_at
                and context.sent_at - req.arrived_at,
                'charged': context.charged_tokens,
                'generation': self._config_view.catalog.generation,
            }
        else:
            fields['id'] = self._header_codec.request_id(req)
        if result is None:
            self._journal.note_success('answered', **fields)
            return
        if isinstance(result, outcomes.Refusal):
            fields['reason'] = result.reason.value
            fields['detail'] = result.detail
            fields['retry_after_ms'] = result.retry_after_ms
        self._journal.note('refused', **fields)

    def _note_event_ids(self, context):
        """Count what a stream's ids show; return the fields that tell it."""
        if context.route.kind is not catalog.RequestKind.STREAM:
            return {}
        order = context.event_order
        if order.max_step > 1:
            self._metrics.count('streams.wide_steps')
        if order.join_step > 1:
            self._metrics.count('streams.wide_joins')
        if order.repeated_count:
            self._metrics.count('events.repeated', order.repeated_count)
        return {
            'id_step': order.max_step,
            'join_step': order.join_step,
            'repeated': order.repeated_count,
        }

    def log_disconnect(self, req, context, why):
        """Log a request whose caller can't be answered any more.

        `why` says what was seen on the connection.
        """
        self._metrics.count('callers.gone')
        self._journal.note(
            'caller.gone',
            id=context.metadata.request_id if context else '',
            targets=context.tried_ids if context else [],
            charged=context.charged_tokens if context else 0,
            account=(
                context.account.name if context and context.account else None
            ),
            ms=self._clock.now() - req.arrived_at,
            why=why,
        )
