"""Per-flow state and decisions, for the packet-level data path.

A flow is a caller's connection, identified by its addresses and ports. Entries
receive callers' packets and forward them to agents; the agent on each
upstream's VM delivers them to the upstream. A flow's holder is the agent whose
upstream has its connection state; its registrars are further agents that store
the holder's address.
"""

from typing import TYPE_CHECKING

from ragwortpost._lazy_exports import lazy_exports

if TYPE_CHECKING:
    from ragwortpost.datapath.connection._admission import (
        Admission,
        AdmissionInputs,
        Refusal,
    )
    from ragwortpost.datapath.connection._answer_deferral import AnswerDeferral
    from ragwortpost.datapath.connection._control_budget import (
        ControlBudget,
        Traffic,
    )
    from ragwortpost.datapath.connection._demand_schedule import (
        DemandSchedule,
    )
    from ragwortpost.datapath.connection._flow_cache import FlowCache
    from ragwortpost.datapath.connection._flow_lookups import (
        DIRECT_QUERY_LIMIT,
        FlowLookup,
        FlowLookups,
        agents_to_query,
        agents_without_view,
    )
    from ragwortpost.datapath.connection._held_flows import (
        HeldFlow,
        HeldFlows,
        Ownership,
    )
    from ragwortpost.datapath.connection._holder_search import (
        HolderSearch,
        PossibleHolders,
    )
    from ragwortpost.datapath.connection._inventories import (
        MAX_INVENTORY_FLOWS,
        flow_hash,
    )
    from ragwortpost.datapath.connection._inventory_watermarks import (
        Denials,
        InventoryPart,
    )
    from ragwortpost.datapath.connection._load_index import (
        LoadIndex,
    )
    from ragwortpost.datapath.connection._packet import (
        FLOW_KEY_BYTES,
        SEQUENCE_MODULUS,
        FlowKey,
        Packet,
        PacketFormat,
        RouteKey,
        caller_address,
        format_flow,
        parse_flow,
        route_key_of,
    )
    from ragwortpost.datapath.connection._pending_flows import (
        PendingFlow,
        PendingFlows,
    )
    from ragwortpost.datapath.connection._query_batcher import (
        OutgoingQuery,
        QueryBatcher,
    )
    from ragwortpost.datapath.connection._refusal_pauses import RefusalPauses
    from ragwortpost.datapath.connection._registration import (
        MAX_REGISTRATIONS_PER_TICK,
        RegistrarTable,
        RegistrationQueue,
        registrars_of,
    )
    from ragwortpost.datapath.connection._room_grants import (
        GRANT_SECONDS,
        Demand,
        Grant,
        RoomGrants,
    )
    from ragwortpost.datapath.connection._served_routes import ServedRoutes
    from ragwortpost.datapath.connection._service_pace import ServicePace
    from ragwortpost.datapath.connection._unanswered_queries import (
        UnansweredQueries,
    )
    from ragwortpost.datapath.connection._unconfirmed_packets import (
        UnconfirmedPackets,
    )
    from ragwortpost.datapath.connection._upstream_liveness import (
        UpstreamLiveness,
    )
    from ragwortpost.datapath.connection._upstream_selection import (
        Candidate,
        backlog_limit,
        grant_limit,
        has_room,
        load_score,
        select_local_first,
        select_upstream,
        slowdown,
    )
    from ragwortpost.datapath.connection._waiting_policy import (
        AdmissionRate,
        Congestion,
        WaitLimits,
        max_wait,
        refusal_time,
        should_refuse,
        useful_wait,
    )
    from ragwortpost.datapath.connection._waiting_queue import (
        RefusalTimes,
        RefusedCallers,
        WaitingQueue,
    )

