"""The homes of shards that this daemon holds."""
