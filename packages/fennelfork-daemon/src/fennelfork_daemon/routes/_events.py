"""Complete list of the log events of a daemon that serves routes.

Each event is a class in the module of its subject. The class variable `event`
is the name of the event; the attributes are written in addition to the common
fields (time, level, daemon, `dropped_before`). docs/OPERATIONS.md describes
when each event is logged.
"""

from typing import Final

from fennelfork_daemon.routes import _events_fleet as fleet
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
    store.StoreRestored,
    store.LeaseGranted,
    store.LeaseAdopted,
    store.LeaseLapsed,
    store.ConfigTaken,
    store.ItemRefused,
    servers.ServerSeen,
    servers.ServerGone,
    servers.EvacuationStarted,
    servers.EvacuationEnded,
    servers.ServerEjected,
    servers.ServerBack,
    servers.ServerEnded,
    requests.RequestJudged,
    fleet.DaemonSeen,
    fleet.DaemonGone,
    fleet.LoadChanged,
    fleet.LimitShareChanged,
    fleet.UpdateSourceChanged,
    fleet.RelayFailed,
    requests.RequestRefused,
    requests.RequestAdmittedInStop,
    requests.RequestEnded,
    process.FellBehind,
    requests.LimitFell,
    requests.QuotaReached,
    requests.QuotaKept,
    process.Defect,
    process.LinesDropped,
)
