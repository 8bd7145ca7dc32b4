"""Runs the contract tests and prints the counts of their outcomes.

The counts are taken from the results of behave. The exit code is not 0 if a
scenario failed or if none was run.
"""

import collections
import json
import pathlib
import sys
import tempfile

import behave.__main__

FOLDER = pathlib.Path(__file__).parent
PASSED_STATUSES = ('passed',)
NOT_RUN_STATUSES = ('skipped', 'untested')


def main() -> int:
    """Runs the tests and returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        results = pathlib.Path(folder) / 'results.json'
        arguments = [
            '--format=json',
            f'--outfile={results}',
            '--format=progress',
            '--no-capture',
            '--tags=not @known_red',
            *(sys.argv[1:] or [str(FOLDER)]),
        ]
        code = behave.__main__.main(arguments)
        features = json.loads(results.read_text() or '[]')
    counts = count_statuses(features)
    print_failures(features)
    passed = counts['passed']
    failed = sum(
        number
        for status, number in counts.items()
        if status not in (*PASSED_STATUSES, *NOT_RUN_STATUSES)
    )
    if code and not failed:
        # Something outside of the scenarios failed, such as a hook.
        failed = 1
    print_known_red()
    print(f'{passed} passed, {failed} failed')
    return 0 if passed and not failed else 1


def count_statuses(features: list[dict]) -> collections.Counter:
    """Returns the number of scenarios by status."""
    counts: collections.Counter = collections.Counter()
    for feature in features:
        for element in feature.get('elements', []):
            if element['type'] != 'background':
                counts[element.get('status', 'untested')] += 1
    return counts


def print_failures(features: list[dict]) -> None:
    """Prints the step and the error message of each failure."""
    for feature in features:
        for element in feature.get('elements', []):
            for step in element.get('steps', []):
                result = step.get('result', {})
                if 'error_message' not in result:
                    continue
                message = result['error_message']
                if isinstance(message, list):
                    message = '\n'.join(message)
                print(f'{element["location"]}: {step["name"]}')
                print(message)


def print_known_red() -> None:
    """Prints the known faults; scenarios tagged @known_red are not run."""
    file = FOLDER.parent / 'KNOWN-RED.txt'
    if file.exists() and file.read_text().strip():
        print(file.read_text().strip())


if __name__ == '__main__':
    sys.exit(main())
