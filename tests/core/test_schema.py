"""Documents are checked as a whole, whatever is in them."""

import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from galenaspoke.core import schema

GOOD = {
    'policies': [{'name': 'std'}, {'name': 'big', 'base': 'std', 'queue': 9}],
    'accounts': [{'name': 'desk', 'policy': 'big'}],
    'budgets': [{'name': 'voucher', 'account': 'desk'}],
    'services': [{'name': 'pool', 'kind': 'model', 'policy': 'std'}],
    'targets': [{'name': 'pool-0', 'service': 'pool'}],
}


def changed(kind, **fields):
    """Return the good document with fields of one object replaced."""
    doc = json.loads(json.dumps(GOOD))
    doc[kind][0].update(fields)
    return doc


class ParseTest(unittest.TestCase):
    """What is refused, and how it is said."""

    def problems(self, doc):
        """Return what is wrong with a document, one string each."""
        raw = doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        with self.assertRaises(schema.DocumentInvalid) as caught:
            schema.parse(raw)
        return [str(problem) for problem in caught.exception.problems]

    def test_good_document(self):
        doc = schema.parse(json.dumps(GOOD).encode())
        config = schema.Config(1, json.dumps(GOOD).encode())
        self.assertEqual('desk', doc.budgets[0].account)
        policy = config.get_policy(config.accounts['desk'])
        self.assertEqual((9, 4096), (policy.queue, policy.max_tokens))

    def test_dangling_references(self):
        for kind, field, what in (
            ('budgets', 'account', 'budget voucher: account'),
            ('accounts', 'policy', 'account desk: policy'),
            ('services', 'policy', 'service pool: policy'),
            ('targets', 'service', 'target pool-0: service'),
            ('policies', 'base', 'policy std: base'),
        ):
            found = self.problems(changed(kind, **{field: 'nobody'}))
            self.assertIn(what, found[0])
            self.assertIn("'nobody'", found[0])

    def test_cycle(self):
        found = self.problems(changed('policies', base='big'))
        self.assertTrue(any('std -> big -> std' in line for line in found))

    def test_long_cycle_ends(self):
        names = [f'p{n}' for n in range(300)]
        doc = {
            'policies': [
                {'name': name, 'base': names[(n + 1) % 300]}
                for n, name in enumerate(names)
            ]
        }
        self.assertEqual(300, len(self.problems(doc)))

    def test_duplicates(self):
        doc = json.loads(json.dumps(GOOD))
        doc['budgets'].append(doc['budgets'][0])
        self.assertIn('used twice', self.problems(doc)[0])

    def test_types_and_unknown_fields(self):
        for doc, what in (
            (changed('budgets', account=7), 'budgets'),
            (changed('policies', queue='many'), 'policies'),
            (changed('policies', queue=True), 'policies'),
            (changed('targets', speed=1), 'targets'),
            ({'budget': []}, 'budget'),
            ([], 'Expected `object`'),
            (b'{"budgets": ', 'not valid JSON'),
            (b'\xff\xfe', 'not valid JSON'),
            (b'[' * 100_000, 'document'),
        ):
            self.assertIn(what, self.problems(doc)[0])

    def test_numbers_out_of_range(self):
        for value in (0, -1, 10**30, 2**63):
            found = self.problems(changed('policies', queue=value))
            self.assertTrue(
                'policy std: queue' in found[0] or 'policies' in found[0],
                found,
            )

    def test_names(self):
        for name in ('', 'Größe', 'a' * 64, 'a/b', '../x', 'a b', '-a'):
            found = self.problems(changed('targets', name=name))
            self.assertIn('name', found[0])

    def test_size(self):
        doc = changed('budgets', account='a' * schema.MAX_DOCUMENT_BYTES)
        self.assertIn('bytes', self.problems(doc)[0])

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda inner: st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(
                    ['budgets', 'policies', 'name', 'base', 'kind']
                ),
                inner,
                max_size=4,
            ),
            max_leaves=12,
        )
    )
    def test_anything_is_parsed_or_refused(self, doc):
        try:
            schema.parse(json.dumps(doc).encode())
        except schema.DocumentInvalid as exc:
            self.assertTrue(exc.problems)


class ChangedTest(unittest.TestCase):
    """Which objects differ."""

    def test_names_what_differs(self):
        old = json.dumps(GOOD).encode()
        new = json.dumps(changed('services', call_cost=4)).encode()
        self.assertEqual(['service pool'], schema.list_changes(old, new))
