package logger

import "time"

// maxAge exceeds every real age. The age of information that was never
// received is computed from the zero time and is longer.
const maxAge = 10 * 365 * 24 * time.Hour

// FormatAge formats the age of information as text for logs. It returns
// "never" if the information was never received.
func FormatAge(age time.Duration) string {
	if age > maxAge {
		return "never"
	}
	return age.String()
}
