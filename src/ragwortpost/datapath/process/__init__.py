"""What lives as long as one process of the data path."""

from ragwortpost.datapath.process._follower import (
    HistoryLost,
    StoreError,
    StorePort,
)
from ragwortpost.datapath.process._node_settings import (
    NodeRole,
    NodeSettings,
    StoreSettings,
    UpstreamSide,
)
from ragwortpost.datapath.process._run import (
    Node,
    PlatformPorts,
    run_node,
)

__all__ = [
    'HistoryLost',
    'Node',
    'NodeRole',
    'NodeSettings',
    'PlatformPorts',
    'StoreError',
    'StorePort',
    'StoreSettings',
    'UpstreamSide',
    'run_node',
]
