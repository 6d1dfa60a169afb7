"""Tests of a request's timeline, from the log lines of edge routers."""

import io
import unittest

from click import testing

from galenaspoke.ctl import main
from galenaspoke.ctl import timelines
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


class TimelineTest(unittest.TestCase):
    """Content of a timeline, and what is left out of it."""

    def build_timeline(self, request_id='9c41', lines=LINES):
        """Return the timeline of a request."""
        return timelines.build(request_id, [io.StringIO(lines)])

    def test_steps_are_ordered_and_described(self):
        text = self.build_timeline().text.splitlines()
        self.assertEqual('Request 9c41:', text[0])
        self.assertIn('-400 ms  front-a: (related) started', text[1])
        self.assertIn(
            'it may have run there, and the target is not used for a while',
            text[2],
        )
        self.assertIn('answered 502 after 4 ms: its target failed', text[3])
        self.assertEqual(4, len(text))

    def test_other_routers_and_requests_are_left_out(self):
        self.assertNotIn('front-b', self.build_timeline().text)
        self.assertEqual(2, len(self.build_timeline().steps))

    def test_garbage_is_counted(self):
        self.assertEqual(2, self.build_timeline().unread)

    def test_unknown_request(self):
        self.assertIn(
            'No line names request 00', self.build_timeline('00').text
        )

    def test_every_reason_has_a_text(self):
        for reason in outcomes.Reason:
            self.assertIn(reason.value, timelines._REASON_TEXTS)

    def test_resumed_streams_and_limited_targets(self):
        lines = (
            '{"at_ms":1000,"event":"target.limited","target":"i-7",'
            '"limit_per_s":2.5,"before":null}\n'
            '{"at_ms":1001,"event":"target.limited","target":"i-7",'
            '"limit_per_s":null,"before":2.5}\n'
            '{"at_ms":1002,"event":"stream.resumed","id":"9c41",'
            '"resumed_id":"77","version":"v1","source":"noted"}\n'
            '{"at_ms":1003,"event":"answered","status":200,"ms":4,'
            '"id":"9c41","targets":["i-7"]}\n'
            '{"at_ms":1004,"event":"stream.resumed","id":"9c41",'
            '"resumed_id":"","version":null,"source":"unknown"}\n'
        )
        text = self.build_timeline(lines=lines).text
        for expected in (
            'target i-7 takes 2.5 requests a second',
            'target i-7 takes any number of requests a second',
            'resumes 77, which began at version v1 (known as: noted)',
            'resumes a stream that it does not name, which began at an',
        ):
            self.assertIn(expected, text)

    def test_explain_command(self):
        runner = testing.CliRunner()
        result = runner.invoke(main.main, ['explain', '9c41', '-'], LINES)
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('answered 502', result.output)
        result = runner.invoke(main.main, ['explain', '00', '-'], LINES)
        self.assertEqual(main.EXIT_UNKNOWN, result.exit_code)
        result = runner.invoke(main.main, ['explain', '00', 'nowhere.log'])
        self.assertEqual(2, result.exit_code)
