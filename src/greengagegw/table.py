"""The table of organisations, services and regions, edited as CSV."""

import csv
import dataclasses
import datetime
import io
import math

from . import errors

COLUMNS = (
    'kind',
    'name',
    'weight',
    'rate',
    'burst',
    'limit',
    'home',
    'bound',
    'end',
)
KINDS = ('organisation', 'service', 'region')
MAX_TABLE_BYTES = 4 * 1024 * 1024
MAX_NUMBER = 1e12


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    :ivar weight: relative share under contention.
    :ivar rate: tokens per second; required for an organisation.
    :ivar burst: tokens; required for an organisation.
    :ivar limit: maximum requests in flight; None means no limit.
    :ivar home: home region of an organisation.
    :ivar bound: whether requests may run in the home region only.
    :ivar end: announced end of a service in seconds since the epoch, or
        None.
    """

    kind: str
    name: str
    weight: float = 1.0
    rate: float | None = None
    burst: float | None = None
    limit: int | None = None
    home: str | None = None
    bound: bool = False
    end: float | None = None

    @property
    def key(self) -> tuple[str, str]:
        return self.kind, self.name


@dataclasses.dataclass(frozen=True, slots=True)
class CellError:
    """An invalid cell.

    :ivar line: line in the file; the header is line 1.
    :ivar column: column name, or empty if the whole line is invalid.
    :ivar allowed: what the cell must be, or what is wrong with the line.
    """

    line: int
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f'line {self.line}, column {self.column}: {self.value!r}:'
            f' {self.allowed}'
        )


class Table:
    """The rows of one revision, with lookup by kind and name."""

    def __init__(self, rows: tuple[Row, ...] = ()) -> None:
        self.rows = rows
        self.by_key = {row.key: row for row in rows}

    def organisation(self, name: str) -> Row | None:
        return self.by_key.get(('organisation', name))

    def service(self, name: str) -> Row | None:
        return self.by_key.get(('service', name))

    def region(self, name: str) -> Row | None:
        return self.by_key.get(('region', name))

    def rows_of_kind(self, kind: str) -> list[Row]:
        return [row for row in self.rows if row.kind == kind]


def parse(text: str, regions: tuple[str, ...] = ()) -> Table:
    """Returns the table of a CSV text.

    :param text: CSV with a header line that names :data:`COLUMNS`.
    :param regions: allowed home regions; empty allows any.
    :raises TableError: with all invalid cells.
    """
    cell_errors: list[CellError] = []
    if len(text.encode()) > MAX_TABLE_BYTES:
        cell_error = CellError(1, '', '', f'over {MAX_TABLE_BYTES} bytes')
        raise errors.TableError((cell_error,))
    reader = csv.reader(io.StringIO(text), strict=True)
    rows: list[Row] = []
    try:
        header = [name.strip() for name in next(reader, [])]
        cell_errors += _check_header(header)
        if cell_errors:
            raise errors.TableError(tuple(cell_errors))
        for cells in reader:
            if any(cell.strip() for cell in cells):
                row = _parse_row(
                    header, cells, reader.line_num, regions, cell_errors
                )
                rows.append(row)
    except csv.Error as error:
        cell_errors.append(
            CellError(reader.line_num, '', '', f'not CSV: {error}')
        )
    cell_errors += _find_duplicates(rows)
    if cell_errors:
        raise errors.TableError(tuple(cell_errors))
    return Table(tuple(rows))


def format(table: Table) -> str:
    """Returns a table as CSV text."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator='\n')
    writer.writerow(COLUMNS)
    for row in table.rows:
        writer.writerow(
            [_format_cell(name, getattr(row, name)) for name in COLUMNS]
        )
    return out.getvalue()


def diff(old: Table, new: Table) -> tuple[list[Row], list[tuple]]:
    """Returns the rows added or changed and the keys of those removed."""
    put = [row for row in new.rows if old.by_key.get(row.key) != row]
    removed = [key for key in old.by_key if key not in new.by_key]
    return put, removed


def apply_diff(old: Table, put: list[Row], removed: list[tuple]) -> Table:
    """Returns a table with the result of :func:`diff` applied to it."""
    rows = dict(old.by_key)
    for key in removed:
        rows.pop(tuple(key), None)
    for row in put:
        rows[row.key] = row
    return Table(tuple(rows.values()))


def pack(row: Row) -> list:
    """Returns a row as a list for the wire, in the order of COLUMNS."""
    return [getattr(row, name) for name in COLUMNS]


def unpack(values: list) -> Row:
    """Returns the row of a list from :func:`pack`."""
    return Row(**dict(zip(COLUMNS, values, strict=True)))


