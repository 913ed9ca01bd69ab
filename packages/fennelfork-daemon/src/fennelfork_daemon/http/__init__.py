"""HTTP server: connections, bodies, routes and problem documents."""
