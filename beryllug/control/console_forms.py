"""Forms of single records, made from the JSON Schema of a document.

The name of each input is the path of its value, which is also what a finding
carries: so a finding is shown at its field without any table between them.
"""

import re
from collections.abc import Iterator, Mapping
from html import escape
from typing import Any, NamedTuple

Schema = Mapping[str, Any]
Reasons = dict[str, list[str]]
Fields = Mapping[str, str]

WHOLE = re.compile(r'-?\d{1,15}')
DECIMAL = re.compile(r'-?\d{1,15}(\.\d{1,15})?')
ROW = re.compile(r'\[(\d{1,4})\]')
BOOLEAN = 'boolean'
ARRAY = 'array'
NUMBERS = ('integer', 'number')


class Form(NamedTuple):
    """What a form is rendered from.

    Attributes:
        definitions: The named parts of the schema.
        reasons: What is wrong, by path; what was shown is taken out.
    """

    definitions: Mapping[str, Schema]
    reasons: Reasons


def record_schema(schema: Schema, section: str) -> Schema:
    """Return the schema of the records of a section."""
    items = schema['properties'][section]['items']
    return _resolve(items, schema['$defs'])


def render(form: Form, schema: Schema, record: Any, path: str = '') -> str:
    """Return the inputs of a record."""
    required = schema.get('required', ())
    return ''.join(
        _field(
            form,
            _resolve(declared, form.definitions),
            record.get(name, declared.get('default', '')),
            _Place(_join(path, name), name in required),
        )
        for name, declared in schema['properties'].items()
    )


def decode(
    definitions: Mapping[str, Schema],
    schema: Schema,
    fields: Fields,
    path: str = '',
) -> dict[str, Any]:
    """Return the record that a submitted form states.

    Text that is no number stays text: the parser of documents then has a
    finding at its path, as for any other document.
    """
    record: dict[str, Any] = {}
    required = schema.get('required', ())
    for name, declared in schema['properties'].items():
        resolved = _resolve(declared, definitions)
        place = _Place(_join(path, name), name in required)
        stated = _decode_value(definitions, resolved, fields, place)
        if stated is not None:
            record[name] = stated
    return record


def add_row(record: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a record with one more row in a list."""
    return {**record, name: [*record.get(name, ()), {}]}


def drop_row(record: dict[str, Any], row: str) -> dict[str, Any]:
    """Return a record without a row, named as ``allowed[1]``."""
    name, _, place = row.rstrip(']').partition('[')
    rows = list(record.get(name, ()))
    if place.isdigit() and int(place) < len(rows):
        rows.pop(int(place))
    return {**record, name: rows}


class _Place(NamedTuple):
    """Where a value stands, and whether it must be there."""

    path: str
    required: bool


def _field(form: Form, schema: Schema, stated: Any, place: _Place) -> str:
    if schema.get('type') == ARRAY:
        items = _resolve(schema['items'], form.definitions)
        if 'properties' in items:
            return _rows(form, items, stated or [], place)
        stated = '\n'.join(map(str, stated or ()))
    label = _label(schema, place)
    return (
        f'<div class="field"><label for="{place.path}">{label}</label>'
        f'{_input(schema, stated, place)}{_told(form, place.path)}'
        f'{_told_inside(form, place.path)}</div>'
    )


def _rows(form: Form, schema: Schema, rows: Any, place: _Place) -> str:
    name = place.path
    shown = ''.join(
        f'<fieldset>{render(form, schema, row, f"{name}[{index}]")}'
        f'<button name="act" value="drop {name}[{index}]">Remove</button>'
        f'{_told(form, f"{name}[{index}]")}</fieldset>'
        for index, row in enumerate(rows)
    )
    return (
        f'<fieldset><legend>{escape(name)}</legend>{_told(form, name)}{shown}'
        f'<button name="act" value="add {name}">Add</button></fieldset>'
    )


def _input(schema: Schema, stated: Any, place: _Place) -> str:
    named = f'id="{place.path}" name="{place.path}"'
    if schema.get('type') == BOOLEAN:
        checked = ' checked' if stated is True else ''
        return f'<input type="checkbox" {named}{checked}>'
    words = schema.get('enum')
    if words is not None:
        return f'<select {named}>{_options(words, stated)}</select>'
    text = escape(str(stated))
    if schema.get('type') == ARRAY:
        return f'<textarea {named} rows="3">{text}</textarea>'
    return f'<input {named} value="{text}">'


def _options(words: list[str], stated: Any) -> str:
    options = []
    for word in words:
        chosen = ' selected' if word == stated else ''
        options.append(f'<option{chosen}>{escape(word)}</option>')
    return ''.join(options)


def _label(schema: Schema, place: _Place) -> str:
    """Return the name of a field, what it means and what it may hold."""
    name = place.path.rpartition('.')[2]
    bounds = ', '.join(_bounds(schema))
    hint = ' '.join(filter(None, (schema.get('description', ''), bounds)))
    star = ' *' if place.required else ''
    return f'{escape(name)}{star}<small>{escape(hint)}</small>'


def _bounds(schema: Schema) -> Iterator[str]:
    if schema.get('type') == ARRAY:
        yield 'one a line'
    for name, word in (('minimum', 'at least'), ('maximum', 'at most')):
        bound = schema.get(name)
        if bound is not None:
            yield f'{word} {bound}'


def _told(form: Form, path: str) -> str:
    """Return what is wrong at a path, and take it out of what is left."""
    reasons = form.reasons.pop(path, [])
    return ''.join(map(wrong, reasons))


def wrong(reason: str) -> str:
    """Return a line that says what is wrong."""
    return f'<p class="wrong" role="alert">{escape(reason)}</p>'


def _told_inside(form: Form, path: str) -> str:
    """Return what is wrong with the lines of a list."""
    inside = [key for key in form.reasons if key.startswith(f'{path}[')]
    return ''.join(_told(form, key) for key in inside)


def _decode_value(
    definitions: Mapping[str, Schema],
    schema: Schema,
    fields: Fields,
    place: _Place,
) -> Any:
    """Return what a form states for one value; None when it is left out."""
    kind = schema.get('type')
    if kind == ARRAY:
        return _decode_list(definitions, schema, fields, place.path)
    if kind == BOOLEAN:
        return place.path in fields
    text = fields.get(place.path, '').strip()
    if not text and not place.required:
        return None
    return _number(text) if kind in NUMBERS else text


def _decode_list(
    definitions: Mapping[str, Schema],
    schema: Schema,
    fields: Fields,
    path: str,
) -> list[Any]:
    items = _resolve(schema['items'], definitions)
    if 'properties' in items:
        return [
            decode(definitions, items, fields, f'{path}[{row}]')
            for row in sorted(_row_numbers(fields, path))
        ]
    lines = [line.strip() for line in fields.get(path, '').splitlines()]
    stated = filter(None, lines)
    if items.get('type') in NUMBERS:
        return [_number(text) for text in stated]
    return list(stated)


def _row_numbers(fields: Fields, path: str) -> set[int]:
    found = (
        ROW.match(name.removeprefix(path))
        for name in fields
        if name.startswith(f'{path}[')
    )
    return {int(match.group(1)) for match in found if match}


def _number(text: str) -> Any:
    if WHOLE.fullmatch(text):
        return int(text)
    return float(text) if DECIMAL.fullmatch(text) else text


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _resolve(schema: Schema, definitions: Mapping[str, Schema]) -> Schema:
    """Return a part of the schema with what it refers to."""
    reference = schema.get('$ref', '')
    if not reference:
        return schema
    return {**definitions[reference.rpartition('/')[2]], **schema}
