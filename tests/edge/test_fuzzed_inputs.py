"""Random bytes for all that decodes what other processes have written.

Valid documents are changed at random places: values of other types, numbers
out of range, half surrogate pairs, deep nesting, bytes that are cut off or
replaced.  No decoder raises anything but the errors that it declares.
"""

import json
import random
import unittest

import msgspec

from galenaspoke.core import ledger
from galenaspoke.edge.crashes import poison
from galenaspoke.edge.crashes import suspect_sharing
from galenaspoke.edge.membership import members
from galenaspoke.edge.membership import pace_sharing
from galenaspoke.edge.money import loan_protocol
from galenaspoke.edge.money import statements
from galenaspoke.edge.streams import stream_versions
from galenaspoke.edge.streams import version_notes
from galenaspoke.edge.targets import directory
from galenaspoke.platform import configuration
from galenaspoke.platform import store_objects
from galenaspoke.platform import target_entries
from galenaspoke.store import base as store_base
from galenaspoke.store import relays
from galenaspoke.utils import decoding
from tests.edge import base
from tests.platform import odd_objects
from tests.platform import test_forged_configurations
from tests.platform import test_forged_target_entries

SEEDS = range(5)
ROUNDS = 200
NESTED = '@nested'
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    2**63,
    2**70,
    10**400,
    1e300,
    float('inf'),
    float('nan'),
    '',
    'x',
    '\udcff',
    '\r\n',
    '10.0.0.1:99999',
    '٣',
    [],
    {},
    [[]],
    {'a': {'\ud800': 1}},
    NESTED,
)
SUSPECTS = [
    {'request': 'r', 'target': ['i-1', 5], 'at_ms': 7, 'rank': 0},
    {'request': 's', 'target': ['i-2', 5], 'is_cleared': True},
]
PAGE = {
    'entries': {
        'b': {
            'limit': 100,
            'wanted': 100,
            'settled': 4,
            'grants': {'a#1': {'granted': 9, 'spent': 2}},
            'doubts': [{'id': 'c#1', 'amount': 2, 'why': 'w'}],
        }
    },
    'writers': {'a#1': 3},
    'contacts': {'a#1': '10.0.0.1:80'},
}
LISTING = {
    'Items': [
        {'Metadata': {'Name': 'i-1', 'Rev': 5, 'Finalizers': []}, 'Spec': {}},
        {'Metadata': {'Name': 'i-2', 'Rev': 6}, 'Spec': {'a': [1]}},
    ],
    'HasMore': False,
    'StoreRevision': 9,
}
EVENTS = {
    'events': [{'Object': obj, 'Deleted': False} for obj in LISTING['Items']],
    'StoreRevision': 9,
}


def encode(value):
    """Encode a value as other writers may, with half pairs and nesting."""
    raw = json.dumps(value).encode()
    return raw.replace(b'"%s"' % NESTED.encode(), odd_objects.DEEP)


def change(rng, value):
    """Return a copy of a value with one odd value somewhere in it."""
    if not value or not isinstance(value, dict | list) or rng.random() < 0.1:
        return rng.choice(ODD_VALUES)
    if isinstance(value, dict):
        key = rng.choice(list(value))
        changed = {**value, key: change(rng, value[key])}
        if rng.random() < 0.1:
            changed.pop(key)
            changed[rng.choice(['\udcff', '', 'odd'])] = value[key]
        return changed
    place = rng.randrange(len(value))
    return [*value[:place], change(rng, value[place]), *value[place + 1 :]]


def damage(rng, raw):
    """Return bytes with some cut off, replaced or added."""
    kind = rng.randrange(4)
    begin, end = sorted(rng.randrange(len(raw) + 1) for _ in range(2))
    if kind == 0:
        return raw[:begin]
    if kind == 1:
        return raw[:begin] + rng.randbytes(end - begin) + raw[end:]
    if kind == 2:
        return raw[:begin] + odd_objects.DEEP + raw[begin:]
    return raw[:begin] + raw[end:]


def make_inputs(rng, value):
    """Return documents that are like that of a value, but odd."""
    inputs = [encode(value)]
    for _ in range(ROUNDS):
        raw = encode(change(rng, value))
        inputs.append(raw if rng.random() < 0.6 else damage(rng, raw))
    return inputs


