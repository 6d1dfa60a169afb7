"""Durable claims: one store object for each non-repeatable request.

With a policy that enables them, a service needs one store write for each such
request and can't run any while the store is down.  In return, a request can
still be run after the agent that was its home is lost: the first agent that
creates the claim may run it, and no other agent may ever do so.
"""

import hashlib

from absl import logging
from gevent import event
import msgspec

from galenaspoke.core import verdicts
from galenaspoke.store import client as store_client

CLAIM_PREFIX = 'claims/'


class DurableClaim(msgspec.Struct, frozen=True):
    """The stored object: the agent that may run a request."""

    key: str
    agent: str


def claim_key(key):
    """Return the store key of a request's claim."""
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f'{CLAIM_PREFIX}{digest}'


class DurableClaims:
    """The claims that one agent holds in the store."""

    __slots__ = ('_store', '_agent_id', '_versions', '_pending')

    def __init__(self, store, agent_id):
        self._store = store
        self._agent_id = agent_id
        self._versions = {}
        self._pending = {}

    def claim(self, key):
        """Create the claim; return None once this agent holds it.

        Otherwise return a Refusal.  Concurrent calls for one key share a
        single attempt.
        """
        if key in self._versions:
            return None
        pending = self._pending.get(key)
        if pending is not None:
            return pending.get()
        pending = self._pending[key] = event.AsyncResult()
        try:
            refusal = self._claim(key)
        except store_client.StoreError as exc:
            refusal = verdicts.may_have_run(
                verdicts.Reason.UNREACHABLE,
                f'the durable claim was not created: {exc}',
                1000,
            )
        pending.set(refusal)
        del self._pending[key]
        return refusal

    def _claim(self, key):
        own_claim = DurableClaim(key, self._agent_id)
        store_key = claim_key(key)
        try:
            raw = msgspec.json.encode(own_claim)
            self._versions[key] = self._store.put(store_key, 0, raw)
            return None
        except (store_client.Conflict, store_client.OutcomeUnknown):
            item = self._store.get(store_key)
        if item.version == 0:
            return verdicts.may_have_run(
                verdicts.Reason.UNREACHABLE,
                'the store did not create the durable claim',
                200,
            )
        stored_claim = msgspec.json.decode(item.value, type=DurableClaim)
        if stored_claim != own_claim:
            return verdicts.may_have_run(
                verdicts.Reason.RECORD_LOST,
                f'the durable claim belongs to {stored_claim.agent}; only that'
                ' agent may run the request',
            )
        self._versions[key] = item.version
        return None

    def expire(self, keys):
        """Delete the claims of requests whose records have expired."""
        for key in keys:
            # A failed deletion is not retried.
            version = self._versions.pop(key, None)
            if version is None:
                continue
            try:
                self._store.delete(claim_key(key), version)
            except (
                store_client.StoreError,
                store_client.OutcomeUnknown,
            ) as exc:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'could not delete a durable claim, which stays in the'
                    ' store: %s',
                    60,
                    exc,
                )