def _check_header(header: list[str]) -> list[CellError]:
    allowed = f'the columns are {",".join(COLUMNS)}'
    cell_errors = [
        CellError(1, name, name, f'unknown column; {allowed}')
        for name in header
        if name not in COLUMNS
    ]
    cell_errors += [
        CellError(1, name, '', 'the column stands twice')
        for name in sorted(set(header))
        if header.count(name) > 1
    ]
    cell_errors += [
        CellError(1, name, '', f'missing column; {allowed}')
        for name in ('kind', 'name')
        if name not in header
    ]
    return cell_errors


def _parse_row(
    header: list[str],
    cells: list[str],
    line: int,
    regions: tuple[str, ...],
    cell_errors: list[CellError],
) -> Row:
    errors_before = len(cell_errors)
    if len(cells) != len(header):
        allowed = f'{len(header)} cells are wanted, {len(cells)} found'
        cell_errors.append(CellError(line, '', '', allowed))
    values: dict = {}
    for column, cell in zip(header, cells, strict=False):
        try:
            values[column] = _PARSERS[column](cell.strip())
        except ValueError as error:
            cell_errors.append(CellError(line, column, cell, str(error)))
    row = Row(**{'kind': '', 'name': '', **values})
    if len(cell_errors) == errors_before:
        cell_errors += _check_row(row, line, regions)
    return row


def _check_row(
    row: Row, line: int, regions: tuple[str, ...]
) -> list[CellError]:
    cell_errors = []

    def add_error(column: str, value: object, allowed: str) -> None:
        cell_errors.append(CellError(line, column, str(value), allowed))

    if row.home is not None and regions and row.home not in regions:
        add_error('home', row.home, f'one of {", ".join(regions)}')
    if row.bound and row.home is None:
        add_error('bound', 'yes', 'a bound organisation needs a home')
    if row.kind == 'organisation':
        if row.rate is None:
            add_error('rate', '', 'an organisation needs a rate')
        if row.burst is None:
            add_error('burst', '', 'an organisation needs a burst')
    elif row.home is not None or row.bound:
        add_error('home', row.home, f'not for a row of kind {row.kind}')
    return cell_errors


def _find_duplicates(rows: list[Row]) -> list[CellError]:
    seen: set[tuple[str, str]] = set()
    cell_errors = []
    for index, row in enumerate(rows):
        if row.key in seen:
            allowed = f'{row.kind} {row.name} has a row already'
            cell_errors.append(CellError(index + 2, 'name', row.name, allowed))
        seen.add(row.key)
    return cell_errors


def _parse_kind(cell: str) -> str:
    if cell not in KINDS:
        raise ValueError(f'one of {", ".join(KINDS)}')
    return cell


def _parse_name(cell: str) -> str:
    is_valid = cell.replace('-', '').replace('.', '').isalnum()
    if not (is_valid and cell.isascii() and len(cell) <= 63):
        raise ValueError('1 to 63 letters, digits, points and hyphens')
    return cell


def _parse_number(cell: str, minimum: float = 0.0) -> float:
    try:
        value = float(cell)
    except ValueError:
        raise ValueError('a number') from None
    if not math.isfinite(value) or not minimum <= value <= MAX_NUMBER:
        raise ValueError(f'from {minimum:g} to {MAX_NUMBER:g}')
    return value


def _parse_weight(cell: str) -> float:
    return 1.0 if cell == '' else _parse_number(cell, 0.001)


def _parse_optional_number(cell: str) -> float | None:
    return None if cell == '' else _parse_number(cell)


def _parse_optional_integer(cell: str) -> int | None:
    if cell == '':
        return None
    if not (cell.isascii() and cell.isdigit()) or int(cell) > MAX_NUMBER:
        raise ValueError('a whole number, or empty')
    return int(cell)


def _parse_optional_name(cell: str) -> str | None:
    return None if cell == '' else _parse_name(cell)


def _parse_flag(cell: str) -> bool:
    if cell not in ('', 'yes', 'no'):
        raise ValueError('yes, no or empty')
    return cell == 'yes'


def _parse_timestamp(cell: str) -> float | None:
    if cell == '':
        return None
    try:
        time = datetime.datetime.fromisoformat(cell)
    except ValueError:
        raise ValueError('a time as 2027-03-31T18:00:00+00:00') from None
    if time.tzinfo is None:
        raise ValueError('a time with its offset from UTC')
    return time.timestamp()


_PARSERS = {
    'kind': _parse_kind,
    'name': _parse_name,
    'weight': _parse_weight,
    'rate': _parse_optional_number,
    'burst': _parse_optional_number,
    'limit': _parse_optional_integer,
    'home': _parse_optional_name,
    'bound': _parse_flag,
    'end': _parse_timestamp,
}


def _format_cell(column: str, value: object) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if column == 'end':
        time = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return time.isoformat()
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
