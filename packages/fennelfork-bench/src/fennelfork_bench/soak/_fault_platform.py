"""Faults of the platform's service and of its list of VMs."""

import functools
from typing import Any

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.soak._fault import End, Fault, begin
from fennelfork_bench.soak._trial import Trial


@attrs.frozen(kw_only=True)
class PlatformFault(Fault):
    """The key-value service misbehaves.

    Attributes:
        switches: in the words of the stand-in.
    """

    switches: dict[str, Any]


@attrs.frozen(kw_only=True)
class VmListDown(Fault):
    """The list of VMs answers nothing."""


_HEALTHY = {
    'down': False,
    'slow_ms': 0,
    'lose_replies': 0,
    'stall_watches': False,
    'refuse': False,
}


@begin.register
def _switch_platform(fault: PlatformFault, trial: Trial) -> End:
    platform = trial.fleet.platform
    platform.switch(**fault.switches)
    healthy = {name: _HEALTHY[name] for name in fault.switches}
    return functools.partial(platform.switch, **healthy)


@begin.register
def _vm_list_down(fault: VmListDown, trial: Trial) -> End:
    _switch_list(trial, down=True)
    return functools.partial(_switch_list, trial, down=False)


def _switch_list(trial: Trial, *, down: bool) -> None:
    address = trial.fleet.platform.vm_list_address
    http.post(address, '/control/faults', {'down': down})
