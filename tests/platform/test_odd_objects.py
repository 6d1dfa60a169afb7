"""Objects of other writers that can't be read, among others that can.

One such entry of an engine kept all routers from following the engines: the
list or the events were decoded as a whole.
"""

import unittest

import msgspec

from galenaspoke.store import base as store_base
from tests.edge import base
from tests.platform import odd_objects

GOOD = [odd_objects.make_object('i-1'), odd_objects.make_object('i-2')]


def surround(odd):
    """Return a list of objects, the odd one in the middle."""
    return [GOOD[0], odd, GOOD[1]]


class OddObjectTest(unittest.TestCase):
    """The client of the platform's store."""

    def setUp(self):
        self.journal = base.Recorder()
        self.paths = odd_objects.ScriptedPaths()
        self.client = odd_objects.make_client(
            self.paths, base.make_manual_clock(), self.journal
        )

    def list_names(self, objects):
        """Return the names in a list of these objects."""
        self.paths.bodies.append(odd_objects.list_body(objects))
        listing = self.client.list('servers')
        self.assertEqual(9, listing.revision)
        return [item.name for item in listing.items]

    def watch(self, objects, deleted=False):
        """Return the changes of a watch with events of these objects."""
        self.paths.bodies.append(odd_objects.watch_body(objects, deleted))
        revision, changes = self.client.watch('servers', 9, 1)
        self.assertEqual(10, revision)
        return changes

    def count_named(self):
        """Return how often an object was named as unreadable."""
        lines = [
            event for event, fields in self.journal.lines if 'why' in fields
        ]
        return lines.count('store.unreadable')

    def test_value_that_cannot_be_decoded(self):
        for case, spec in odd_objects.ODD_SPECS.items():
            objects = surround(odd_objects.make_object('i-odd', spec))
            with self.subTest(case=case):
                names = self.list_names(objects)
                self.assertEqual(['i-1', 'i-odd', 'i-2'], names)
                changes = self.watch(objects)
                self.assertEqual(spec, bytes(changes[1].item.value))

    def test_metadata_that_cannot_be_decoded(self):
        for case, metadata in odd_objects.ODD_METADATA.items():
            objects = surround(odd_objects.make_odd_object(metadata))
            with self.subTest(case=case):
                names = self.list_names(objects)
                self.assertEqual(['i-1', 'i-odd', 'i-2'], names)
                self.assertEqual(3, len(self.watch(objects)))

    def test_revision_that_cannot_be_decoded_takes_the_value_with_it(self):
        metadata = odd_objects.ODD_METADATA['revision out of range']
        changes = self.watch([odd_objects.make_odd_object(metadata)])
        with self.assertRaises(msgspec.DecodeError):
            msgspec.json.decode(changes[0].item.value)

    def test_name_that_cannot_be_decoded(self):
        for case, odd in odd_objects.NAMELESS.items():
            with self.subTest(case=case):
                names = self.list_names(surround(odd))
                self.assertEqual(['i-1', 'i-2'], names)
                self.assertEqual(2, len(self.watch(surround(odd))))

    def test_deleted_object_that_cannot_be_decoded(self):
        for case, spec in odd_objects.ODD_SPECS.items():
            odd = odd_objects.make_object('i-odd', spec)
            with self.subTest(case=case):
                changes = self.watch(surround(odd), deleted=True)
                self.assertTrue(all(change.deleted for change in changes))
                self.assertEqual('i-odd', changes[1].item.name)

    def test_object_that_is_left_out_is_named_once(self):
        odd = odd_objects.NAMELESS['half a surrogate pair']
        for _ in range(5):
            self.list_names(surround(odd))
            self.watch(surround(odd))
        self.assertEqual(1, self.count_named())
        self.list_names(surround(odd_objects.NAMELESS['number']))
        self.assertEqual(2, self.count_named())

    def test_page_that_ends_with_an_object_without_a_name(self):
        odd = odd_objects.NAMELESS['half a surrogate pair']
        self.paths.bodies += [
            odd_objects.list_body([GOOD[0], odd], has_more=True),
            odd_objects.list_body([odd, GOOD[1]]),
        ]
        listing = self.client.list('servers')
        self.assertEqual(['i-1', 'i-2'], [i.name for i in listing.items])
        self.assertIn('After=i-1', self.paths.url_paths[-1])

    def test_page_without_any_name(self):
        odd = odd_objects.NAMELESS['half a surrogate pair']
        self.paths.bodies.append(odd_objects.list_body([odd], has_more=True))
        with self.assertRaises(store_base.StoreUnavailable):
            self.client.list('servers')

    def test_name_that_does_not_fit_into_a_url(self):
        odd = odd_objects.make_object('a b&c#d\\r\\ne')
        self.paths.bodies += [
            odd_objects.list_body([odd], has_more=True),
            odd_objects.list_body([GOOD[0]]),
        ]
        self.assertEqual(2, len(self.client.list('servers').items))
        self.assertEqual(
            '/objects/servers?After=a%20b%26c%23d%0D%0Ae',
            self.paths.url_paths[-1],
        )

    def test_body_that_is_no_list(self):
        for body in (b'', b'[]', b'{}', b'{"Items":[{]}', b'{"Items":[[}]'):
            with self.subTest(body=body):
                self.paths.bodies.append(body)
                with self.assertRaises(store_base.StoreUnavailable):
                    self.client.list('servers')

    def test_object_that_is_read_alone(self):
        for metadata in odd_objects.ODD_METADATA.values():
            if b'Finalizers' in metadata:
                continue
            self.paths.bodies.append(odd_objects.make_odd_object(metadata))
            with self.subTest(metadata=metadata[:40]):
                with self.assertRaises(store_base.StoreError):
                    self.client.get('ledger/0003')

    def test_write_with_an_unreadable_response_may_have_happened(self):
        self.paths.bodies.append(odd_objects.DEEP)
        with self.assertRaises(store_base.OutcomeUnknown):
            self.client.put('ledger/0003', 7, b'{}')
