"""Tests with real processes.

Chaos runs are made of greenlets, which must go on while a test waits.
"""

from gevent import monkey

monkey.patch_all()
