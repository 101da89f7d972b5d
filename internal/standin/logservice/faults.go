package logservice

import "time"

// appendFaults says how the next appends fail.
type appendFaults struct {
	afterEffectNext         int
	afterEffectProbability  float64
	beforeEffectNext        int
	beforeEffectProbability float64
	delayedNext             int
	delay                   time.Duration
}

// appendOutcome is how one append fails, if at all.
type appendOutcome struct {
	lostBeforeEffect bool
	lostAfterEffect  bool
	effectDelay      time.Duration
}

// LoseAnswers makes the next count appends take effect and answer ErrUnavailable all the same.
func (s *Service) LoseAnswers(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.afterEffectNext = count
}

// LoseAnswersAtRandom does as LoseAnswers to each append with probability. 0 ends it.
func (s *Service) LoseAnswersAtRandom(probability float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.afterEffectProbability = probability
}

// LoseRequests makes the next count appends answer ErrUnavailable and have no effect.
func (s *Service) LoseRequests(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.beforeEffectNext = count
}

// LoseRequestsAtRandom does as LoseRequests to each append with probability. 0 ends it.
func (s *Service) LoseRequestsAtRandom(probability float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.beforeEffectProbability = probability
}

// DelayEffects makes the next count appends answer ErrUnavailable at once and take effect delay later.
func (s *Service) DelayEffects(count int, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.delayedNext = count
	s.faults.delay = delay
}

func (s *Service) nextOutcome() appendOutcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.beforeEffectNext > 0 {
		s.faults.beforeEffectNext--
		return appendOutcome{lostBeforeEffect: true}
	}
	if s.faults.delayedNext > 0 {
		s.faults.delayedNext--
		return appendOutcome{effectDelay: s.faults.delay}
	}
	if s.faults.afterEffectNext > 0 {
		s.faults.afterEffectNext--
		return appendOutcome{lostAfterEffect: true}
	}
	return appendOutcome{
		lostBeforeEffect: s.random.Float64() < s.faults.beforeEffectProbability,
		lostAfterEffect:  s.random.Float64() < s.faults.afterEffectProbability,
	}
}
