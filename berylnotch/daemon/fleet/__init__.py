"""Router and controller processes of a fleet on the users' platform."""
