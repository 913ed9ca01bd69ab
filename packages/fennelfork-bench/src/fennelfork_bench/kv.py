"""Key-value stand-in: `python -m fennelfork_bench.kv --listen IP:PORT`."""

from fennelfork_bench.rig import _eventlet  # noqa: F401, I001  (patches first)

import cyclopts
import eventlet

from fennelfork import system_clock
from fennelfork_bench.kv_service._app import application
from fennelfork_bench.rig._serving import serve


def main(
    *,
    listen: str = '127.0.0.1:0',
    reads_per_s: float = 0,
    writes_per_s: float = 0,
) -> None:
    """Serve the subset of the etcd v3 JSON gateway that fennelfork uses.

    Args:
        listen: address to listen on; port 0 selects a free port.
        reads_per_s: maximum rate of reads per second; 0 means no limit.
        writes_per_s: maximum rate of writes per second; 0 means no limit.
    """
    built = application(system_clock(), reads_per_s, writes_per_s)
    eventlet.spawn(built.run_lease_expiry)
    serve(listen, built)


if __name__ == '__main__':
    cyclopts.run(main)
