"""Puts the adapter's folder on the path, as its programs find it there."""

from __future__ import annotations

import pathlib
import sys

#: Folder of the adapter. It is no package: an ``__init__.py`` in it would hide the standard
#: library's module of the same name.
FOLDER = pathlib.Path(__file__).parent.parent / "platform"

if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
