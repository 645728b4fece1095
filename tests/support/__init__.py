"""What several areas' tests share."""
