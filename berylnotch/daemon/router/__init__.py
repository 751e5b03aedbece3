"""Shell of a router: serves callers and follows the control state."""
