"""Makes the imports at the start of a process cheaper."""

import collections.abc
import contextlib
import gc
import importlib
import importlib.machinery
import importlib.util
import sys
import types
import typing

# Modules of hypercorn and httpcore for HTTP/2 and WebSocket, each with the
# only class that is used elsewhere, when the other side asks for the protocol.
# With the libraries that they import they take a tenth of the CPU time of a
# process's start.
DEFERRED_CLASSES = {
    'httpcore._async.http2': 'AsyncHTTP2Connection',
    'httpcore._sync.http2': 'HTTP2Connection',
    'hypercorn.protocol.h2': 'H2Protocol',
    'hypercorn.protocol.ws_stream': 'WSStream',
}
# Modules that hypercorn uses only in annotations, unless it uses HTTP/2.
LAZY_MODULES = ('h2.events',)


@contextlib.contextmanager
def collection_paused() -> collections.abc.Iterator[None]:
    """Pauses garbage collection during imports.

    Imports create many objects and hardly any garbage. Those that exist
    afterwards are left out of later collections.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


class DeferringLoader:
    """Provides a module whose only class is imported when it is called."""

    def create_module(
        self, spec: importlib.machinery.ModuleSpec
    ) -> types.ModuleType | None:
        """Returns None, for an ordinary module."""

    def exec_module(self, module: types.ModuleType) -> None:
        name = module.__name__
        class_name = DEFERRED_CLASSES[name]

        def construct(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:
            real_class = getattr(import_deferred(name), class_name)
            return real_class(*args, **kwargs)

        setattr(module, class_name, construct)


class DeferringFinder:
    """Finds the modules that are imported on first use."""

    def find_spec(
        self,
        name: str,
        path: collections.abc.Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        if name in DEFERRED_CLASSES:
            return importlib.machinery.ModuleSpec(name, DeferringLoader())
        if name not in LAZY_MODULES:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        if spec is not None and spec.loader is not None:
            spec.loader = importlib.util.LazyLoader(spec.loader)
        return spec


FINDER = DeferringFinder()


def import_deferred(name: str) -> types.ModuleType:
    """Returns a deferred module, which is imported if necessary."""
    if FINDER in sys.meta_path:
        sys.meta_path.remove(FINDER)
        for one in DEFERRED_CLASSES:
            sys.modules.pop(one, None)
    return importlib.import_module(name)


def defer_protocols() -> None:
    """Defers the import of protocols that clients hardly ever use.

    It has to be called before hypercorn and httpcore are imported.
    """
    if FINDER not in sys.meta_path:
        sys.meta_path.insert(0, FINDER)
