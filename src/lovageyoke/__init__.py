"""A load balancer for servers whose load shifts in milliseconds."""

from __future__ import annotations

import os

__version__ = "0.1.0"

# The package may lie behind a link that a new build replaces while this
# process is still importing modules; all of them must be of one build.
__path__ = [os.path.realpath(each) for each in __path__]
