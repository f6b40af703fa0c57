package gateway

import (
	"time"
)

// boundByStop bounds the time of a request by the planned stop of this box, so that its caller gets an
// answer and not a closed connection.
func (s *Server) boundByStop(q *query) {
	if end, stopping := s.core.StopDeadline(); stopping && end.Before(q.deadline) {
		q.deadline = end
	}
}

// endsAfterStop reports whether a request that was not sent yet is not expected to end before the planned
// stop of this box.
func (s *Server) endsAfterStop(q *query) bool {
	end, stopping := s.core.StopDeadline()
	return stopping && time.Until(end) < s.usualTimes.Needed(q.service.Name)
}

// recordTime records the time that a request took which was served.
func (s *Server) recordTime(q *query) {
	s.usualTimes.Add(q.service.Name, time.Since(q.start))
}
