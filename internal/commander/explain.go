package commander

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/explainer"
	"toucanhitch.example/toucanhitch/internal/messenger"
)

// ExplainCommand shows where a node on the users' platform would send a request now.
type ExplainCommand struct {
	Node         string `arg:"--node" help:"peer address of the node to ask" placeholder:"IP:PORT"`
	Route        string `arg:"--route" help:"name of the route" placeholder:"NAME"`
	Host         string `arg:"--host" help:"host of the request, with --path instead of --route" placeholder:"HOST"`
	Path         string `arg:"--path" help:"path of the request" placeholder:"PATH"`
	Workspace    string `arg:"--workspace" help:"workspace of the request; not needed for public routes" placeholder:"NAME"`
	Model        string `arg:"--model" help:"model, with /ADAPTER for an adapter of it" placeholder:"MODEL[/ADAPTER]"`
	PromptTokens int    `arg:"--prompt-tokens" help:"length of the prompt" placeholder:"N"`
	OutputTokens int    `arg:"--output-tokens" help:"length of the answer" placeholder:"N"`
	Prefix       string `arg:"--prefix" help:"parts at the beginning of the prompt, in order" placeholder:"ID:TOKENS,..."`
	JSON         bool   `arg:"--json" help:"print the answer as JSON; durations are in nanoseconds"`
}

func (c *ExplainCommand) question() (explainer.Question, error) {
	var errs settingErrors
	errs.checkAddress("--node", c.Node)
	if err := errs.err(); err != nil {
		return explainer.Question{}, err
	}
	parts, err := explainer.ParsePrefix(c.Prefix)
	if err != nil {
		return explainer.Question{}, err
	}
	question := explainer.Question{
		Route: c.Route, Host: c.Host, Path: c.Path, Workspace: c.Workspace,
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Prefix: parts,
	}
	question.Model, question.Adapter, _ = strings.Cut(c.Model, "/")
	return question, question.Check()
}

func (c *ExplainCommand) run(env environment) error {
	question, err := c.question()
	if err != nil {
		return err
	}
	client, cleanUp := messenger.NewClient(env.clock)
	defer cleanUp()
	answer, err := client.Explain(env.ctx, c.Node, question)
	if err != nil {
		return err
	}
	askHolder(env, client, question, &answer)
	if c.JSON {
		return printJSON(env, answer)
	}
	printRequest(env, answer)
	for _, service := range answer.Services {
		if err := printService(env, service); err != nil {
			return err
		}
	}
	return nil
}

// askHolder asks the holder where it would load the models that no replica has. If it cannot
// be asked, the answer names it only.
func askHolder(env environment, client *messenger.Client, question explainer.Question, answer *explainer.Answer) {
	for i, service := range answer.Services {
		if service.Load == nil || service.Load.Holding || service.Load.HolderAddress == "" {
			continue
		}
		other, err := client.Explain(env.ctx, service.Load.HolderAddress, question)
		if err != nil {
			fmt.Fprintf(env.stderr, "The holder %s did not answer: %v\n", service.Load.Holder, err)
			return
		}
		index := slices.IndexFunc(other.Services, func(one explainer.Service) bool { return one.Name == service.Name })
		if index >= 0 && other.Services[index].Load != nil && other.Services[index].Load.Holding {
			answer.Services[i].Load.Explanation = other.Services[index].Load.Explanation
		}
	}
}

func printRequest(env environment, answer explainer.Answer) {
	workspace := "workspace " + answer.Workspace
	if answer.Public {
		workspace = "public"
	}
	dataCentres := "all"
	if len(answer.DataCentres) > 0 {
		dataCentres = strings.Join(answer.DataCentres, ", ")
	}
	fmt.Fprintf(env.stdout, "Node %s, route %s, %s, rank %d, data centres: %s\n", answer.Node, answer.Route, workspace, answer.Rank, dataCentres)
	replicasAge := "not known"
	if answer.ReplicasKnown {
		replicasAge = formatDuration(answer.ReplicasAge)
	}
	fmt.Fprintf(env.stdout, "Age of configuration %d: %s, of the list of replicas: %s\n", answer.ConfigurationVersion, formatDuration(answer.ConfigurationAge), replicasAge)
	quota := answer.Quota
	switch {
	case quota.Rate == 0:
		fmt.Fprintln(env.stdout, "Quota: no limit")
	default:
		fmt.Fprintf(env.stdout, "Quota: %.0f of %.0f units left at %.0f a second, the request takes %.0f; taken with probability %.2f", quota.Level, quota.Capacity, quota.Rate, quota.Units, quota.Probability)
		if quota.RetryAfter > 0 {
			fmt.Fprintf(env.stdout, ", certain in %s", formatDuration(quota.RetryAfter))
		}
		fmt.Fprintf(env.stdout, "; %d requests wait for it\n", quota.Waiting)
	}
	if answer.Draining {
		fmt.Fprintln(env.stdout, "The node shuts down.")
	}
	if answer.KeysNotCurrent {
		fmt.Fprintln(env.stdout, "Refused: keys were last known to be current too long ago.")
	}
	if answer.NoRegion != "" {
		fmt.Fprintf(env.stdout, "Refused: %s\n", answer.NoRegion)
	}
}

