package assign

// historySize is the number of answer lengths that a History keeps.
const historySize = 512

// defaultTokens is the mean length, in tokens, assumed for an empty History.
const defaultTokens = 256

// History keeps the lengths of a workload's most recent answers. The zero value is an empty history.
type History struct {
	lengths [historySize]int
	next    int
	count   int
	sum     int
}

// Add records the length of an answer in tokens.
func (h *History) Add(tokens int) {
	if h.count == historySize {
		h.sum -= h.lengths[h.next]
	} else {
		h.count++
	}
	h.lengths[h.next] = tokens
	h.sum += tokens
	h.next = (h.next + 1) % historySize
}

// Mean returns the mean of the recorded lengths in tokens.
func (h *History) Mean() int {
	if h.count == 0 {
		return defaultTokens
	}
	return h.sum / h.count
}

// Siblings summarizes the other samples of a prompt.
type Siblings struct {
	// Finished is the number of complete answers and Tokens the sum of their lengths.
	Finished int
	Tokens   int
	// LongestRunning is the max number of tokens that an unfinished sibling has so far.
	LongestRunning int
}

// Predict returns the expected length of a complete answer, from 1 to maxTokens: the mean over the prompt's finished
// samples and one more sample of the workload's mean length. The prediction is at least the length that a running sibling
// has reached.
func Predict(siblings Siblings, workloadMean, maxTokens int) int {
	predicted := (siblings.Tokens + workloadMean) / (siblings.Finished + 1)
	predicted = max(predicted, siblings.LongestRunning, 1)
	return min(predicted, maxTokens)
}