__all__ = [
    'DIRECT_QUERY_LIMIT',
    'FLOW_KEY_BYTES',
    'MAX_INVENTORY_FLOWS',
    'MAX_REGISTRATIONS_PER_TICK',
    'GRANT_SECONDS',
    'SEQUENCE_MODULUS',
    'Admission',
    'AdmissionInputs',
    'AnswerDeferral',
    'AdmissionRate',
    'Candidate',
    'Congestion',
    'ControlBudget',
    'Demand',
    'DemandSchedule',
    'Denials',
    'FlowCache',
    'FlowKey',
    'FlowLookup',
    'FlowLookups',
    'Grant',
    'HeldFlow',
    'HeldFlows',
    'HolderSearch',
    'InventoryPart',
    'LoadIndex',
    'OutgoingQuery',
    'Ownership',
    'Packet',
    'PacketFormat',
    'PendingFlow',
    'PendingFlows',
    'PossibleHolders',
    'QueryBatcher',
    'Refusal',
    'RegistrarTable',
    'RefusalPauses',
    'RefusalTimes',
    'RefusedCallers',
    'RegistrationQueue',
    'RoomGrants',
    'RouteKey',
    'ServedRoutes',
    'ServicePace',
    'Traffic',
    'UnansweredQueries',
    'UnconfirmedPackets',
    'UpstreamLiveness',
    'WaitLimits',
    'WaitingQueue',
    'agents_to_query',
    'agents_without_view',
    'backlog_limit',
    'caller_address',
    'flow_hash',
    'format_flow',
    'grant_limit',
    'has_room',
    'load_score',
    'max_wait',
    'parse_flow',
    'refusal_time',
    'registrars_of',
    'route_key_of',
    'select_local_first',
    'select_upstream',
    'should_refuse',
    'useful_wait',
    'slowdown',
]

__getattr__ = lazy_exports(  # noqa: WPS413
    __name__,
    {
        '_admission': (
            'Admission',
            'AdmissionInputs',
            'Refusal',
        ),
        '_answer_deferral': ('AnswerDeferral',),
        '_control_budget': (
            'ControlBudget',
            'Traffic',
        ),
        '_demand_schedule': ('DemandSchedule',),
        '_flow_cache': ('FlowCache',),
        '_flow_lookups': (
            'DIRECT_QUERY_LIMIT',
            'FlowLookup',
            'FlowLookups',
            'agents_to_query',
            'agents_without_view',
        ),
        '_held_flows': (
            'HeldFlow',
            'HeldFlows',
            'Ownership',
        ),
        '_holder_search': (
            'HolderSearch',
            'PossibleHolders',
        ),
        '_inventories': (
            'MAX_INVENTORY_FLOWS',
            'flow_hash',
        ),
        '_inventory_watermarks': (
            'Denials',
            'InventoryPart',
        ),
        '_load_index': ('LoadIndex',),
        '_packet': (
            'FLOW_KEY_BYTES',
            'SEQUENCE_MODULUS',
            'FlowKey',
            'Packet',
            'PacketFormat',
            'RouteKey',
            'caller_address',
            'format_flow',
            'parse_flow',
            'route_key_of',
        ),
        '_pending_flows': (
            'PendingFlow',
            'PendingFlows',
        ),
        '_query_batcher': (
            'OutgoingQuery',
            'QueryBatcher',
        ),
        '_refusal_pauses': ('RefusalPauses',),
        '_registration': (
            'MAX_REGISTRATIONS_PER_TICK',
            'RegistrarTable',
            'RegistrationQueue',
            'registrars_of',
        ),
        '_room_grants': (
            'GRANT_SECONDS',
            'Demand',
            'Grant',
            'RoomGrants',
        ),
        '_served_routes': ('ServedRoutes',),
        '_service_pace': ('ServicePace',),
        '_unanswered_queries': ('UnansweredQueries',),
        '_unconfirmed_packets': ('UnconfirmedPackets',),
        '_upstream_liveness': ('UpstreamLiveness',),
        '_upstream_selection': (
            'Candidate',
            'backlog_limit',
            'grant_limit',
            'has_room',
            'load_score',
            'select_local_first',
            'select_upstream',
            'slowdown',
        ),
        '_waiting_policy': (
            'AdmissionRate',
            'Congestion',
            'WaitLimits',
            'max_wait',
            'refusal_time',
            'should_refuse',
            'useful_wait',
        ),
        '_waiting_queue': (
            'RefusalTimes',
            'RefusedCallers',
            'WaitingQueue',
        ),
    },
)
