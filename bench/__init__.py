"""Programs that measure; none of them decides CI."""
