"""Notes, questions and answers about streams, as datagrams."""

import unittest

import gevent

from galenaspoke.edge.membership import datagrams
from galenaspoke.edge.membership import router_list
from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_notes
from tests.edge import base

V1 = stream_versions.Origin('pool', 'v1')
V2 = stream_versions.Origin('pool', 'v2')
CONTENT = '5c1e'


def make_key(request, content=CONTENT):
    """Return the key of a stream."""
    return stream_versions.StreamKey(request, content)


class Peer:
    """One router's notes, over real datagrams on loopback."""

    def __init__(self):
        self.clock = base.make_manual_clock()
        self.datagrams = datagrams.Datagrams()
        self.datagrams.bind('127.0.0.1:0')
        self.address = '{}:{}'.format(*self.datagrams.get_address())
        self.streams = stream_versions.StreamVersions(self.clock)
        self.routers = router_list.RouterList(self.address)
        self.notes = version_notes.VersionNotes(
            self.streams,
            self.routers,
            self.datagrams.send,
            self.clock,
            lambda: False,
        )
        self.task = gevent.spawn(self.datagrams.run, self.notes.handle)


class NotesTest(unittest.TestCase):
    """Three routers that know each other."""

    def setUp(self):
        self.peers = self.make_peers()

    def make_peers(self):
        """Return three routers."""
        peers = [Peer() for _ in range(3)]
        addresses = {peer.address: peer.address for peer in peers}
        for peer in peers:
            peer.routers.replace(addresses)
            self.addCleanup(peer.task.kill)
        return peers

    def test_note_reaches_the_others(self):
        first, *others = self.peers
        first.notes.add(make_key('9c41'), V1)
        first.notes.send_notes()
        for peer in others:
            base.wait_until(
                lambda: peer.streams.find(make_key('9c41')) == {V1}
            )

    def test_many_notes_at_once(self):
        first, *others = self.peers
        for number in range(100):
            first.notes.add(make_key(f'{number:032x}'), V1)
        first.notes.send_notes()
        for peer in others:
            base.wait_until(
                lambda: peer.streams.find(make_key(f'{99:032x}')) == {V1}
            )

    def test_question_is_answered(self):
        first, second, _ = self.peers
        second.streams.remember(make_key('9c41'), V2)
        self.assertEqual({V2}, first.notes.ask(make_key('9c41')).origins)
        self.assertEqual(set(), first.notes.ask(make_key('77')).origins)

    def test_router_that_is_dead(self):
        first, second, third = self.peers
        third.task.kill()
        second.streams.remember(make_key('9c41'), V2)
        self.assertEqual({V2}, first.notes.ask(make_key('9c41')).origins)
        self.assertEqual(set(), first.notes.ask(make_key('77')).origins)

    def test_no_other_router(self):
        peer = Peer()
        self.addCleanup(peer.task.kill)
        self.assertEqual(set(), peer.notes.ask(make_key('9c41')).origins)

    # Guards against a stream that goes on at the first version that was said
    # of two.
    def test_two_words_are_none(self):
        first = self.peers[0]
        first.streams.remember(make_key('9c41'), V1)
        first.streams.remember(make_key('9c41'), V2)
        self.assertEqual({V1, V2}, first.streams.find(make_key('9c41')))

    # Guards against notes that a router had not sent yet when it died.
    def test_note_of_a_stream_that_begins_leaves_at_once(self):
        first, *others = self.peers
        first.notes.add_begun(make_key('9c41'), V1)
        for peer in others:
            base.wait_until(
                lambda: peer.streams.find(make_key('9c41')) == {V1}
            )

    # Guards against an answer to a question of the process before, which had
    # the same address.
    def test_numbers_of_questions_differ(self):
        first, second, _ = self.peers
        numbers = {next(peer.notes._numbers) for peer in (first, second)}
        self.assertEqual(2, len(numbers))

    def test_unreadable_datagrams(self):
        first, second, _ = self.peers
        for data in (b'', b'\xff' * 40, b'{"a": 1}', b'\x93\xa4note\x01\x02'):
            second.datagrams.send(first.address, data)
        second.streams.remember(make_key('9c41'), V2)
        self.assertEqual({V2}, first.notes.ask(make_key('9c41')).origins)


class MemoryTest(unittest.TestCase):
    """How long streams are remembered, and how many."""

    def setUp(self):
        self.clock = base.make_manual_clock()
        self.streams = stream_versions.StreamVersions(self.clock)

    def test_old_streams_are_forgotten(self):
        self.streams.remember(make_key('1'), V1)
        self.clock.advance(stream_versions.MAX_STREAM_AGE_MS)
        self.streams.remember(make_key('2'), V1)
        self.assertEqual({V1}, self.streams.find(make_key('1')))
        self.clock.advance(1)
        self.streams.remember(make_key('3'), V1)
        self.assertEqual(set(), self.streams.find(make_key('1')))
        self.assertEqual({V1}, self.streams.find(make_key('2')))

    def test_oldest_are_forgotten_when_there_are_too_many(self):
        for number in range(stream_versions.MAX_STREAMS + 10):
            self.streams.remember(make_key(str(number)), V1)
        self.assertEqual(set(), self.streams.find(make_key('9')))
        self.assertEqual({V1}, self.streams.find(make_key('10')))
