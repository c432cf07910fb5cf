"""The processes of the QUIC data path: entries and agents.

Agents terminate callers' QUIC connections; entries forward their datagrams.
"""

from ragwortpost.process._agent import Agent, tls_configuration
from ragwortpost.process._agent_reachability import AgentReachability
from ragwortpost.process._audit_trail import AuditEntry, AuditTrail
from ragwortpost.process._entry import Entry, EntryDropReason
from ragwortpost.process._node import AdminService, Node
from ragwortpost.process._peer_channels import PeerChannels
from ragwortpost.process._peer_rpc import PeerClient, PeerService
from ragwortpost.process._platform_client import PlatformClient, PlatformError
from ragwortpost.process._platform_reader import PlatformReader, choose_readers
from ragwortpost.process._process_settings import (
    ProcessSettings,
    parse_process_settings,
)
from ragwortpost.process._relayed_connections import RelayedConnections
from ragwortpost.process._run import run_process
from ragwortpost.process._sealed_codec import SealedCodec
from ragwortpost.process._suspension import SuspensionDetector
from ragwortpost.process._upstream_client import UpstreamClient
from ragwortpost.process._upstream_lifecycle import (
    UpstreamLifecycle,
    UpstreamState,
)
from ragwortpost.process._version_gossip import Freshness, Stores, VersionGossip

__all__ = [
    'AdminService',
    'Agent',
    'AgentReachability',
    'AuditEntry',
    'AuditTrail',
    'Entry',
    'EntryDropReason',
    'Freshness',
    'Node',
    'PeerChannels',
    'PeerClient',
    'PeerService',
    'PlatformClient',
    'PlatformError',
    'PlatformReader',
    'ProcessSettings',
    'RelayedConnections',
    'SealedCodec',
    'Stores',
    'SuspensionDetector',
    'UpstreamClient',
    'UpstreamLifecycle',
    'UpstreamState',
    'VersionGossip',
    'choose_readers',
    'parse_process_settings',
    'run_process',
    'tls_configuration',
]
