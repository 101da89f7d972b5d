package gateway

import (
	"fmt"
	"strconv"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

func pageSize(page *v1.Page) (int, error) {
	size := int(page.GetSize())
	if size < 0 || size > maxPageSize {
		return 0, invalidArgument(fmt.Sprintf("page size is %d; allowed are 0 to %d", size, maxPageSize))
	}
	if size == 0 {
		return defaultPageSize, nil
	}
	return size, nil
}

// numberToken parses a page token that is a position; an empty token is 0.
func numberToken(token string) (int64, error) {
	if token == "" {
		return 0, nil
	}
	position, err := strconv.ParseInt(token, 10, 64)
	if err != nil || position < 0 {
		return 0, invalidArgument("page token is not one that this API gave")
	}
	return position, nil
}

func formatNumberToken(position int64) string {
	if position <= 0 {
		return ""
	}
	return strconv.FormatInt(position, 10)
}

// pageAfter returns at most size items whose key is greater than the token, and the token of the next page. Items must
// be sorted by key, and keys must be unique.
func pageAfter[T any](items []T, keyOf func(T) string, token string, size int) (page []T, next string) {
	for _, item := range items {
		if token != "" && keyOf(item) <= token {
			continue
		}
		if len(page) == size {
			return page, keyOf(page[size-1])
		}
		page = append(page, item)
	}
	return page, ""
}
