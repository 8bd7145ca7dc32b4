"""Runs random schedules of steps that are the same on every run."""

import hypothesis
import hypothesis.strategies as strategies


def run_schedules(examples, steps, step, run):
    """Runs schedules that are drawn from the same seed on every run.

    :param step: Hypothesis strategy for one step.
    :param run: function of a seed and a schedule that raises an exception
        if a check fails.
    :returns: the number of steps that were run.
    """
    step_counts = []

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
    def run_one(seed, schedule):
        run(seed, schedule)
        step_counts.append(len(schedule))

    run_one()
    return sum(step_counts)
