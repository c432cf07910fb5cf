"""Tests of the fleet state, and of the reload of settings.

Guards against a running upstream that is removed at once when the store loses
its record for a moment, and against invalid settings that take effect.
"""

from dataclasses import replace

from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.process import NodeSettings
from ragwortpost.datapath.process._fleet_state import (
    DRAINED_GRACE_SECONDS,
    LAPSE_GRACE_SECONDS,
    FleetState,
)
from ragwortpost.datapath.process._settings_reloader import SettingsReloader
from ragwortpost.datapath.process.tests.network import (
    Network,
    settings_of,
)
from ragwortpost.datapath.version import Changes, Record, TakenOut
from ragwortpost.datapath.version.tests.documents import (
    CONFIGURATION,
    at,
    configuration_record,
    upstream,
    upstream_record,
)


class TestLapsedUpstreams:
    """Upstreams whose records are deleted while not leaving."""

    def test_lapsed_upstream_is_kept_for_the_grace_period(self) -> None:
        network = Network(upstream(1))
        state = network.contexts['10.0.1.1'].state
        network.publish(Record('upstream/i-1', at(0), None))
        state.expire()
        assert state.fleet.upstreams['desk']
        network.clock.time += 3
        state.expire()
        assert not state.fleet.upstreams

    def test_leaving_upstream_is_removed_at_once(self) -> None:
        network = Network(upstream(1))
        state = network.contexts['10.0.1.1'].state
        network.publish(upstream_record(0, upstream(1, leaving=True)))
        network.publish(Record('upstream/i-1', at(0), None))
        assert not state.fleet.upstreams

    def test_record_written_again_is_kept(self) -> None:
        network = Network(upstream(1))
        state = network.contexts['10.0.1.1'].state
        network.publish(Record('upstream/i-1', at(0), None))
        network.publish(upstream_record(0, upstream(1)))
        network.clock.time += 9
        state.expire()
        assert state.fleet.upstreams['desk']


class TestLostRecords:
    """Records that a restored store lacks are kept for a bounded time."""

    def restored(self) -> tuple[Network, FleetState]:
        network = Network(upstream(1))
        state = network.contexts['10.0.1.1'].state
        network.publish(Record('out/south', at(0), TakenOut('south')))
        state.merge_read(Changes(at(0), at(1, era=1), ()))
        return network, state

    def test_upstream_lapses_and_is_removed(self) -> None:
        network, state = self.restored()
        assert state.is_lapsed('i-1')
        assert state.fleet.upstreams
        network.clock.time += LAPSE_GRACE_SECONDS + 0.1
        state.expire()
        assert not state.fleet.upstreams
        assert not state.is_lapsed('i-1')

    def test_data_centre_stays_drained_for_longer(self) -> None:
        network, state = self.restored()
        network.clock.time += DRAINED_GRACE_SECONDS - 0.1
        state.confirm(state.version, 0)
        state.expire()
        assert state.fleet.drained_data_centres == {'south'}
        network.clock.time += 0.2
        state.confirm(state.version, 0)
        state.expire()
        assert not state.fleet.drained_data_centres

    def test_data_centre_stays_drained_while_the_process_is_cut_off(
        self,
    ) -> None:
        # Operators may have written the lost record again.
        network, state = self.restored()
        network.clock.time += 2 * DRAINED_GRACE_SECONDS
        state.expire()
        assert state.fleet.drained_data_centres == {'south'}

    def test_configuration_is_kept(self) -> None:
        network, state = self.restored()
        older = replace(CONFIGURATION, version=CONFIGURATION.version - 1)
        state.merge_read(
            Changes(
                at(1, era=1), at(2, era=1), (configuration_record(2, older),)
            )
        )
        network.clock.time += 60
        state.expire()
        assert state.fleet.configuration == CONFIGURATION


class TestWarmUp:
    """The remaining warm-up of an upstream."""

    def test_remaining_time_counts_down(self) -> None:
        network = Network(upstream(1, warm_up_left=2.0))
        state = network.contexts['10.0.1.1'].state
        network.clock.time += 1.5
        assert state.warm_up_left('i-1') == 0.5
        network.clock.time += 1
        assert state.warm_up_left('i-1') == 0


class FakeSource:
    """A settings source that tests can change."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings: Result[NodeSettings, RagwortpostError] = Ok(settings)

    def change_marker(self) -> float:
        return 1

    def load(self) -> Result[NodeSettings, RagwortpostError]:
        return self.settings


class TestSettingsReloader:
    """Settings that change at run time."""

    def test_new_seeds_are_applied(self) -> None:
        context = Network().contexts['10.0.1.1']
        changed = replace(context.settings, seeds=('10.0.1.7',))
        SettingsReloader(context, FakeSource(changed)).reload()
        assert '10.0.1.7' in context.directory.entries(0)

    def test_invalid_settings_change_nothing(self) -> None:
        context = Network().contexts['10.0.1.1']
        source = FakeSource(settings_of('10.0.1.1', None))
        reloader = SettingsReloader(context, source)
        source.settings = Err(RagwortpostError('broken'))
        reloader.reload()
        assert context.directory.entries(0) == ()
