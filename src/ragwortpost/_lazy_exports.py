"""Exports of a package that are imported when they are first used.

Processes of different roles need different modules of a package, and a process
is unavailable while it imports them.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from importlib import import_module


def lazy_exports(
    package: str, modules: Mapping[str, Sequence[str]]
) -> Callable[[str], object]:
    """Return the ``__getattr__`` of a package.

    ``modules`` lists the names that each module of the package exports. The
    returned function raises :class:`AttributeError` for other names.
    """
    module_of = {
        name: module for module, names in modules.items() for name in names
    }

    def load(name: str) -> object:  # noqa: WPS430
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f'{package} has no attribute {name!r}')
        exported = getattr(import_module(f'{package}.{module}'), name)
        # Later uses find it without a call.
        setattr(sys.modules[package], name, exported)
        return exported

    return load
