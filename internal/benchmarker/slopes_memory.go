package benchmarker

import "context"

func (s slopes) memory(ctx context.Context) ([]Table, error) { return nil, ctx.Err() }