class FuzzTest(unittest.TestCase):
    """Each decoder with inputs like those that it is made for."""

    def run_inputs(self, value, decode, *declared):
        """Decode odd inputs; the valid one is decoded without an error."""
        for seed in SEEDS:
            inputs = make_inputs(random.Random(seed), value)
            decode(inputs[0])
            for raw in inputs[1:]:
                with self.subTest(seed=seed, raw=raw[:100]):
                    try:
                        decode(raw)
                    except declared:
                        pass

    def decode_item(self, struct_type):
        """Return a function that decodes an object of the store."""
        return lambda raw: store_base.decode(
            store_base.Item('k/n', 7, msgspec.Raw(raw)), struct_type
        )

    def test_lists_and_events(self):
        def note(name, why):
            pass

        for value, decode in (
            (LISTING, store_objects.decode_listing),
            (EVENTS, store_objects.decode_events),
        ):
            self.run_inputs(
                value,
                lambda raw, decode=decode: decode(raw, note),
                decoding.Unreadable,
            )
        self.run_inputs(
            LISTING['Items'][0],
            store_objects.decode_object,
            decoding.Unreadable,
        )

    def test_good_object_among_odd_ones(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            for _ in range(ROUNDS):
                odd = encode(change(rng, LISTING['Items'][0]))
                body = odd_objects.list_body(
                    [odd, odd_objects.make_object('good'), odd]
                )
                listing = store_objects.decode_listing(body, lambda *_: None)
                names = [obj.metadata.name for obj in listing.objects]
                with self.subTest(odd=odd[:100]):
                    self.assertIn('good', names)

    def test_target_entries(self):
        def decode(raw):
            entry = target_entries.decode('i-1', raw, {'pool'})
            if entry is None:
                return
            targets = directory.Directory(base.get_whole_share)
            targets.put(entry, 1_000)
            targets.get('i-1').cold_start.record(
                16, entry.cold_left_ms, 1_000, 1_000
            )
            targets.get('i-1').unwilling_ms(2_000)
            msgspec.json.encode(entry.born)

        self.run_inputs(test_forged_target_entries.VALID, decode)

    def test_configurations(self):
        self.run_inputs(
            test_forged_configurations.VALID, configuration.decode, ValueError
        )

    def test_objects_of_the_system(self):
        member = {'holder': 'a#1', 'address': '10.0.0.1:80', 'generation': 3}
        statement = {'holder': 'a#1', 'granted': {'b': 5}, 'vouched_eras': [1]}
        for value, struct_type in (
            (PAGE, ledger.Page),
            ({'members': {'a': member}}, members.Shard),
        ):
            self.run_inputs(
                value, self.decode_item(struct_type), store_base.Unreadable
            )
        self.run_inputs(
            statement,
            lambda raw: decoding.decode_json(raw, statements.Statement),
            decoding.Unreadable,
        )

    def test_relays(self):
        relay = {
            'name': 'side-0',
            'address': '10.0.0.1:80',
            'domain': 'a',
            'apart': True,
        }

        def decode(raw):
            relays._decode(store_base.Item('k/n', 7, msgspec.Raw(raw)))

        self.run_inputs(relay, decode)

    def test_suspects(self):
        clock = base.make_manual_clock()
        journal = base.Recorder()

        def decode(raw):
            detector = poison.PoisonDetector(clock, journal)
            item = store_base.Item('k/n', 7, msgspec.Raw(raw))
            suspect_sharing.merge_suspects(detector, item)
            detector.remove_expired()
            detector.dump()

        self.run_inputs(SUSPECTS, decode)

    def test_loans(self):
        request = loan_protocol.LoanRequest('b', 10, 5, 'r', 0)

        class Client(loan_protocol.LoanClient):
            body = b''

            def _post(self, address, path, message):
                return self.body

        client = Client()

        def decode(raw):
            client.body = raw
            client.request_loan('', request)

        self.run_inputs({'holder': 'h', 'tokens': 5, 'shortage': ''}, decode)

    def test_datagrams(self):
        clock = base.make_manual_clock()
        targets = directory.Directory(base.get_whole_share)
        targets.put(base.make_target_entry('i-1'), 1)
        paces = pace_sharing.PaceSharing(targets, None, None)
        notes = version_notes.VersionNotes(
            stream_versions.StreamVersions(clock),
            None,
            lambda address, data: None,
            clock,
            lambda: False,
        )
        for message in (
            ['paces', {'i-1': 7.5}],
            ['note', [['k', 's', 'v']]],
            ['ask', 3, 'k'],
            ['tell', 3, ['s', 'v']],
        ):
            raw = msgspec.msgpack.encode(message)
            deep = b'\x91' * 5_000 + b'\x00'
            for seed in SEEDS:
                rng = random.Random(seed)
                for _ in range(ROUNDS):
                    data = damage(rng, raw).replace(odd_objects.DEEP, deep)
                    with self.subTest(seed=seed, data=data[:60]):
                        paces.handle(data, '10.0.0.1:80')
                        notes.handle(data, '10.0.0.1:80')
