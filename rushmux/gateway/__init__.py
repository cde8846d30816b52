"""The platform's gateway: client listener, node connection pool, discovery, configuration, the process."""
