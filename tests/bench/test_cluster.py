"""Waits for the processes of a cluster, as in the set-up of system tests.

A router that had exited, for instance because another run had taken its port,
was waited for until the time was over, and the test said nothing of it.
"""

import configparser
import pathlib
import socket
import tempfile
import unittest
from unittest import mock

from bench import cluster as clusters


def listen(address):
    """Take the port of a process; return the listening socket."""
    host, _, port = address.rpartition(':')
    return socket.create_server((host, int(port)))


class SettingsTest(unittest.TestCase):
    """Settings that several threads write."""

    # Guards against a command that reads half of its settings, as another
    # thread writes them for a command of its own.
    def test_settings_are_whole_while_they_are_written_again(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = clusters.Cluster(folder.name)
        sections = {'store': {'url': 'http://127.0.0.1:1'}}
        path = pathlib.Path(cluster._write_ini('ctl', sections))
        whole = path.read_text()
        seen = []
        write = configparser.ConfigParser.write

        def write_slowly(parser, ini_file):
            seen.append(path.read_text())
            write(parser, ini_file)

        with mock.patch.object(
            configparser.ConfigParser, 'write', write_slowly
        ):
            cluster._write_ini('ctl', sections)
        self.assertEqual([whole, whole], [*seen, path.read_text()])


class WaitTest(unittest.TestCase):
    """Waits that end at once, whatever their timeout is."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = clusters.Cluster(directory.name)
        self.addCleanup(self.cluster.kill_all)

    def test_exited_process_ends_wait(self):
        """The error has the exit code and the output of the process."""
        self.cluster.start_standin('broken', 'store', '--no-such-option')
        with self.assertRaises(clusters.ProcessExited) as caught:
            self.cluster.wait_until(
                'never', lambda: False, float('inf'), needs=['broken']
            )
        self.assertIn('broken exited with 2', str(caught.exception))
        self.assertIn('no-such-option', str(caught.exception).lower())

    def test_router_whose_port_is_taken(self):
        self.cluster.start_store()
        self.cluster.start_router('r0', 'a')
        self.cluster.processes['r0'].kill()
        with listen(self.cluster.addresses['r0']):
            self.cluster.processes['r0'].start()
            with self.assertRaises(clusters.ProcessExited) as caught:
                self.cluster.wait_ready(['r0'], [], float('inf'))
        self.assertIn('could not start', str(caught.exception))

    def test_timeout_says_what_is_missing(self):
        """A router without a configuration is not ready."""
        self.cluster.start_store()
        self.cluster.start_router('r0', 'a')
        self.cluster.wait_until(
            'the state of r0',
            lambda: self.cluster.get_state('r0'),
            float('inf'),
        )
        with self.assertRaises(TimeoutError) as caught:
            self.cluster.wait_ready(['r0'], ['no-agent'], 0)
        self.assertIn('r0 to be ready: ready is False', str(caught.exception))
