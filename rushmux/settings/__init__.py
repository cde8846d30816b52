"""Settings: the deployment file and its checks, the fleet's part of it, the platform's settings."""
