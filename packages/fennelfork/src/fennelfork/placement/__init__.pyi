"""Assignment of home daemons and of readers of the configuration."""

from ._config_follow import ConfigFollower as ConfigFollower
from ._config_follow import FollowPolicy as FollowPolicy
from ._config_follow import config_follower as config_follower
from ._home_index import HomeIndex as HomeIndex
from ._home_index import home_index as home_index
from ._peer_health import PeerHealth as PeerHealth
from ._peer_health import peer_health as peer_health
from ._relay_tree import relay_parents as relay_parents
from ._rendezvous import choose_watchers as choose_watchers
from ._rendezvous import find_home as find_home
from ._routing_mode import RoutingMode as RoutingMode
from ._routing_mode import limit_slots as limit_slots
