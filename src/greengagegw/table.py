"""The operators' table: one row for an organisation, service or region."""

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

    :ivar weight: share under contention, without a unit.
    :ivar rate: tokens a second; None means no allowance row is kept.
    :ivar burst: tokens.
    :ivar limit: requests in flight at once; None means no limit.
    :ivar home: region of residence of an organisation.
    :ivar bound: whether requests may run in the home region only.
    :ivar end: announced end in seconds since the epoch, or None.
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
    """A cell that cannot be accepted.

    :ivar line: line in the file, the header being line 1.
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
    """The rows of one revision, by kind and name."""

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
    :param regions: the regions that a home may name; empty allows any.
    :raises TableError: with every wrong cell at once.
    """
    wrong: list[CellError] = []
    if len(text.encode()) > MAX_TABLE_BYTES:
        cell = CellError(1, '', '', f'over {MAX_TABLE_BYTES} bytes')
        raise errors.TableError((cell,))
    reader = csv.reader(io.StringIO(text), strict=True)
    rows: list[Row] = []
    try:
        header = [name.strip() for name in next(reader, [])]
        wrong += _check_header(header)
        if wrong:
            raise errors.TableError(tuple(wrong))
        for cells in reader:
            if any(cell.strip() for cell in cells):
                row = _parse_row(
                    header, cells, reader.line_num, regions, wrong
                )
                rows.append(row)
    except csv.Error as error:
        wrong.append(CellError(reader.line_num, '', '', f'not CSV: {error}'))
    wrong += _repeated(rows)
    if wrong:
        raise errors.TableError(tuple(wrong))
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
    """Returns the rows that were set and the keys that were removed."""
    put = [row for row in new.rows if old.by_key.get(row.key) != row]
    removed = [key for key in old.by_key if key not in new.by_key]
    return put, removed


def apply_diff(old: Table, put: list[Row], removed: list[tuple]) -> Table:
    """Returns a table with a :func:`difference` applied to it."""
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
    """Returns the row of a list made by :func:`pack`."""
    return Row(**dict(zip(COLUMNS, values, strict=True)))


def _check_header(header: list[str]) -> list[CellError]:
    allowed = f'the columns are {",".join(COLUMNS)}'
    wrong = [
        CellError(1, name, name, f'unknown column; {allowed}')
        for name in header
        if name not in COLUMNS
    ]
    wrong += [
        CellError(1, name, '', 'the column stands twice')
        for name in sorted(set(header))
        if header.count(name) > 1
    ]
    wrong += [
        CellError(1, name, '', f'missing column; {allowed}')
        for name in ('kind', 'name')
        if name not in header
    ]
    return wrong


def _parse_row(
    header: list[str],
    cells: list[str],
    line: int,
    regions: tuple[str, ...],
    wrong: list[CellError],
) -> Row:
    before = len(wrong)
    if len(cells) != len(header):
        allowed = f'{len(header)} cells are wanted, {len(cells)} found'
        wrong.append(CellError(line, '', '', allowed))
    values: dict = {}
    for column, cell in zip(header, cells, strict=False):
        try:
            values[column] = _PARSERS[column](cell.strip())
        except ValueError as error:
            wrong.append(CellError(line, column, cell, str(error)))
    row = Row(**{'kind': '', 'name': '', **values})
    if len(wrong) == before:
        wrong += _check_row(row, line, regions)
    return row


def _check_row(
    row: Row, line: int, regions: tuple[str, ...]
) -> list[CellError]:
    wrong = []

    def refuse(column: str, value: object, allowed: str) -> None:
        wrong.append(CellError(line, column, str(value), allowed))

    if row.home is not None and regions and row.home not in regions:
        refuse('home', row.home, f'one of {", ".join(regions)}')
    if row.bound and row.home is None:
        refuse('bound', 'yes', 'a bound organisation needs a home')
    if row.kind == 'organisation':
        if row.rate is None:
            refuse('rate', '', 'an organisation needs a rate')
        if row.burst is None:
            refuse('burst', '', 'an organisation needs a burst')
    elif row.home is not None or row.bound:
        refuse('home', row.home, f'not for a row of kind {row.kind}')
    return wrong


def _repeated(rows: list[Row]) -> list[CellError]:
    seen: set[tuple[str, str]] = set()
    wrong = []
    for at, row in enumerate(rows):
        if row.key in seen:
            allowed = f'{row.kind} {row.name} has a row already'
            wrong.append(CellError(at + 2, 'name', row.name, allowed))
        seen.add(row.key)
    return wrong


def _kind(cell: str) -> str:
    if cell not in KINDS:
        raise ValueError(f'one of {", ".join(KINDS)}')
    return cell


def _name(cell: str) -> str:
    allowed = cell.replace('-', '').replace('.', '').isalnum()
    if not (allowed and cell.isascii() and len(cell) <= 63):
        raise ValueError('1 to 63 letters, digits, points and hyphens')
    return cell


def _number(cell: str, lowest: float = 0.0) -> float:
    try:
        value = float(cell)
    except ValueError:
        raise ValueError('a number') from None
    if not math.isfinite(value) or not lowest <= value <= MAX_NUMBER:
        raise ValueError(f'from {lowest:g} to {MAX_NUMBER:g}')
    return value


def _weight(cell: str) -> float:
    return 1.0 if cell == '' else _number(cell, 0.001)


def _optional_number(cell: str) -> float | None:
    return None if cell == '' else _number(cell)


def _optional_count(cell: str) -> int | None:
    if cell == '':
        return None
    if not (cell.isascii() and cell.isdigit()) or int(cell) > MAX_NUMBER:
        raise ValueError('a whole number, or empty')
    return int(cell)


def _optional_name(cell: str) -> str | None:
    return None if cell == '' else _name(cell)


def _flag(cell: str) -> bool:
    if cell not in ('', 'yes', 'no'):
        raise ValueError('yes, no or empty')
    return cell == 'yes'


def _moment(cell: str) -> float | None:
    if cell == '':
        return None
    try:
        moment = datetime.datetime.fromisoformat(cell)
    except ValueError:
        raise ValueError('a time as 2027-03-31T18:00:00+00:00') from None
    if moment.tzinfo is None:
        raise ValueError('a time with its offset from UTC')
    return moment.timestamp()


_PARSERS = {
    'kind': _kind,
    'name': _name,
    'weight': _weight,
    'rate': _optional_number,
    'burst': _optional_number,
    'limit': _optional_count,
    'home': _optional_name,
    'bound': _flag,
    'end': _moment,
}


def _format_cell(column: str, value: object) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if column == 'end':
        moment = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return moment.isoformat()
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)
