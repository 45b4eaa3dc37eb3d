"""Adds the folder of the platform adapter to ``sys.path``, as the adapter's programs do."""

from __future__ import annotations

import pathlib
import sys

#: Folder of the adapter. It is not a package: an ``__init__.py`` in it would shadow the standard
#: library's ``platform`` module.
FOLDER = pathlib.Path(__file__).parent.parent / "platform"

if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
