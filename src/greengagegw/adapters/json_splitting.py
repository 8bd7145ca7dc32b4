"""Splits a JSON array into the bytes of its elements, without decoding them.

A decoder rejects a text as a whole. With its elements apart, one that cannot
be decoded leaves the others. No function here is recursive.
"""

import itertools
import re

# A string, a run of brackets, a comma, or a quote without an end. Possessive
# quantifiers keep the expression from backtracking over long strings.
TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{]+|[\]}]+|[,"]', re.DOTALL)
# A text without words but those of JSON and of writers that allow NaN.
SOUND_TOKENS = re.compile(
    rb'(?:"(?:[^"\\]++|\\.)*+"|[\[\]{},:\s]++|[-+]?[0-9][-+0-9.eE]*+'
    rb'|true|false|null|NaN|[-+]?Infinity)*+',
    re.DOTALL,
)
MEMBER_NAME = re.compile(rb'\s*("(?:[^"\\]++|\\.)*+")\s*:\s*', re.DOTALL)
# An object that follows a comma or the beginning of an array.
OBJECT_BEGIN = re.compile(rb'(?<=[\[,])\s*+\{')
# Bounds the time that the recovery of objects takes.
MAX_RECOVERED_BYTES = 65536
MAX_RECOVERED_DEPTH = 16
# A page of the usual size has some thousand tokens; this many take a quarter
# of a second.
MAX_TOKENS = 500_000


def split_members(text: bytes, begin: int) -> tuple[list[bytes], int]:
    """Splits the array or object that begins at an index.

    Whether the brackets match in kind is not checked; it shows when a member
    is decoded.

    :param begin: index of the opening bracket.
    :returns: the members, and the index behind the closing bracket.
    :raises ValueError: if a string or the array or object has no end, or it
        has more than MAX_TOKENS.
    """
    depth = 0
    members = []
    member_begin = begin + 1
    for match in itertools.islice(TOKEN.finditer(text, begin), MAX_TOKENS):
        token = match.group()
        if token == b',':
            if depth == 1:
                members.append(text[member_begin : match.start()])
                member_begin = match.end()
        elif token == b'"':
            raise ValueError('a string has no end')
        elif token[0] in b'[{':
            depth += len(token)
        elif token[0] in b']}':
            if len(token) >= depth:
                end = match.start() + depth
                last = text[member_begin : end - 1]
                if members or last.strip():
                    members.append(last)
                return members, end
            depth -= len(token)
    raise ValueError(
        f'an array or object has no end within {MAX_TOKENS} tokens'
    )


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Returns the values of an object by name, each of them as bytes.

    :returns: names with their quotes; the last of equal names counts.
    :raises ValueError: if the text is not an object and nothing else.
    """
    begin = len(text) - len(text.lstrip())
    if text[begin : begin + 1] != b'{':
        raise ValueError('the text is not an object')
    members, end = split_members(text, begin)
    if text[end:].strip():
        raise ValueError('something follows the object')
    values = {}
    for member in members:
        name = MEMBER_NAME.match(member)
        if name is None:
            raise ValueError('a member of the object has no name')
        values[name.group(1)] = member[name.end() :]
    return values


def has_sound_tokens(text: bytes) -> bool:
    """Returns whether a text has the words of JSON only, if any.

    Behind a string without end, what was within strings is outside of them.
    """
    return SOUND_TOKENS.fullmatch(text) is not None


def recover_objects(text: bytes) -> list[bytes]:
    """Returns the objects in a broken text that end within their limits.

    An object within one that is returned is not returned. The search ends
    after MAX_TOKENS.
    """
    objects = []
    position = 0
    tokens_left = MAX_TOKENS
    while tokens_left > 0 and (found := OBJECT_BEGIN.search(text, position)):
        begin = found.end() - 1
        end, token_count = find_end(text, begin)
        tokens_left -= token_count
        if end is not None and has_sound_tokens(text[begin:end]):
            objects.append(text[begin:end])
            position = end
        else:
            position = begin + 1
    return objects


def find_end(text: bytes, begin: int) -> tuple[int | None, int]:
    """Finds the end of the object that begins at an index.

    :returns: the index behind it, None if it has no end within the limits of
        recovery; and the number of tokens that were read.
    """
    open_brackets = bytearray()
    limit = min(len(text), begin + MAX_RECOVERED_BYTES)
    count = 0
    for count, match in enumerate(TOKEN.finditer(text, begin, limit), 1):
        token = match.group()
        if token == b'"' or len(open_brackets) > MAX_RECOVERED_DEPTH:
            break
        if token[0] in b'[{':
            open_brackets += token
        elif token[0] in b']}':
            for index, bracket in enumerate(token, match.start()):
                # In ASCII, a closing bracket is two above its opening one.
                if bracket != open_brackets.pop() + 2:
                    return None, count
                if not open_brackets:
                    return index + 1, count
    return None, count
