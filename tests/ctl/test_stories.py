"""A request's story, from the lines of several routers."""

import io
import unittest

from click import testing

from galenaspoke.ctl import main
from galenaspoke.ctl import stories
from galenaspoke.edge import outcomes

LINES = '''\
  1.2 front-b {"at_ms":1000,"event":"store.lost","kind":"config","why":"x"}
  1.2 front-a {"at_ms":1000,"event":"start","name":"front-a"}
  1.3 front-a {"at_ms":1400,"event":"attempt.failed","id":"9c41",\
"target":"i-7","outcome":"Unknown","why":"reset","ms":3,"rests":true}
  1.4 front-a {"at_ms":1400,"event":"refused","status":502,"ms":4,\
"id":"9c41","targets":["i-7"],"reason":"target_failed","detail":"reset"}
  1.5 front-a {"at_ms":1500,"event":"answered","status":200,"ms":4,"id":"ff"}
not a line of ours
{"at_ms": "never", "event": 3}
'''


class StoryTest(unittest.TestCase):
    """What is told, and what is left out."""

    def told(self, request_id='9c41', lines=LINES):
        """Return the story of a request."""
        return stories.tell(request_id, [io.StringIO(lines)])

    def test_steps_in_order_and_in_words(self):
        text = self.told().text.splitlines()
        self.assertEqual('Request 9c41:', text[0])
        self.assertIn('-400 ms  front-a: (before) started', text[1])
        self.assertIn('it may have run there, and the target rests', text[2])
        self.assertIn('answered 502 after 4 ms: its target failed', text[3])
        self.assertEqual(4, len(text))

    def test_other_routers_and_requests_are_left_out(self):
        self.assertNotIn('front-b', self.told().text)
        self.assertEqual(2, len(self.told().steps))

    def test_garbage_is_counted(self):
        self.assertEqual(2, self.told().unread)

    def test_unknown_request(self):
        self.assertIn('No line names request 00', self.told('00').text)

    def test_every_reason_has_words(self):
        for reason in outcomes.Reason:
            self.assertIn(reason.value, stories._REASONS)

    def test_command(self):
        runner = testing.CliRunner()
        found = runner.invoke(main.main, ['explain', '9c41', '-'], LINES)
        self.assertEqual(0, found.exit_code, found.output)
        self.assertIn('answered 502', found.output)
        found = runner.invoke(main.main, ['explain', '00', '-'], LINES)
        self.assertEqual(main.EXIT_UNKNOWN, found.exit_code)
        found = runner.invoke(main.main, ['explain', '00', 'nowhere.log'])
        self.assertEqual(2, found.exit_code)
