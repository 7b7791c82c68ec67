"""A hand-held clock, a fake network and fakes of the platform, for whole nodes."""
