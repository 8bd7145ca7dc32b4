"""Runs a fake engine as a process.

Arguments: host, port, milliseconds for each token, slots.
"""

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
    fake_engine = engine.Engine('engine', host, int(port), settings)
    fake_engine.received_requests = DiscardingList()
    anyio.run(fake_engine.run, backend_options={'use_uvloop': True})


class DiscardingList(list):
    """Discards all items, so that memory does not grow with requests."""

    def append(self, item: object) -> None:
        pass


if __name__ == '__main__':
    main()
