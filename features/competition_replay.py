"""Prints how classes and organisations fare in replays of an overload.

Run ``python -m features.competition_replay SEED...``; the name of a pattern
limits the output to it.
"""

import sys

import anyio

from features import load_patterns

PATTERNS = (
    'an organisation with twenty times its load',
    'a burst of twice the capacity',
    'a lasting load of twice the capacity',
    'an organisation with twenty times its load, returns to any VM',
    'a lasting load of twice the capacity, returns to any VM',
)
SECONDS = 15.0


def describe(outcomes):
    """Returns the shares of outcomes, in percent of the requests."""
    count = max(1, len(outcomes))
    returned = [one for one in outcomes if one.request_id.endswith('b')]
    rejected_again = sum(one.error is not None for one in returned)
    served = sum(one.error is None for one in outcomes)
    on_time = sum(one.is_on_time for one in outcomes)
    return (
        f'{len(outcomes):5d} asked {100 * served / count:5.1f} served'
        f' {100 * on_time / count:5.1f} on time'
        f' {100 - 100 * served / count:5.1f} rejected or failed;'
        f' {len(returned):3d} returned, {rejected_again:3d} rejected again'
    )


def main(arguments):
    seeds = [int(one) for one in arguments if one.isdigit()] or [1, 2]
    chosen = [one for one in arguments if not one.isdigit()] or PATTERNS
    for name in chosen:
        for seed in seeds:
            replay = load_patterns.Replay(
                load_patterns.PATTERNS[name], SECONDS, seed
            )
            replay.world.set_divides_capacity(True)
            anyio.run(replay.run)
            outcomes = replay.world.outcomes
            print(
                f'{name}, seed {seed}: value {replay.value_share():.3f},'
                f' rejected again {replay.rejected_return_share():.3f},'
                f' late {replay.late_or_failed_share():.3f}'
            )
            print(f'  {"all":6}', describe(outcomes))
            for group in ('short', 'long', *load_patterns.KEYS):
                some = [
                    one for one in outcomes if group in (one.profile, one.key)
                ]
                print(f'  {group:6}', describe(some), flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
