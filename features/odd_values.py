"""Odd values from outside, for property tests of what reads them.

Each strategy changes a sound value in one or a few places, since most random
bytes fail at the first check of a reader.
"""

import copy
import math

import hypothesis
import hypothesis.strategies as strategies
import orjson

EXAMPLES = 300
NUMBERS = (
    math.nan,
    math.inf,
    -math.inf,
    1e308,
    -1e308,
    1e30,
    5e-324,
    -1,
    0,
    0.5,
    2**53,
    2**63 - 1,
    2**63,
    2**64 - 1,
    -(2**63),
    True,
    False,
)
TEXTS = (
    '',
    ' ',
    'x' * 70_000,
    '\x00',
    'a\r\nb: c',
    '\u00b2',
    '\u0668\u0660',
    '1e999',
    '1e308',
    '1e-320',
    'nan',
    'inf',
    '-1',
    '+1',
    '1_0',
    ' 1 ',
    '1' * 5000,
    '9' * 19,
    ',,,',
    'a:b:c',
    ':',
    '10.0.0.1:0',
    '10.0.0.1:99999',
    '10.0.0.1:\u00b2',
)
DEPTHS = (5, 100, 250, 300, 400, 990)
# Bytes in JSON that a decoder may reject, or decode to something odd.
JSON_FRAGMENTS = (
    b'NaN',
    b'Infinity',
    b'1e999',
    b'-1e999',
    b'1' * 400,
    b'0x1',
    b'-0',
    b'01',
    str(2**64).encode(),
    b'"\xff\xfe"',
    b'"\xc3\x28"',
    b'"\xed\xa0\x80"',
    rb'"\ud800"',
    rb'"\u0000"',
    b'"\n"',
    b'"',
    b'{',
    b'[',
    b'}',
    b']',
    b',',
    b'',
    b'{"a":1,"a":2}',
    b'[' * 1024 + b']' * 1024,
    b'[' * 3000 + b']' * 3000,
    b'{"a":' * 1000 + b'1' + b'}' * 1000,
    b'{"a":' * 5000 + b'1' + b'}' * 5000,
    b'[' * 100_000,
    b'[' * 100_000 + b']' * 100_000,
)
PLACE = '\u00a7place%d\u00a7'


def nest(depth):
    value = []
    for at in range(depth):
        value = [value] if at % 2 else {'a': value}
    return value


odd_scalars = strategies.one_of(
    strategies.none(),
    strategies.sampled_from(NUMBERS),
    strategies.sampled_from(TEXTS),
    strategies.integers(-3, 70_000),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.binary(max_size=8),
)
odd_values = strategies.one_of(
    odd_scalars,
    strategies.builds(nest, strategies.sampled_from(DEPTHS)),
    strategies.lists(odd_scalars, max_size=5),
    strategies.dictionaries(strategies.text(max_size=3), odd_scalars),
)
json_scalars = strategies.one_of(
    strategies.none(),
    strategies.sampled_from([one for one in NUMBERS if one - one == 0]),
    strategies.sampled_from(TEXTS),
    strategies.integers(-3, 70_000),
    strategies.text(max_size=8),
)
json_values = strategies.one_of(
    json_scalars,
    strategies.builds(nest, strategies.sampled_from((5, 100, 200))),
    strategies.lists(json_scalars, max_size=5),
    strategies.dictionaries(strategies.text(max_size=3), json_scalars),
)


def find_places(value, place=()):
    """Returns the places of all values within one, as paths of keys."""
    places = [place] if place else []
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list | tuple):
        items = enumerate(value)
    for key, one in items:
        places += find_places(one, (*place, key))
    return places


def to_lists(value):
    """Returns a copy with lists instead of tuples, as msgpack decodes it."""
    if isinstance(value, dict):
        return {key: to_lists(one) for key, one in value.items()}
    if isinstance(value, list | tuple):
        return [to_lists(one) for one in value]
    return copy.copy(value)


def change(value, place, action, odd):
    """Changes a value in one place, if the place is still there."""
    holder = value
    for key in place[:-1]:
        try:
            holder = holder[key]
        except (KeyError, IndexError, TypeError):
            return
    key = place[-1]
    if isinstance(holder, list):
        if not isinstance(key, int) or key >= len(holder):
            return
        if action == 'remove':
            del holder[key]
        elif action == 'repeat':
            holder.append(copy.copy(holder[key]))
        else:
            holder[key] = odd
    elif isinstance(holder, dict):
        if action == 'remove':
            holder.pop(key, None)
        elif action == 'rename':
            holder[
                str(odd)[:70] if not isinstance(odd, list | dict) else ''
            ] = holder.pop(key, None)
        else:
            holder[key] = odd


@strategies.composite
def changed(draw, sound, odd=odd_values, max_changes=3):
    """Draws a sound value with up to a few odd places."""
    value = to_lists(sound)
    places = find_places(value)
    for _ in range(draw(strategies.integers(1, max_changes))):
        place = draw(strategies.sampled_from(places))
        action = draw(
            strategies.sampled_from(
                ('replace', 'replace', 'replace', 'remove', 'repeat', 'rename')
            )
        )
        change(value, place, action, draw(odd))
    return value


@strategies.composite
def changed_json(draw, sound):
    """Draws the bytes of a sound JSON value with odd places."""
    fragments = {}

    @strategies.composite
    def draw_fragment(draw_inner):
        name = PLACE % len(fragments)
        fragments[name] = draw_inner(strategies.sampled_from(JSON_FRAGMENTS))
        return name

    value = draw(
        changed(sound, strategies.one_of(json_values, draw_fragment()))
    )
    raw = orjson.dumps(value)
    for name, fragment in fragments.items():
        raw = raw.replace(orjson.dumps(name), fragment)
    if draw(strategies.integers(0, 19)) == 0:
        raw = raw[: draw(strategies.integers(0, len(raw)))]
    return raw


@strategies.composite
def changed_text(draw, sound):
    """Draws a text with a few parts replaced by odd ones."""
    text = sound
    for _ in range(draw(strategies.integers(1, 3))):
        begin = draw(strategies.integers(0, len(text)))
        end = draw(strategies.integers(begin, min(len(text), begin + 12)))
        odd = draw(
            strategies.one_of(
                strategies.sampled_from(TEXTS),
                strategies.text(max_size=6),
                strategies.sampled_from('[]{}"\',=:&*!\n\t -|>'),
            )
        )
        text = text[:begin] + odd + text[end:]
    return text


def check_each(strategy, check, examples=EXAMPLES):
    """Checks drawn values, the same ones on every run."""
    count = 0

    @hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def check_one(value):
        nonlocal count
        check(value)
        count += 1

    check_one()
    return count
