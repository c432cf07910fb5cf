"""The processes of the packet-level data path: entries and agents."""

from typing import TYPE_CHECKING

from ragwortpost._lazy_exports import lazy_exports

if TYPE_CHECKING:
    from ragwortpost.datapath.process._http_server import HttpReply
    from ragwortpost.datapath.process._log_output import open_log
    from ragwortpost.datapath.process._node import (
        Node,
        PlatformPorts,
        run_node,
    )
    from ragwortpost.datapath.process._node_settings import (
        NodeRole,
        NodeSettings,
        UpstreamSide,
    )
    from ragwortpost.datapath.process._store_port import (
        HistoryLost,
        RejectedItem,
        StoreError,
        StorePoint,
        StorePort,
        StoreRead,
    )

__all__ = [
    'HistoryLost',
    'HttpReply',
    'Node',
    'NodeRole',
    'NodeSettings',
    'PlatformPorts',
    'RejectedItem',
    'StoreError',
    'StorePoint',
    'StorePort',
    'StoreRead',
    'UpstreamSide',
    'open_log',
    'run_node',
]

__getattr__ = lazy_exports(  # noqa: WPS413
    __name__,
    {
        '_http_server': ('HttpReply',),
        '_log_output': ('open_log',),
        '_node': (
            'Node',
            'PlatformPorts',
            'run_node',
        ),
        '_node_settings': (
            'NodeRole',
            'NodeSettings',
            'UpstreamSide',
        ),
        '_store_port': (
            'HistoryLost',
            'RejectedItem',
            'StoreError',
            'StorePoint',
            'StorePort',
            'StoreRead',
        ),
    },
)
