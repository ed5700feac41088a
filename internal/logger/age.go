package logger

import "time"

// maxAge is above all ages of beliefs that a node can have.
const maxAge = 10 * 365 * 24 * time.Hour

// FormatAge formats the age of a belief; one that was never held has none.
func FormatAge(age time.Duration) string {
	if age > maxAge {
		return "never"
	}
	return age.String()
}
