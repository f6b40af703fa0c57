package node

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/decision"
)

const reloadInterval = time.Second // between two checks for changed settings

// runReload starts a task that polls for changed settings and reloads them on request.
func (n *Node) runReload(ctx context.Context) {
	n.tasks.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(reloadInterval):
				if n.adapter.SettingsChanged() || n.reloadFailed {
					n.reload(false)
				}
			case <-n.reloadRequests:
				n.reload(true)
			}
		}
	})
}

// Reload requests a reload of the settings.
func (n *Node) Reload() {
	select {
	case n.reloadRequests <- struct{}{}:
	default: // a reload is pending
	}
}

// reload applies changed bounds. All other settings stay as at the start.
func (n *Node) reload(requested bool) {
	s, err := n.adapter.ReadSettings()
	n.reloadFailed = err != nil
	if err != nil {
		n.record(decision.Event{
			Kind:   decision.Reload,
			Reason: "settings not usable, the last good ones stay",
			Detail: err.Error(),
		})
		return
	}
	if s.Bounds == n.bounds && !requested {
		return
	}
	n.bounds = s.Bounds
	_ = n.state.Do(func(st *state) { // it fails only when the box has ended
		st.budget.SetLimit(retryTerms(s.Bounds))
		st.view.Pacer().SetLimit(coldTerms(s.Bounds))
		st.links.mbps = s.Bounds.RegionLinkMbps
		n.dispatch(st)
	})
	n.record(decision.Event{
		Kind:   decision.Reload,
		Reason: "settings taken in",
	})
}
