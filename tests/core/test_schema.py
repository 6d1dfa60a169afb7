"""Tests for parsing and validating configuration documents."""

import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from galenaspoke.core import schema

VALID = {
    'policies': [{'name': 'std'}, {'name': 'big', 'base': 'std', 'queue': 9}],
    'accounts': [{'name': 'desk', 'policy': 'big'}],
    'budgets': [{'name': 'voucher', 'account': 'desk'}],
    'services': [{'name': 'pool', 'kind': 'model', 'policy': 'std'}],
    'targets': [{'name': 'pool-0', 'service': 'pool'}],
}


def with_change(kind, **fields):
    """Return the valid document with fields of its first object replaced."""
    doc = json.loads(json.dumps(VALID))
    doc[kind][0].update(fields)
    return doc


class ParseTest(unittest.TestCase):
    """Invalid documents are refused with a description of each problem."""

    def find_problems(self, doc):
        """Return the problems of an invalid document as strings."""
        raw = doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        with self.assertRaises(schema.DocumentInvalid) as caught:
            schema.parse(raw)
        return [str(problem) for problem in caught.exception.problems]

    def test_valid_document(self):
        doc = schema.parse(json.dumps(VALID).encode())
        config = schema.Config(1, json.dumps(VALID).encode())
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
            found = self.find_problems(with_change(kind, **{field: 'nobody'}))
            self.assertIn(what, found[0])
            self.assertIn("'nobody'", found[0])

    def test_policy_cycle(self):
        found = self.find_problems(with_change('policies', base='big'))
        self.assertTrue(any('std -> big -> std' in line for line in found))

    def test_long_policy_cycle_is_found(self):
        names = [f'p{n}' for n in range(300)]
        doc = {
            'policies': [
                {'name': name, 'base': names[(n + 1) % 300]}
                for n, name in enumerate(names)
            ]
        }
        self.assertEqual(300, len(self.find_problems(doc)))

    def test_duplicate_names(self):
        doc = json.loads(json.dumps(VALID))
        doc['budgets'].append(doc['budgets'][0])
        self.assertIn('used twice', self.find_problems(doc)[0])

    def test_types_and_unknown_fields(self):
        for doc, what in (
            (with_change('budgets', account=7), 'budgets'),
            (with_change('policies', queue='many'), 'policies'),
            (with_change('policies', queue=True), 'policies'),
            (with_change('targets', speed=1), 'targets'),
            ({'budget': []}, 'budget'),
            ([], 'Expected `object`'),
            (b'{"budgets": ', 'not valid JSON'),
            (b'\xff\xfe', 'not valid JSON'),
            (b'[' * 100_000, 'document'),
        ):
            self.assertIn(what, self.find_problems(doc)[0])

    def test_numbers_out_of_range(self):
        for value in (0, -1, 10**30, 2**63):
            found = self.find_problems(with_change('policies', queue=value))
            self.assertTrue(
                'policy std: queue' in found[0] or 'policies' in found[0],
                found,
            )

    def test_invalid_names(self):
        for name in ('', 'Größe', 'a' * 64, 'a/b', '../x', 'a b', '-a'):
            found = self.find_problems(with_change('targets', name=name))
            self.assertIn('name', found[0])

    def test_oversized_document(self):
        doc = with_change('budgets', account='a' * schema.MAX_DOCUMENT_BYTES)
        self.assertIn('bytes', self.find_problems(doc)[0])

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
    def test_arbitrary_json_is_parsed_or_refused(self, doc):
        try:
            schema.parse(json.dumps(doc).encode())
        except schema.DocumentInvalid as exc:
            self.assertTrue(exc.problems)


class ListChangesTest(unittest.TestCase):
    """The list of objects that differ between two documents."""

    def test_lists_changed_objects(self):
        old = json.dumps(VALID).encode()
        new = json.dumps(with_change('services', call_cost=4)).encode()
        self.assertEqual(['service pool'], schema.list_changes(old, new))
