"""Runs one stand-in engine as a process: host port token_ms slots."""

import sys

import anyio

from standins import engine


def main() -> None:
    host, port, token_ms, slots = sys.argv[1:]
    settings = engine.EngineSettings(
        slots=int(slots),
        first_token_seconds=0.0,
        cached_first_token_seconds=0.0,
        token_seconds=float(token_ms) / 1000,
    )
    one = engine.Engine('engine', host, int(port), settings)
    one.received_requests = Forgetful()
    anyio.run(one.run, backend_options={'use_uvloop': True})


class Forgetful(list):
    """Keeps nothing, so that the engine's memory does not grow."""

    def append(self, item: object) -> None:
        pass


if __name__ == '__main__':
    main()
