"""Generates the reference pages from the code: settings and schema."""

import json
import pathlib

from beryllug.parsing import document, settings_page

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def pages() -> dict[pathlib.Path, str]:
    """Return the text of each generated page by its path."""
    schema = json.dumps(document.schema(), indent=2)
    return {
        DOCS / 'SETTINGS.md': settings_page.render(),
        DOCS / 'document.schema.json': f'{schema}\n',
    }


def main() -> None:
    """Write all generated pages."""
    for path, text in pages().items():
        path.write_text(text, encoding='utf-8')


if __name__ == '__main__':
    main()
