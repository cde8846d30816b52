"""The deployment file and its validation, the fleet policy in it, and the platform's settings."""
