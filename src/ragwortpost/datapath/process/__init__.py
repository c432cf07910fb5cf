"""What lives as long as one process of the data path."""

from ragwortpost.datapath.process._follower import (
    HistoryLost,
    StoreError,
    StorePort,
)
from ragwortpost.datapath.process._http_server import HttpReply
from ragwortpost.datapath.process._log_output import open_log
from ragwortpost.datapath.process._node_settings import (
    NodeRole,
    NodeSettings,
    UpstreamSide,
)
from ragwortpost.datapath.process._run import (
    Node,
    PlatformPorts,
    run_node,
)

__all__ = [
    'HistoryLost',
    'HttpReply',
    'Node',
    'NodeRole',
    'NodeSettings',
    'PlatformPorts',
    'StoreError',
    'StorePort',
    'UpstreamSide',
    'open_log',
    'run_node',
]
