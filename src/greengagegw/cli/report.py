"""The report commands, on service-level objectives."""

import pathlib

import click
import orjson

from .. import errors
from . import operator_client
from ..report import burn as burns
from ..report import html


@click.group()
def report() -> None:
    """Reports on service-level objectives."""


@report.command()
@click.option(
    '--url',
    'urls',
    multiple=True,
    help='URL of the operator interface of a VM; repeat it for each VM.',
)
@click.option('--token', envvar=operator_client.TOKEN_VARIABLE, default='')
@click.option(
    '--samples',
    type=click.Path(path_type=pathlib.Path),
    help='File of samples; new samples from VMs are added to it.',
)
@click.option('--short-minutes', default=60.0, show_default=True)
@click.option('--long-minutes', default=4320.0, show_default=True)
@click.option('--success-share', default=0.999, show_default=True)
@click.option('--latency-share', default=0.95, show_default=True)
@click.option(
    '--html',
    'page',
    type=click.Path(path_type=pathlib.Path),
    help='Write an HTML page with plots to this file.',
)
@operator_client.output_option
def burn(
    urls: tuple[str, ...],
    token: str,
    samples: pathlib.Path | None,
    short_minutes: float,
    long_minutes: float,
    success_share: float,
    latency_share: float,
    page: pathlib.Path | None,
    output: str,
) -> None:
    """Shows the burn rates of the error budgets, highest first.

    At a burn rate of 1, an organisation spends the error budget of a service
    exactly over the period of the objective.
    """
    if not urls and samples is None:
        raise errors.UsageError('give --url or --samples')
    history = burns.load_samples(samples) if samples else []
    for url in urls:
        response = operator_client.OperatorClient(url, token).request(
            'GET', '/metrics'
        )
        history.append(burns.read_metrics(url, response.text))
    if samples is not None and urls:
        burns.save_samples(samples, history)
    objectives = burns.Objectives(success_share, latency_share)
    windows = (short_minutes * 60, long_minutes * 60)
    rows = burns.compute_rows(history, objectives, windows)
    if page is not None:
        page.write_text(html.render(rows, history, objectives, windows))
    content = [burns.to_dict(row) for row in rows]
    if output == 'json':
        click.echo(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
    else:
        click.echo(burns.format_text(rows))