func printService(env environment, service explainer.Service) error {
	choice := service.Choice
	fmt.Fprintf(env.stdout, "\nService %s (%.0f%% of the route): %s", service.Name, 100*service.Share, choice.Outcome)
	if choice.Refused != nil {
		fmt.Fprintf(env.stdout, ": %s; retry after %s", choice.Refused.Reason, formatDuration(choice.Refused.RetryAfter))
	}
	holder := "never heard"
	if choice.HolderKnown {
		holder = "heard " + formatDuration(choice.HolderAge) + " ago"
	}
	fmt.Fprintf(env.stdout, "\nHolder: %s. %s\n", holder, describeQueue(choice.Queue))
	if choice.Loading {
		fmt.Fprintf(env.stdout, "Load in progress, %s\n", describeLoadEnd(choice.LoadEndsIn))
	}
	if service.Load != nil {
		fmt.Fprintln(env.stdout, describeLoad(*service.Load))
	}
	if choice.WithoutModel > 0 {
		fmt.Fprintf(env.stdout, "Other replicas, without the model: %d\n", choice.WithoutModel)
	}
	if len(choice.Replicas) == 0 {
		return nil
	}
	return printTable(env, "REPLICA\tDATA CENTRE\tCHANCE\tFIRST EVENT\tEND\tCOST\tFREE\tRUNNING\tLIMIT\tSTATE\tWHY NOT", choice.Replicas, describeReplica)
}

func describeReplica(one balancer.ReplicaExplanation) string {
	state := []string{}
	for _, item := range []struct {
		set  bool
		text string
	}{
		{one.ColdFor > 0, "cold for " + formatDuration(one.ColdFor)},
		{one.Evacuated, "evacuated"},
		{one.Leaving, "leaving"},
		{one.Suspect, "suspect"},
		{one.Preferred, "preferred for the prefix"},
		{one.Cached > 0, fmt.Sprintf("keeps %d tokens", one.Cached)},
	} {
		if item.set {
			state = append(state, item.text)
		}
	}
	why := string(one.LeftOut) + string(one.Lost)
	switch {
	case one.HeldBack:
		why = strings.TrimPrefix(why+"; its limit would hold the request back", "; ")
	case one.ByChance:
		why = strings.TrimPrefix(why+"; its limit may hold the request back", "; ")
	}
	known := ""
	if !one.Estimate.Known {
		known = "?"
	}
	limit := "-"
	if one.RateLimit > 0 {
		limit = fmt.Sprintf("%.3g/s", one.RateLimit)
	}
	return fmt.Sprintf("%s\t%s\t%.0f%%\t%s%s\t%s%s\t%s\t%.1f of %d\t%d + %d\t%s\t%s\t%s", one.Replica, one.DataCentre, 100*one.Probability,
		formatDuration(one.Estimate.FirstEvent), known, formatDuration(one.Estimate.End), known, formatDuration(one.Cost),
		one.Free, one.Slots, one.Running, one.RunningElsewhere, limit, orDash(strings.Join(state, ", ")), orDash(why))
}

func describeQueue(queue balancer.QueueExplanation) string {
	if len(queue.Waiting) == 0 {
		return "No requests wait for the model."
	}
	var ranks []string
	for _, rank := range queue.Waiting {
		ranks = append(ranks, fmt.Sprintf("%d of rank %d", rank.Waiting, rank.Rank))
	}
	text := fmt.Sprintf("Waiting: %s; %.0f tokens go before the request", strings.Join(ranks, ", "), queue.TokensAhead)
	if queue.Pace > 0 {
		text += fmt.Sprintf(", at %.0f a second", queue.Pace)
	}
	if queue.RoomKnown {
		text += ", room expected in " + formatDuration(queue.RoomIn)
	}
	return text + "."
}

func describeLoadEnd(in time.Duration) string {
	if in <= 0 {
		return "its end is not known"
	}
	return "expected to end in " + formatDuration(in)
}

func describeLoad(load explainer.Load) string {
	switch {
	case !load.Holding && load.Holder == "":
		return "Load: no holder is known, and only the holder knows where it would load the model."
	case !load.Holding:
		return fmt.Sprintf("Load: only the holder, %s, knows where it would load the model.", load.Holder)
	case load.Obstacle != "":
		return fmt.Sprintf("Load: none now: %s.", load.Obstacle)
	}
	what := "the model from " + load.Source
	if load.AdapterOnly {
		what = "the adapter"
	}
	text := fmt.Sprintf("Load: %s (%s) would load %s", load.Replica, load.DataCentre, what)
	if len(load.Unloads) > 0 {
		text += " after unloading " + strings.Join(load.Unloads, ", ")
	}
	if load.OrdersAllowedIn > 0 {
		text += ", in " + formatDuration(load.OrdersAllowedIn) + " at the earliest"
	}
	return text + "."
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
