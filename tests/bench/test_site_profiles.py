"""Worlds made from sites' files, and the small one of CI."""

import pathlib
import random
import tempfile
import unittest

from bench import site_profiles
from standins import platform_documents

SITE = """
name = "a-site"
machines = [
  { class = "front", memory_mb = 300, count = 2 },
  { class = "front", memory_mb = 160, count = 1 },
  { class = "side", memory_mb = 232, count = 4 },
]
services = [
  { name = "pool", model = "llm", servers = [
    { count = 3 },
    { count = 1 },
  ], llm = { stride = 7, kv_tokens = 500000 } },
  { name = "desk-app", servers = [{ count = 2 }] },
]
traffic = [
  { zone = "a", mix = { chat = 3.0, pay = 1.0 }, clients = 5 },
  { zone = "b", mix = { chat = 4.0 }, clients = 6 },
]
troubles = [{ kind = "herd_kill" }, { kind = "garble", how = "extra" }]
tenants = { count = 4 }

[[classes]]
name = "chat"
aim_ms = 600
deadline_ms = 12000.0
retries = 1
service = "pool"
kind = "stream"
timeout_ms = 9000.0
attempts = 2

[classes.stream]
pieces = { mean = 20.0, spread = 0.5, max = 40.0 }
gap_aim_ms = 500
resume = true
prompt_tokens = { mean = 600.0 }

[[classes]]
name = "pay"
aim_ms = 150.0
deadline_ms = 1000
retries = 1
service = "desk-app"
kind = "unsafe"
attempts = 1
"""


class ReadTest(unittest.TestCase):
    """What a site's file says."""

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def read(self, text):
        """Return the Profile of a file with some text."""
        path = pathlib.Path(self.directory.name) / 'site.toml'
        path.write_text(text)
        return site_profiles.read(path)

    def test_sizes(self):
        """Machines are counted, and a router has the least memory."""
        profile = self.read(SITE)
        sizes = (profile.routers, profile.relays, profile.engines)
        self.assertEqual(sizes, (3, 4, 4))
        self.assertEqual((profile.applications, profile.callers), (2, 11))
        self.assertEqual(profile.memory_mb, 160)
        self.assertEqual(profile.relay_memory_mb, 232)
        self.assertEqual((profile.stride, profile.memory_tokens), (7, 500000))
        self.assertEqual(profile.engine_options['stride'], 7)
        self.assertEqual(profile.troubles, ['garble', 'herd_kill'])

    def test_classes(self):
        """Routes, time and the most tokens are those of the classes."""
        chat, pay = self.read(SITE).classes
        route = chat.route
        self.assertEqual(route.prefix, '/stream/chat/')
        self.assertEqual(
            (route.kind, route.service, route.is_resumable, route.attempts),
            ('stream', site_profiles.MODEL, True, 2),
        )
        self.assertEqual((route.timeout_ms, route.gap_ms), (9000, 500))
        self.assertFalse(route.is_public)
        self.assertEqual((chat.weight, chat.retries), (7.0, 1))
        self.assertEqual(chat.max_tokens, 280)
        self.assertEqual(chat.patience_s(), 4.0)
        self.assertEqual(pay.route.kind, 'non_idempotent')
        self.assertEqual(pay.route.timeout_ms, 1000)
        self.assertEqual(pay.route.service, site_profiles.APPLICATION)

    def test_tokens(self):
        """Few requests reach the most that all of their class allow."""
        chat = self.read(SITE).classes[0]
        rng = random.Random(1)
        tokens = [chat.draw_tokens(rng) for _ in range(500)]
        self.assertLessEqual(max(tokens), 280)
        self.assertGreaterEqual(min(tokens), 1)
        at_most = tokens.count(280)
        self.assertTrue(0 < at_most < 100, at_most)

    def test_without_tenants(self):
        """Requests carry no keys then."""
        profile = self.read(SITE.replace('tenants = { count = 4 }', ''))
        self.assertEqual(profile.tenants, [])
        self.assertTrue(all(cls.route.is_public for cls in profile.classes))

    def test_broken_files(self):
        """The error names the file and what is wrong."""
        for text in (
            'name = ',
            'name = "x"',
            SITE.replace('model = "llm",', ''),
            SITE.replace('kind = "unsafe"', 'kind = "odd"'),
            SITE.replace('stride = 7', 'stride = "many"'),
        ):
            with self.assertRaisesRegex(
                site_profiles.ProfileError, 'site.toml'
            ):
                self.read(text)

    def test_missing_file(self):
        """The error says that it is missing."""
        with self.assertRaisesRegex(site_profiles.ProfileError, 'No such'):
            site_profiles.read(self.directory.name + '/none.toml')


class DefaultTest(unittest.TestCase):
    """The world of CI."""

    def setUp(self):
        self.profile = site_profiles.default()

    def test_most_tokens(self):
        """Some streams may have tokens to spare, and some none."""
        rng = random.Random(1)
        cls = self.profile.classes[0]
        most = {cls.draw_max_tokens(rng, 50) for _ in range(50)}
        self.assertEqual(most, {50, 50 + site_profiles.SPARE_TOKENS})

    def test_routes(self):
        """Callers beside a flood have a route that takes no key."""
        public = [r.prefix for r in self.profile.list_routes() if r.is_public]
        self.assertIn('/plain/ask/', public)
        self.assertEqual(
            sorted(platform_documents.ROUTES),
            sorted(route.prefix for route in self.profile.list_routes()),
        )

    def test_tenants(self):
        """Some run out, others don't."""
        prepaid = [tenant.prepaid for tenant in self.profile.tenants]
        self.assertGreater(max(prepaid), 1000 * min(prepaid))
