package catalog

import "time"

// SetNow replaces the clock of a copy.
func (c *Content) SetNow(now func() time.Time) { c.now = now }
