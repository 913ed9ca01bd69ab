"""Non-idempotent requests, from the face to the one backend server."""
