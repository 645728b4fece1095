"""Write the reference page of the declared files from their rules."""

from __future__ import annotations

from pathlib import Path

from crowrudder_model.declared import reference_page

PAGE = Path(__file__).parent.parent / 'docs/reference/declared-files.md'

if __name__ == '__main__':
    PAGE.write_text(reference_page(), encoding='utf-8')
