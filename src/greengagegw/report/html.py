"""Renders the burn report as an HTML page with SVG charts."""

import html

from . import burn as burns

PLOT_WIDTH = 640
PLOT_HEIGHT = 160
MAX_PLOTTED_ROWS = 8
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title>
<style>
body {{ font-family: sans-serif; margin: 2em; color: #222; }}
table {{ border-collapse: collapse; }}
td, th {{ padding: .3em .8em; text-align: right; }}
td:first-child, td:nth-child(2) {{ text-align: left; }}
tr.over td {{ background: #fde2df; }}
svg {{ background: #f7f7f7; margin: .3em 0 1em; }}
</style></head><body>
<h1>Service-level burn</h1>
<p>At a burn rate of 1, the error budget is spent exactly. Objectives:
{success:.4g} of requests succeed, {latency:.4g} of responses are fast
enough.</p>
<table><tr><th>organisation</th><th>service</th>{headings}</tr>
{rows}</table>
<h2>Burn over time</h2>
{plots}
</body></html>
"""


def render(
    rows: list[burns.BurnRow],
    history: list[burns.Sample],
    objectives: burns.Objectives,
    windows: tuple[float, ...],
) -> str:
    """Returns the report as an HTML page."""
    headings = ''.join(
        f'<th>success, {seconds / 60:g} min</th>'
        f'<th>latency, {seconds / 60:g} min</th>'
        for seconds in windows
    )
    return PAGE.format(
        success=objectives.success_share,
        latency=objectives.latency_share,
        headings=headings,
        rows='\n'.join(render_row(row) for row in rows),
        plots='\n'.join(
            render_plot(row, history, objectives, windows[0])
            for row in rows[:MAX_PLOTTED_ROWS]
        ),
    )


def render_row(row: burns.BurnRow) -> str:
    cells = [html.escape(row.organisation), html.escape(row.service)]
    for window in row.windows:
        cells.append(f'{window.success_burn:.2f}')
        cells.append(f'{window.latency_burn:.2f}')
    css_class = ' class="over"' if row.max_burn > 1 else ''
    return (
        f'<tr{css_class}>'
        + ''.join(f'<td>{one}</td>' for one in cells)
        + ('</tr>')
    )


def render_plot(
    row: burns.BurnRow,
    history: list[burns.Sample],
    objectives: burns.Objectives,
    seconds: float,
) -> str:
    """Returns a chart of the burn rate of a row over time."""
    times = sorted({sample.sampled_at for sample in history})
    points = []
    for time in times:
        past = [one for one in history if one.sampled_at <= time]
        past_rows = burns.compute_rows(past, objectives, (seconds,))
        burn = next(
            (
                one.max_burn
                for one in past_rows
                if (one.organisation, one.service)
                == (row.organisation, row.service)
            ),
            0.0,
        )
        points.append((time, burn))
    name = html.escape(f'{row.organisation} / {row.service}')
    return f'<h3>{name}</h3>{draw_chart(points)}'


def draw_chart(points: list[tuple[float, float]]) -> str:
    """Returns an SVG chart of points, with a dashed line at a burn rate of 1.

    :param points: time in seconds and burn rate.
    """
    first, last = points[0][0], points[-1][0]
    span = max(last - first, 1e-9)
    axis_max = max(2.0, max(burn for _, burn in points))

    def to_coordinates(time: float, burn: float) -> str:
        x = (time - first) / span * PLOT_WIDTH
        y = PLOT_HEIGHT - burn / axis_max * PLOT_HEIGHT
        return f'{x:.1f},{y:.1f}'

    line = ' '.join(to_coordinates(*point) for point in points)
    limit_y = PLOT_HEIGHT - PLOT_HEIGHT / axis_max
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}">'
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{limit_y:.1f}" y2="{limit_y:.1f}"'
        ' stroke="#c33" stroke-dasharray="4"/>'
        f'<polyline points="{line}" fill="none" stroke="#246"'
        ' stroke-width="2"/></svg>'
    )
