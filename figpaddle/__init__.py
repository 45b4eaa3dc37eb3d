"""Figpaddle: a multi-region inference gateway and a library of coordination parts.

The decision packages (``coordination``, ``routing``, ``ledger``, ``deployment``) hold pure
state machines that import no sockets, clocks or files, and can be embedded on their own. The
``daemon`` package runs them as a process and ``tool`` is the operators' command line.
"""

__version__ = "0.1.0"
