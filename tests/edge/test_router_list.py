"""The routers that a list of them agrees on."""

import random
import unittest

from galenaspoke.edge.membership import router_list

COUNT = 2
KEYS = 60


class CertainHoldersTest(unittest.TestCase):
    """Routers of which it is certain that they were told."""

    def make_lists(self, count):
        """Return the RouterLists of some routers, by name."""
        rng = random.Random(count)
        names = [f'front-{rng.getrandbits(32):x}' for _ in range(count)]
        addresses = {name: f'{name}:7340' for name in names}
        lists = {name: router_list.RouterList(name) for name in names}
        for routers in lists.values():
            routers.replace(addresses)
        return lists

    # Guards against an answer that is taken for that of a router which knows,
    # though whoever began the stream told others.
    def test_certain_holders_know(self):
        for count in (2, 3, 4, 5, 22):
            lists = self.make_lists(count)
            for key in map(str, range(KEYS)):
                for name, own in lists.items():
                    certain = own.list_certain_holders(key, COUNT)
                    self.assertTrue(certain)
                    self.assertNotIn(f'{name}:7340', certain)
                    for other in lists.values():
                        told = other.list_holders(key, COUNT)
                        knows = {*told, f'{other._name}:7340'}
                        if other is not own:
                            self.assertLessEqual(set(certain), knows)

    # Guards against a router that starts beside all others, finds only itself
    # on the list, and takes what it remembers for all.
    def test_alone(self):
        self.assertTrue(self.make_lists(1).popitem()[1].is_alone())
        self.assertFalse(self.make_lists(2).popitem()[1].is_alone())
        routers = router_list.RouterList('front-0')
        self.assertFalse(routers.is_alone())
        routers.replace({}, is_registered=False)
        self.assertFalse(routers.is_alone())
        routers.replace({'front-0': ''})
        self.assertTrue(routers.is_alone())
