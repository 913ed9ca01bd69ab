"""VM list stand-in: `python -m fennelfork_bench.vms --listen IP:PORT`."""

from fennelfork_bench.rig import _eventlet  # noqa: F401, I001  (patches first)

import cyclopts

from fennelfork import system_clock
from fennelfork_bench.rig._serving import serve
from fennelfork_bench._vms_app import application


def main(*, listen: str = '127.0.0.1:0', lag_ms: float = 0) -> None:
    """Serve the list of VMs at `GET /v1/vms`.

    Args:
        listen: address to listen on; port 0 selects a free port.
        lag_ms: age in milliseconds at which a change becomes visible.
    """
    serve(listen, application(system_clock(), lag_ms))


if __name__ == '__main__':
    cyclopts.run(main)
