"""Tests of the directory of other processes.

Guards against flows that are sent to a process that does not reply, an
upstream that looks idle although flows were just assigned to it, and entries
that are contacted long after they ended.
"""

from ragwortpost.datapath.process._peer_directory import (
    ADVERTISED_SECONDS,
    FORGET_AFTER_SECONDS,
    RETRY_AFTER_SECONDS,
    PeerDirectory,
)
from ragwortpost.datapath.process.tests.network import digest_of
from ragwortpost.datapath.version.tests.documents import upstream

OWN, SEED, ADVERTISED = '10.0.1.1', '10.0.1.2', '10.0.1.3'
AGENT = upstream(1).host


def directory() -> PeerDirectory:
    return PeerDirectory(OWN, (OWN, SEED))


class TestEntries:
    """Which other entries are contacted."""

    def test_seeds_before_any_digest(self) -> None:
        assert directory().entries(0) == (SEED,)

    def test_advertised_entry_is_kept_for_a_while(self) -> None:
        known = directory()
        digest = digest_of(upstream(1), entries=(OWN, ADVERTISED))
        assert known.unknown_entries(digest) == [ADVERTISED]
        known.record_digest(AGENT, digest, 0)
        assert not known.unknown_entries(digest)
        assert set(known.entries(ADVERTISED_SECONDS - 1)) == {SEED, ADVERTISED}
        assert set(known.entries(ADVERTISED_SECONDS + 1)) == {SEED}

    def test_forgotten_entry_is_unknown_again(self) -> None:
        known = directory()
        digest = digest_of(upstream(1), entries=(ADVERTISED,))
        known.record_digest(AGENT, digest, 0)
        known.expire(FORGET_AFTER_SECONDS + 1)
        assert known.unknown_entries(digest) == [ADVERTISED]
        assert AGENT not in known.peers


class TestTimeouts:
    """Processes that did not reply, and new flows that await a reply."""

    def test_process_that_timed_out_is_skipped_for_a_while(self) -> None:
        known = directory()
        known.record_timeout(AGENT, 1)
        assert known.has_timed_out(AGENT, 1.1)
        assert not known.has_timed_out(AGENT, 1.1 + RETRY_AFTER_SECONDS)

    def test_activity_clears_a_timeout(self) -> None:
        known = directory()
        known.record_digest(AGENT, digest_of(upstream(1)), 0)
        known.record_timeout(AGENT, 1)
        known.record_activity(AGENT, 1.1)
        assert not known.has_timed_out(AGENT, 1.2)

    def test_assigned_flow_is_an_attempt_until_the_agent_replies(self) -> None:
        known = directory()
        known.count_assigned_flow(AGENT, 1)
        assert known.has_recent_attempt(AGENT, 1.1)
        known.record_activity(AGENT, 1.2)
        assert not known.has_recent_attempt(AGENT, 1.2)

    def test_attempt_expires(self) -> None:
        known = directory()
        known.count_assigned_flow(AGENT, 1)
        assert not known.has_recent_attempt(AGENT, 1 + RETRY_AFTER_SECONDS)


class TestLoad:
    """Load is the last report plus the flows assigned since."""

    def test_assigned_flows_count_until_the_next_report(self) -> None:
        known = directory()
        known.record_digest(AGENT, digest_of(upstream(1), load=2), 0)
        known.count_assigned_flow(AGENT, 0.1)
        assert known.peers[AGENT].load == 3
        known.record_load(AGENT, 1, 0.2)
        assert known.peers[AGENT].load == 1
