"""Version of the program.

The version is not read from package metadata, because a daemon that runs from
a source tree has no metadata.
"""

from typing import Final

VERSION: Final = '0.1.0'
