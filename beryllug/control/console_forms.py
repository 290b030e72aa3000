"""Forms of single records, generated from the JSON Schema of a document.

The name of each input is the path of its value. Findings have the same paths,
so a finding is shown at its field without a mapping between them.
"""

import re
from collections.abc import Iterator, Mapping
from html import escape
from typing import Any, NamedTuple

Schema = Mapping[str, Any]
Reasons = dict[str, list[str]]
Fields = Mapping[str, str]

INTEGER = re.compile(r'-?\d{1,15}')
DECIMAL = re.compile(r'-?\d{1,15}(\.\d{1,15})?')
ROW = re.compile(r'\[(\d{1,4})\]')
BOOLEAN = 'boolean'
ARRAY = 'array'
NUMBERS = ('integer', 'number')


class Form(NamedTuple):
    """Input for rendering a form.

    Attributes:
        definitions: The named definitions of the schema.
        reasons: Findings by path; rendered ones are removed.
    """

    definitions: Mapping[str, Schema]
    reasons: Reasons


def record_schema(schema: Schema, section: str) -> Schema:
    """Return the schema of the records of a section."""
    items = schema['properties'][section]['items']
    return _resolve(items, schema['$defs'])


def render(form: Form, schema: Schema, record: Any, path: str = '') -> str:
    """Return the inputs of a record as HTML."""
    required = schema.get('required', ())
    return ''.join(
        _field(
            form,
            _resolve(declared, form.definitions),
            record.get(name, declared.get('default', '')),
            _FieldInfo(_join(path, name), name in required),
        )
        for name, declared in schema['properties'].items()
    )


def decode(
    definitions: Mapping[str, Schema],
    schema: Schema,
    fields: Fields,
    path: str = '',
) -> dict[str, Any]:
    """Return the record that a submitted form contains.

    Text that isn't a valid number stays text: the document parser then reports
    a finding at its path, as for any other document.
    """
    record: dict[str, Any] = {}
    required = schema.get('required', ())
    for name, declared in schema['properties'].items():
        resolved = _resolve(declared, definitions)
        field = _FieldInfo(_join(path, name), name in required)
        value = _decode_value(definitions, resolved, fields, field)
        if value is not None:
            record[name] = value
    return record


def add_row(record: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a record with one more row in a list."""
    return {**record, name: [*record.get(name, ()), {}]}


def drop_row(record: dict[str, Any], row: str) -> dict[str, Any]:
    """Return a record without one row, given as ``allowed[1]``."""
    name, _, position = row.rstrip(']').partition('[')
    rows = list(record.get(name, ()))
    if position.isdigit() and int(position) < len(rows):
        rows.pop(int(position))
    return {**record, name: rows}


class _FieldInfo(NamedTuple):
    """Path of a value, and whether it is required."""

    path: str
    required: bool


def _field(form: Form, schema: Schema, value: Any, field: _FieldInfo) -> str:
    if schema.get('type') == ARRAY:
        items = _resolve(schema['items'], form.definitions)
        if 'properties' in items:
            return _rows(form, items, value or [], field)
        value = '\n'.join(map(str, value or ()))
    label = _label(schema, field)
    return (
        f'<div class="field"><label for="{field.path}">{label}</label>'
        f'{_input(schema, value, field)}{_errors(form, field.path)}'
        f'{_errors_inside(form, field.path)}</div>'
    )


def _rows(form: Form, schema: Schema, rows: Any, field: _FieldInfo) -> str:
    name = field.path
    shown = ''.join(
        f'<fieldset>{render(form, schema, row, f"{name}[{index}]")}'
        f'<button name="act" value="drop {name}[{index}]">Remove</button>'
        f'{_errors(form, f"{name}[{index}]")}</fieldset>'
        for index, row in enumerate(rows)
    )
    return (
        f'<fieldset><legend>{escape(name)}</legend>{_errors(form, name)}{shown}'
        f'<button name="act" value="add {name}">Add</button></fieldset>'
    )


def _input(schema: Schema, value: Any, field: _FieldInfo) -> str:
    named = f'id="{field.path}" name="{field.path}"'
    if schema.get('type') == BOOLEAN:
        checked = ' checked' if value is True else ''
        return f'<input type="checkbox" {named}{checked}>'
    choices = schema.get('enum')
    if choices is not None:
        return f'<select {named}>{_options(choices, value)}</select>'
    text = escape(str(value))
    if schema.get('type') == ARRAY:
        return f'<textarea {named} rows="3">{text}</textarea>'
    return f'<input {named} value="{text}">'


def _options(choices: list[str], value: Any) -> str:
    options = []
    for word in choices:
        selected = ' selected' if word == value else ''
        options.append(f'<option{selected}>{escape(word)}</option>')
    return ''.join(options)


def _label(schema: Schema, field: _FieldInfo) -> str:
    """Return the name of a field, its description and its bounds."""
    name = field.path.rpartition('.')[2]
    bounds = ', '.join(_bounds(schema))
    hint = ' '.join(filter(None, (schema.get('description', ''), bounds)))
    required_mark = ' *' if field.required else ''
    return f'{escape(name)}{required_mark}<small>{escape(hint)}</small>'


def _bounds(schema: Schema) -> Iterator[str]:
    if schema.get('type') == ARRAY:
        yield 'one per line'
    for name, word in (('minimum', 'at least'), ('maximum', 'at most')):
        bound = schema.get(name)
        if bound is not None:
            yield f'{word} {bound}'


def _errors(form: Form, path: str) -> str:
    """Return the errors at a path as HTML and remove them from the form."""
    reasons = form.reasons.pop(path, [])
    return ''.join(map(error_line, reasons))


def error_line(reason: str) -> str:
    """Return an error line as HTML."""
    return f'<p class="wrong" role="alert">{escape(reason)}</p>'


def _errors_inside(form: Form, path: str) -> str:
    """Return the errors of the items of a list as HTML."""
    inside = [key for key in form.reasons if key.startswith(f'{path}[')]
    return ''.join(_errors(form, key) for key in inside)


def _decode_value(
    definitions: Mapping[str, Schema],
    schema: Schema,
    fields: Fields,
    field: _FieldInfo,
) -> Any:
    """Return one value of a submitted form, None if it is left out."""
    kind = schema.get('type')
    if kind == ARRAY:
        return _decode_list(definitions, schema, fields, field.path)
    if kind == BOOLEAN:
        return field.path in fields
    text = fields.get(field.path, '').strip()
    if not text and not field.required:
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
    value = filter(None, lines)
    if items.get('type') in NUMBERS:
        return [_number(text) for text in value]
    return list(value)


def _row_numbers(fields: Fields, path: str) -> set[int]:
    found = (
        ROW.match(name.removeprefix(path))
        for name in fields
        if name.startswith(f'{path}[')
    )
    return {int(match.group(1)) for match in found if match}


def _number(text: str) -> Any:
    if INTEGER.fullmatch(text):
        return int(text)
    return float(text) if DECIMAL.fullmatch(text) else text


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _resolve(schema: Schema, definitions: Mapping[str, Schema]) -> Schema:
    """Return a schema merged with the definition that it refers to."""
    reference = schema.get('$ref', '')
    if not reference:
        return schema
    return {**definitions[reference.rpartition('/')[2]], **schema}
