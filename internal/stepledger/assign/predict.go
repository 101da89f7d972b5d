package assign

// historySize is how many answer lengths a History remembers.
const historySize = 512

// defaultTokens is the prediction before any answer is known.
const defaultTokens = 256

// History remembers the lengths of a workload's recent answers. The zero value is empty.
type History struct {
	lengths [historySize]int
	next    int
	count   int
	sum     int
}

// Add records the length of one answer in tokens.
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

// Mean is the mean of the lengths remembered.
func (h *History) Mean() int {
	if h.count == 0 {
		return defaultTokens
	}
	return h.sum / h.count
}

// Siblings is what is known of the other samples of a prompt.
type Siblings struct {
	// Finished counts whole answers and Tokens is the sum of their lengths.
	Finished int
	Tokens   int
	// LongestRunning is the most tokens that an unfinished sibling has so far.
	LongestRunning int
}

// Predict is the expected length of a whole answer, at least 1 and at most maxTokens: the mean over the prompt's finished
// samples and one sample of the workload's mean. A sibling that is still running shows that the prompt allows at least
// its length.
func Predict(siblings Siblings, workloadMean, maxTokens int) int {
	predicted := (siblings.Tokens + workloadMean) / (siblings.Finished + 1)
	predicted = max(predicted, siblings.LongestRunning, 1)
	return min(predicted, maxTokens)
}
