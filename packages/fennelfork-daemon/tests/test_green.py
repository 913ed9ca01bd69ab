"""Tests of the monkey patching of a daemon process."""

import subprocess
import sys

_CODE = """
from fennelfork_daemon import _green
import os
import threading
import time
import eventlet.patcher
import eventlet.green.time
print(eventlet.patcher.is_monkey_patched('socket'))
print(time.sleep is eventlet.green.time.sleep)
reader, writer = os.pipe()
os.set_blocking(writer, False)
try:
    while True:
        os.write(writer, bytes(65536))
except BlockingIOError:
    print('full')
print('asyncio' in __import__('sys').modules)
"""


class TestMonkeyPatching:
    """Runs in a subprocess, because patches cannot be undone."""

    def test_patches(self) -> None:
        """Sockets and sleep are cooperative, `os.write` is not patched."""
        completed = subprocess.run(
            [sys.executable, '-W', 'ignore', '-c', _CODE],
            capture_output=True,
            text=True,
            check=True,
            timeout=20,
        )
        assert completed.stdout.split() == ['True', 'True', 'full', 'False']
