"""Plays random schedules with a fixed seed."""

import hypothesis
import hypothesis.strategies as strategies


def play_many(examples, steps, step, play):
    """Plays schedules drawn from the same seed on every run.

    :param step: strategy of one step.
    :param play: takes a seed and a schedule, and fails if something broke.
    :returns: the number of steps that were played.
    """
    played = []

    @hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.integers(0, 2**20),
        strategies.lists(step, min_size=steps, max_size=steps),
    )
    def play_one(seed, schedule):
        play(seed, schedule)
        played.append(len(schedule))

    play_one()
    return sum(played)
