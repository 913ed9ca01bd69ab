"""Faults of the platform's key-value store and VM list."""

import functools
from typing import Any

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.soak._fault import Clear, Fault, inject
from fennelfork_bench.soak._round_context import RoundContext


@attrs.frozen(kw_only=True)
class PlatformFault(Fault):
    """Set fault switches of the stand-in for the key-value store.

    Attributes:
        switches: values of the switches, by name.
    """

    switches: dict[str, Any]


@attrs.frozen(kw_only=True)
class VmListDown(Fault):
    """Make the VM list unavailable."""


_HEALTHY_SWITCHES = {
    'down': False,
    'slow_ms': 0,
    'lose_replies': 0,
    'stall_watches': False,
    'refuse': False,
}


@inject.register
def _inject_platform_fault(
    fault: PlatformFault, context: RoundContext
) -> Clear:
    platform = context.fleet.platform
    platform.set_faults(**fault.switches)
    healthy = {name: _HEALTHY_SWITCHES[name] for name in fault.switches}
    return functools.partial(platform.set_faults, **healthy)


@inject.register
def _inject_vm_list_down(fault: VmListDown, context: RoundContext) -> Clear:
    _set_vm_list_down(context, down=True)
    return functools.partial(_set_vm_list_down, context, down=False)


def _set_vm_list_down(context: RoundContext, *, down: bool) -> None:
    address = context.fleet.platform.vm_list_address
    http.post(address, '/control/faults', {'down': down})
