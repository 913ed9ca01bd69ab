"""HTTP client and connection pool for backend servers."""
