"""Stores the version of a document in force, which only ever increases."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final, Generic, Protocol, TypeVar

from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.version._settings_tree import parse_snapshot
from ragwortpost.version._snapshot import EMPTY_SNAPSHOT, Snapshot
from ragwortpost.version._vm_list import EMPTY_VM_LIST, VmList, parse_vm_list


class Document(Protocol):
    """A published document: the settings or the VM list."""

    @property
    def version(self) -> int:
        """Version number that the platform assigned."""

    @property
    def body(self) -> bytes:
        """Bytes as the platform published them."""


_DocumentT = TypeVar('_DocumentT', bound=Document)


class ChangeOutcome(Enum):
    """Outcome of a submitted version."""

    APPLIED = 'applied'
    # The document is invalid.
    REJECTED = 'rejected'
    # The version is lower than the one in force.
    STALE = 'stale'
    # The version in force has another body.
    CONFLICT = 'conflict'


@dataclass(frozen=True)
class VersionChange:
    """Audit record of a submitted version, applied or not."""

    # Name of the document: ``settings`` or ``vms``.
    document: str
    # The submitted version.
    version: int
    # The version in force before.
    previous: int
    # Outcome of the submission.
    outcome: ChangeOutcome
    # Submitter: the platform or a peer.
    source: str
    # Why it was not applied, or the sizes before and after.
    detail: str


class StaleVersionError(RagwortpostError):
    """A submitted version that is lower than the one in force."""

    def __init__(self, submitted: int, current: int) -> None:
        """Initialize with both versions."""
        super().__init__(submitted, current)
        self.submitted = submitted
        self.current = current

    def __str__(self) -> str:
        """Return both versions in one line."""
        return f'version {self.submitted} is lower than version {self.current}'


class VersionConflictError(RagwortpostError):
    """Another body was submitted for the version in force."""

    def __init__(self, version: int) -> None:
        """Initialize with the version that has two bodies."""
        super().__init__(version)
        self.version = version

    def __str__(self) -> str:
        """Return the version in one line."""
        return f'version {self.version} was published with two bodies'


DocumentParser = Callable[[int, bytes], Result[_DocumentT, RagwortpostError]]
ChangeListener = Callable[[VersionChange], None]


class VersionStore(Generic[_DocumentT]):
    """The document in force; only :meth:`submit` replaces it.

    A version is applied completely or not at all. A lower version, or another
    body of the same version, is never applied.
    """

    def __init__(
        self,
        name: str,
        initial: _DocumentT,
        parse: DocumentParser[_DocumentT],
    ) -> None:
        """Initialize with ``initial`` in force."""
        self._name: Final = name
        self._current = initial
        self._parse: Final = parse
        self._listeners: list[ChangeListener] = []
        self._last_rejected_version = 0

    @property
    def current(self) -> _DocumentT:
        """The document in force."""
        return self._current

    @property
    def name(self) -> str:
        """The document's name in the audit trail."""
        return self._name

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` for each applied or rejected version.

        Rejections of the same version in a row are reported once.
        """
        self._listeners.append(listener)

    def submit(
        self,
        version: int,
        body: bytes,
        source: str,
    ) -> Result[_DocumentT, RagwortpostError]:
        """Apply a newer valid version and return the document in force.

        A repeat of the version in force succeeds too; otherwise the reason of
        the rejection is returned.
        """
        current = self._current
        if version < current.version:
            stale = StaleVersionError(version, current.version)
            return self._reject(version, source, stale, ChangeOutcome.STALE)
        if version == current.version:
            if body == current.body:
                return Ok(current)
            conflict = VersionConflictError(version)
            return self._reject(
                version, source, conflict, ChangeOutcome.CONFLICT
            )
        match self._parse(version, body):
            case Err(problem):
                return self._reject(
                    version, source, problem, ChangeOutcome.REJECTED
                )
            case Ok(document):
                self._apply(document, source)
                return Ok(document)

    def _apply(self, document: _DocumentT, source: str) -> None:
        previous = self._current
        self._current = document
        self._notify(
            VersionChange(
                self._name,
                document.version,
                previous.version,
                ChangeOutcome.APPLIED,
                source,
                f'{len(previous.body)} to {len(document.body)} bytes',
            ),
        )

    def _reject(
        self,
        version: int,
        source: str,
        problem: RagwortpostError,
        outcome: ChangeOutcome,
    ) -> Err[RagwortpostError]:
        repeated = version == self._last_rejected_version
        self._last_rejected_version = version
        if not repeated:
            self._notify(
                VersionChange(
                    self._name,
                    version,
                    self._current.version,
                    outcome,
                    source,
                    str(problem),
                ),
            )
        return Err(problem)

    def _notify(self, change: VersionChange) -> None:
        for listener in self._listeners:
            listener(change)


def settings_store() -> VersionStore[Snapshot]:
    """Return a store for the settings, empty at version zero."""
    return VersionStore('settings', EMPTY_SNAPSHOT, parse_snapshot)


def vms_store() -> VersionStore[VmList]:
    """Return a store for the VM list, empty at version zero."""
    return VersionStore('vms', EMPTY_VM_LIST, parse_vm_list)
