"""Durable claims: one object in the store for each non-repeatable request.

A service whose policy asks for them pays a write for each such request and
can't run any while the store is down.  In return a request may run although
the agent that was its home is lost: whoever creates the claim first may run
it, and nobody else ever does.
"""

import hashlib

from absl import logging
from gevent import event
import msgspec

from galenaspoke.core import verdicts
from galenaspoke.store import client as store_client

CLAIM_PREFIX = 'claims/'


class DurableClaim(msgspec.Struct, frozen=True):
    """The object: who may run which request."""

    key: str
    agent: str


def claim_key(key):
    """Return the store key of a request's claim."""
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f'{CLAIM_PREFIX}{digest}'


class DurableClaims:
    """The claims that one agent has in the store."""

    __slots__ = ('_store', '_ident', '_versions', '_pending')

    def __init__(self, store, agent_id):
        self._store = store
        self._ident = agent_id
        self._versions = {}
        self._pending = {}

    def claim(self, key):
        """Return None once the claim is this agent's, else a Refusal."""
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
                verdicts.Reason.UNREACHABLE, f'no durable claim: {exc}', 1000
            )
        pending.set(refusal)
        del self._pending[key]
        return refusal

    def _claim(self, key):
        wanted = DurableClaim(key, self._ident)
        path = claim_key(key)
        try:
            raw = msgspec.json.encode(wanted)
            self._versions[key] = self._store.put(path, 0, raw)
            return None
        except (store_client.Conflict, store_client.OutcomeUnknown):
            item = self._store.get(path)
        if item.version == 0:
            return verdicts.may_have_run(
                verdicts.Reason.UNREACHABLE, 'the store took no claim', 200
            )
        found = msgspec.json.decode(item.value, type=DurableClaim)
        if found != wanted:
            return verdicts.may_have_run(
                verdicts.Reason.RECORD_LOST,
                f'claimed by {found.agent}, which can not be asked',
            )
        self._versions[key] = item.version
        return None

    def expire(self, keys):
        """Remove the claims of requests whose records were forgotten."""
        for key in keys:
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
                    logging.WARNING, 'a claim stays behind: %s', 60, exc
                )
