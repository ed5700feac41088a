package tester

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

const (
	// disturbedScripts is the number of scripts whose messages are mixed in one run.
	disturbedScripts = 2
	// disturbedTicks bounds the ticks between two messages of a run.
	disturbedTicks = 5
	// maxDisturbedMessages bounds the messages that a run takes from one script.
	maxDisturbedMessages = 150
)

// Disturb steps controllers through messages of the suite's scripts that are mixed, repeated, and
// changed as they may come over the wire or from the store: empty or missing parts, unknown
// names, values out of range. Messages of the types of own come from the node itself and are not
// changed. It fails the test if a controller panics. The runs are the same each time.
func Disturb[M, E any](t *testing.T, suite Suite[M, E], runs int, own ...any) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(suite.Directory, "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts in %s: %v", suite.Directory, err)
	}
	scripts := make([]disturbedScript, len(paths))
	for i, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		scripts[i].setup = File(archive, "setup")
		for line := range strings.Lines(string(File(archive, "script"))) {
			line = strings.TrimPrefix(strings.TrimSpace(line), "!")
			if line != "" && !strings.HasPrefix(line, "#") {
				scripts[i].lines = append(scripts[i].lines, line)
			}
		}
	}
	seen := map[string]bool{}
	for run := range runs {
		failure, site := disturbOnce(t, suite, scripts, uint64(run), own)
		if failure != "" && !seen[site] {
			seen[site] = true
			t.Errorf("run %d: %s", run, failure)
		}
	}
}

type disturbedScript struct {
	setup []byte
	lines []string
}

func disturbOnce[M, E any](t *testing.T, suite Suite[M, E], scripts []disturbedScript, seed uint64, own []any) (failure, site string) {
	d := disturber{Rand: rand.New(rand.NewPCG(seed, 0))}
	now := Start
	var last any
	defer func() {
		if value := recover(); value != nil {
			stack := string(debug.Stack())
			failure, site = fmt.Sprintf("%v at %s\n%s", value, describe(last), stack), panicSite(stack)
		}
	}()
	first := scripts[d.IntN(len(scripts))]
	controller := suite.New(t, first.setup)
	for _, line := range d.mix(first, scripts) {
		now = now.Add(d.interval())
		for range disturbedTicks {
			wake := controller.Wake()
			if wake.IsZero() || wake.After(now) {
				break
			}
			last = suite.Tick
			controller.Step(wake, suite.Tick)
		}
		_, message, err := suite.parse(line)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(own, func(one any) bool { return reflect.TypeOf(one) == reflect.TypeOf(message) }) && d.IntN(2) == 0 {
			message = changeMessage(d, message)
		}
		last = message
		controller.Step(now, message)
	}
	return "", ""
}

// panicSite returns the line of a stack that follows the call of panic.
func panicSite(stack string) string {
	_, after, _ := strings.Cut(stack, "\npanic(")
	for line := range strings.Lines(after) {
		if strings.Contains(line, "/internal/") || strings.Contains(line, "/platform/") {
			return strings.Fields(line)[0]
		}
	}
	return stack
}

type disturber struct{ *rand.Rand }

// mix returns lines of a script and of others in an order that is mostly theirs.
func (d disturber) mix(first disturbedScript, scripts []disturbedScript) []string {
	queues := [][]string{first.lines}
	for range disturbedScripts - 1 {
		queues = append(queues, scripts[d.IntN(len(scripts))].lines)
	}
	var lines []string
	for len(queues) > 0 && len(lines) < maxDisturbedMessages {
		i := d.IntN(len(queues))
		if len(queues[i]) == 0 {
			queues = append(queues[:i], queues[i+1:]...)
			continue
		}
		lines = append(lines, queues[i][0])
		if d.IntN(10) > 0 {
			queues[i] = queues[i][1:]
		}
	}
	return lines
}

func (d disturber) interval() time.Duration {
	switch d.IntN(20) {
	case 0:
		return []time.Duration{time.Minute, time.Hour}[d.IntN(2)]
	case 1, 2, 3, 4:
		return time.Duration(d.IntN(2000)) * time.Millisecond
	case 5, 6, 7, 8, 9:
		return time.Duration(d.IntN(100)) * time.Millisecond
	default:
		return 0
	}
}

// changeMessage returns a message of which some parts are changed. The pointers in the message
// itself are not those of a wire form: the node never sends nil.
func changeMessage[M any](d disturber, message M) M {
	changed := reflect.New(reflect.TypeOf(message)).Elem()
	changed.Set(reflect.ValueOf(message))
	for i := range changed.NumField() {
		field := changed.Field(i)
		if field.Kind() == reflect.Pointer {
			field = field.Elem()
		}
		d.change(field)
	}
	return changed.Interface().(M)
}

var timeType = reflect.TypeFor[time.Time]()

// change changes some parts of a value.
func (d disturber) change(value reflect.Value) {
	if !value.IsValid() || !value.CanSet() {
		return
	}
	if d.IntN(12) == 0 {
		d.replace(value)
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		if value.Type() == timeType {
			return
		}
		for i := range value.NumField() {
			d.change(value.Field(i))
		}
	case reflect.Pointer:
		if !value.IsNil() {
			d.change(value.Elem())
		}
	case reflect.Slice:
		if n := value.Len(); n > 0 && d.IntN(6) == 0 {
			i := d.IntN(n)
			value.Set(reflect.AppendSlice(value.Slice3(0, i, i), value.Slice(i+1, n)))
		}
		for i := range value.Len() {
			d.change(value.Index(i))
		}
	case reflect.Map:
		for _, key := range d.keys(value) {
			if d.IntN(6) == 0 {
				value.SetMapIndex(key, reflect.Value{})
				continue
			}
			element := reflect.New(value.Type().Elem()).Elem()
			element.Set(value.MapIndex(key))
			d.change(element)
			value.SetMapIndex(key, element)
		}
	}
}

// keys returns the keys of a map in a fixed order.
func (d disturber) keys(value reflect.Value) []reflect.Value {
	return slices.SortedFunc(slices.Values(value.MapKeys()), func(a, b reflect.Value) int {
		return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
}

// replace replaces a value by one that may be out of range.
func (d disturber) replace(value reflect.Value) {
	kind := value.Kind()
	switch {
	case value.Type() == timeType:
		times := []time.Time{{}, Start, Start.Add(-time.Hour), Start.Add(time.Hour)}
		value.Set(reflect.ValueOf(times[d.IntN(len(times))]))
	case kind == reflect.Slice && value.Len() > 0 && d.IntN(2) == 0:
		value.Set(reflect.AppendSlice(value.Slice3(0, value.Len(), value.Len()), value.Slice(0, 1+d.IntN(value.Len()))))
	case kind == reflect.Slice && d.IntN(2) == 0:
		value.Set(reflect.Append(value, reflect.Zero(value.Type().Elem())))
	case value.CanInt():
		numbers := []int64{-1, 0, 1, 2, 1_000_000_000, 1 << 62}
		if number := numbers[d.IntN(len(numbers))]; !value.OverflowInt(number) {
			value.SetInt(number)
		}
	case value.CanFloat():
		numbers := []float64{-1, 0, 0.5, 1, 1e300}
		value.SetFloat(numbers[d.IntN(len(numbers))])
	case kind == reflect.String && d.IntN(2) == 0:
		value.SetString("unknown")
	case kind == reflect.Bool:
		value.SetBool(!value.Bool())
	case kind == reflect.Pointer && value.IsNil():
		value.Set(reflect.New(value.Type().Elem()))
	default:
		value.SetZero()
	}
}
