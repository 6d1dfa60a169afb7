"""The stand-in for a model engine, called in process."""

import io
import unittest

import msgspec

from standins import engine as engine_standin


class MemoryLog:
    """An event log that keeps its events in a list."""

    def __init__(self):
        self.events = []

    def write(self, **fields):
        self.events.append(fields)


class CancelTest(unittest.TestCase):
    """What the log says of a run that was cancelled."""

    def setUp(self):
        self.log = MemoryLog()
        self.engine = engine_standin.Engine(
            self.log, slots=1, token_ms=0, down_ms=0, fencing=True, cache=1
        )

    def post(self, path, **fields):
        """Send a request; return the response's body as an iterator."""
        environ = {
            'PATH_INFO': path,
            'wsgi.input': io.BytesIO(msgspec.json.encode(fields)),
        }
        return iter(self.engine(environ, lambda status, headers: None))

    def start_run(self):
        """Start a run of five tokens; return its response."""
        return self.post(
            '/generate', id='d1', prompt='p', max_tokens=5, resume=[]
        )

    def get_stop_event(self):
        """Return the event of the end of the run."""
        (event,) = [e for e in self.log.events if e['what'] == 'stop']
        return event

    def test_cancelled_run(self):
        """A cancelled run is not logged as whole.

        The checker took its tokens for the cost of a whole response, so as
        many tokens could be billed twice without being noticed.
        """
        response = self.start_run()
        next(response)
        self.post('/cancel', id='d1')
        list(response)
        event = self.get_stop_event()
        self.assertEqual(1, event['made'])
        self.assertFalse(event['whole'])
        self.assertTrue(event['cancelled'])

    def test_whole_run(self):
        list(self.start_run())
        event = self.get_stop_event()
        self.assertEqual(5, event['made'])
        self.assertTrue(event['whole'])
        self.assertFalse(event['cancelled'])

    def test_abandoned_run(self):
        """A run whose caller left is neither whole nor cancelled."""
        response = self.start_run()
        next(response)
        response.close()
        event = self.get_stop_event()
        self.assertFalse(event['whole'])
        self.assertFalse(event['cancelled'])
