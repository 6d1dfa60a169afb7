"""Store client of the operators' commands, which waits for a slow store.

One call that gets no response in time says nothing about the store's health:
the response may be lost, or the machine of either side busy.  Routers and
agents try again at the next occasion; a command would end.
"""

import dataclasses

import gevent

from galenaspoke.store import client as store_client

PAUSE_MS = 200


class RetryingStore:
    """Repeats calls that have changed nothing, for `command_timeout_ms`.

    Each failed call doubles the timeout of the next one.  This overcomes a
    lost response soon, and also a store that is slower than `timeout_ms`.
    `make_client` takes the StoreSettings with that timeout.

    A write whose outcome is unknown raises OutcomeUnknown, as with any client:
    the caller must read the object.  For this, a read is tried once even when
    the time is over; a write is not.

    `report` is called with the error of the first call that is repeated.
    """

    __slots__ = (
        '_cfg',
        '_make_client',
        '_report',
        '_clock',
        '_sleep',
        '_deadline',
        '_timeout_ms',
        '_client',
        '_client_timeout_ms',
        '_has_reported',
    )

    def __init__(self, cfg, make_client, report, clock, sleep=gevent.sleep):
        self._cfg = cfg
        self._make_client = make_client
        self._report = report
        self._clock = clock
        self._sleep = sleep
        self._deadline = clock.now() + cfg.ctl.command_timeout_ms
        self._timeout_ms = cfg.store.timeout_ms
        self._client = None
        self._client_timeout_ms = 0
        self._has_reported = False

    def get(self, key):
        """Return the Item at `key`, with version 0 if it does not exist."""
        return self._read(lambda client: client.get(key))

    def list(self, prefix):
        """Return the Listing of all objects under `prefix`."""
        return self._read(lambda client: client.list(prefix))

    def put(self, key, version, value):
        """Replace the object at `version`; raises the errors of `Client.put`.

        Raises StoreUnavailable only if none of the attempts changed anything.
        """
        while not self._is_time_over():
            try:
                return self._connect().put(key, version, value)
            except store_client.OutcomeUnknown:
                self._timeout_ms *= 2
                raise
            except store_client.StoreUnavailable as exc:
                self._wait(exc)
        raise store_client.StoreUnavailable(
            f'no write within {self._cfg.ctl.command_timeout_ms} ms'
        )

    def _read(self, call):
        while True:
            try:
                return call(self._connect())
            except store_client.StoreUnavailable as exc:
                if self._is_time_over():
                    raise
                self._wait(exc)

    def _is_time_over(self):
        return self._clock.now() >= self._deadline

    def _connect(self):
        """Return a client whose calls end with the command's time.

        Its timeout is never below that of the settings.
        """
        remaining_ms = self._deadline - self._clock.now()
        timeout_ms = max(
            min(self._timeout_ms, remaining_ms), self._cfg.store.timeout_ms
        )
        if timeout_ms != self._client_timeout_ms:
            self._client = self._make_client(
                dataclasses.replace(self._cfg.store, timeout_ms=timeout_ms)
            )
            self._client_timeout_ms = timeout_ms
        return self._client

    def _wait(self, exc):
        """Pause after a failed call, and give the next one more time."""
        if not self._has_reported:
            self._has_reported = True
            self._report(exc)
        self._timeout_ms *= 2
        self._sleep(PAUSE_MS / 1000)
