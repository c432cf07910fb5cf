"""Documents of the platform's store, and their records, for tests."""

from dataclasses import replace

from ragwortpost.datapath.version import (
    Configuration,
    Record,
    Route,
    ServicePolicy,
    ServiceShare,
    StateVersion,
    UpstreamEntry,
)

ROUTE = Route(
    key=bytes((198, 18, 0, 1)) + (443).to_bytes(2),
    name='scan',
    timeout=1.0,
    target=0.15,
    shares=(ServiceShare('desk', 1.0),),
)
CONFIGURATION = Configuration(
    version=3,
    routes=(ROUTE,),
    services=(ServicePolicy('desk', 2000, 2.0, None),),
    idle_seconds=15.0,
)
UPSTREAM = UpstreamEntry(
    ident='i-1',
    service='desk',
    host='10.0.0.1',
    data_centre='north',
    slots=2,
    leaving=False,
    warm_up_left=0,
    born=1000,
)


def upstream(number: int, **changes: object) -> UpstreamEntry:
    """Return one of several upstreams of the same service."""
    numbered = replace(UPSTREAM, ident=f'i-{number}', host=f'10.0.0.{number}')
    return replace(numbered, **changes)  # type: ignore[arg-type]


def at(revision: int, era: int = 0) -> StateVersion:
    """Return the version of a revision of the store."""
    return StateVersion(era, revision)


def upstream_record(
    revision: int, upstream_entry: UpstreamEntry, era: int = 0
) -> Record:
    """Return the record of an upstream's entry."""
    subject = f'upstream/{upstream_entry.ident}'
    return Record(subject, at(revision, era), upstream_entry)


def configuration_record(
    revision: int,
    configuration: Configuration = CONFIGURATION,
    era: int = 0,
) -> Record:
    """Return the record of a configuration."""
    return Record('configuration', at(revision, era), configuration)
