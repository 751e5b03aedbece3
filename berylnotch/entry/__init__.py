"""Request path of a fleet's router: choice of targets, attempts, answers."""
