"""The version of the program.

Stands here and not in the metadata of the package: a daemon that runs from a
copy of the sources has none.
"""

from typing import Final

VERSION: Final = '0.1.0'
