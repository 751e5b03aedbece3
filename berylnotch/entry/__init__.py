"""Request path of a router: target selection, attempts and responses."""
