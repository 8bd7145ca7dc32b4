"""The burn report as one HTML page with plots drawn in SVG."""

import html

from . import burn as burns

PLOT_WIDTH = 640
PLOT_HEIGHT = 160
ROWS_PLOTTED = 8
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
<p>A burn of 1 spends the error budget exactly. Objectives: {success:.4g}
of requests succeed, {latency:.4g} of answers are fast enough.</p>
<table><tr><th>organisation</th><th>service</th>{heads}</tr>
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
    """Returns the page."""
    heads = ''.join(
        f'<th>success, {seconds / 60:g} min</th>'
        f'<th>latency, {seconds / 60:g} min</th>'
        for seconds in windows
    )
    return PAGE.format(
        success=objectives.success_share,
        latency=objectives.latency_share,
        heads=heads,
        rows='\n'.join(render_row(row) for row in rows),
        plots='\n'.join(
            render_plot(row, history, objectives, windows[0])
            for row in rows[:ROWS_PLOTTED]
        ),
    )


def render_row(row: burns.BurnRow) -> str:
    cells = [html.escape(row.organisation), html.escape(row.service)]
    for window in row.windows:
        cells.append(f'{window.success_burn:.2f}')
        cells.append(f'{window.latency_burn:.2f}')
    mark = ' class="over"' if row.worst > 1 else ''
    return (
        f'<tr{mark}>' + ''.join(f'<td>{one}</td>' for one in cells) + ('</tr>')
    )


def render_plot(
    row: burns.BurnRow,
    history: list[burns.Sample],
    objectives: burns.Objectives,
    seconds: float,
) -> str:
    """Returns the burn of one row over the samples, with a line at 1."""
    moments = sorted({sample.at for sample in history})
    points = []
    for moment in moments:
        past = [one for one in history if one.at <= moment]
        found = burns.compute(past, objectives, (seconds,))
        burn = next(
            (
                one.worst
                for one in found
                if (one.organisation, one.service)
                == (row.organisation, row.service)
            ),
            0.0,
        )
        points.append((moment, burn))
    name = html.escape(f'{row.organisation} / {row.service}')
    return f'<h3>{name}</h3>{draw(points)}'


def draw(points: list[tuple[float, float]]) -> str:
    """Returns a line through points of time and burn."""
    first, last = points[0][0], points[-1][0]
    span = max(last - first, 1e-9)
    top = max(2.0, max(burn for _, burn in points))

    def place(moment: float, burn: float) -> str:
        x = (moment - first) / span * PLOT_WIDTH
        y = PLOT_HEIGHT - burn / top * PLOT_HEIGHT
        return f'{x:.1f},{y:.1f}'

    line = ' '.join(place(*point) for point in points)
    limit = PLOT_HEIGHT - PLOT_HEIGHT / top
    return (
        f'<svg width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}">'
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{limit:.1f}" y2="{limit:.1f}"'
        ' stroke="#c33" stroke-dasharray="4"/>'
        f'<polyline points="{line}" fill="none" stroke="#246"'
        ' stroke-width="2"/></svg>'
    )
