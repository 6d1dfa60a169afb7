"""A nose2 plugin that passes over the failing tests that are known.

KNOWN-RED.txt names each of them on a line of its own::

    - test: tests.edge.test_poison.FingerprintTest.test_depends_on_body

Such a test runs like all others.  If it fails, it is reported as skipped, with
its failure as the reason; if it passes, the run fails, since its entry is out
of date.
"""

import pathlib

from nose2 import events

LIST_PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
ENTRY_PREFIX = '- test: '


def read_test_ids(text):
    """Return the ids of the tests that the text of a list names."""
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(ENTRY_PREFIX)
    }


class KnownRed(events.Plugin):
    """Changes the outcome of the listed tests."""

    configSection = 'known-red'
    alwaysOn = True

    def __init__(self):
        self._test_ids = read_test_ids(LIST_PATH.read_text())

    def setTestOutcome(self, event):  # noqa: N802
        """Turn a listed test's failure into a skip, its success into one."""
        if event.test.id() not in self._test_ids:
            return
        if event.outcome in ('failed', 'error'):
            event.reason = f'listed in {LIST_PATH.name}: {event.exc_info[1]}'
            event.outcome = 'skipped'
            event.exc_info = None
        elif event.outcome == 'passed':
            event.outcome = 'failed'
            event.reason = f'passes, but is listed in {LIST_PATH.name}'
            event.expected = False
