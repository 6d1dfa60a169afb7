"""Tests of the calls between processes.

Their event loop runs in a greenlet of the test's process.
"""

from gevent import monkey

monkey.patch_all()
