"""Makes the standard library cooperative; import it first, in a main module.

eventlet announces its own deprecation with a warning at import. The house
style asks for eventlet, so this one warning is quieted; see docs/STYLE.md.
"""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402  (the filter must come before)

eventlet.monkey_patch()
