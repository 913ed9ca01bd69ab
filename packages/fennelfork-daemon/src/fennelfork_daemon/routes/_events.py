"""The closed list of log lines of a daemon that serves routes.

One class a kind of line, by subject in a module each: its name stands in
`event`, its fields are the facts beside the frame (time, level, daemon,
`dropped_before`). docs/OPERATIONS.md says when each is written.
"""

from typing import Final

from fennelfork_daemon.routes import _events_process as process
from fennelfork_daemon.routes import _events_requests as requests
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes import _events_store as store

EVENTS: Final = (
    process.Started,
    process.Stopped,
    process.StateChanged,
    process.Reloaded,
    process.ReloadRefused,
    store.StoreLost,
    store.StoreRegained,
    store.LeaseGranted,
    store.LeaseLapsed,
    store.ConfigTaken,
    store.ItemRefused,
    servers.ServerSeen,
    servers.ServerGone,
    servers.ServerEjected,
    servers.ServerBack,
    servers.ServerEnded,
    requests.RequestJudged,
    store.DaemonSeen,
    store.DaemonGone,
    requests.RequestRefused,
    requests.RequestEnded,
    process.FellBehind,
    requests.LimitFell,
    process.Defect,
    process.LinesDropped,
)
