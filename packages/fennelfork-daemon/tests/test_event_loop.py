"""Event loop of a daemon that is late.

Guards against timeouts of waits whose data arrived in time.
"""

import subprocess
import sys

import pytest

_CODE = """
from fennelfork_daemon import _green
import socket
import eventlet
from eventlet import hubs, patcher

{hub}
near, far = socket.socketpair()
busy, wakes_busy = socket.socketpair()

def read_long():
    busy.recv(1)
    far.send(b'7')
    patcher.original('time').sleep(0.3)

eventlet.spawn(read_long)
eventlet.spawn_after(0.05, wakes_busy.send, b'1')
try:
    with eventlet.Timeout(0.1):
        print(near.recv(1).decode())
except eventlet.Timeout:
    print('timeout')
try:
    with eventlet.Timeout(0.1):
        near.recv(1)
except eventlet.Timeout:
    print('timeout')
"""


@pytest.mark.parametrize(
    ('hub', 'outcome'),
    [
        ('', '7'),
        # The loop of eventlet shows that the test tells the difference.
        ('hubs.use_hub("epolls")', 'timeout'),
    ],
)
def test_data_before_overdue_timers(hub: str, outcome: str) -> None:
    """Data that arrives during a long read ends the wait for it."""
    completed = subprocess.run(
        [sys.executable, '-W', 'ignore', '-c', _CODE.format(hub=hub)],
        capture_output=True,
        text=True,
        check=True,
        timeout=20,
    )
    assert completed.stdout.split()[0] == outcome
    assert completed.stdout.split()[-1] == 'timeout'
