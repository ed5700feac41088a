package messenger

import (
	"context"
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
)

const limitsPath = "/peer/v1/limits"

// limitsRequest is an exchange between a holder of tokens and their owner.
type limitsRequest struct {
	Holder   string
	Session  uint64
	Epoch    uint64
	Sequence uint64
	Received uint64
	Accounts []limitsAccount `json:",omitempty"`
}

type limitsAccount struct {
	Workspace string
	Grants    []limitsUse    `json:",omitempty"`
	Donated   float64        `json:",omitempty"`
	Overdrawn float64        `json:",omitempty"`
	Refunds   []limitsRefund `json:",omitempty"`
	Need      float64        `json:",omitempty"`
	Waiting   float64        `json:",omitempty"`
	Ahead     float64        `json:",omitempty"`
}

type limitsUse struct {
	Grant    uint64
	Spent    float64
	Returned float64
}

type limitsRefund struct {
	SinceNS int64
	Tokens  float64
}

type limitsAnswer struct {
	Refused  bool `json:",omitempty"`
	Epoch    uint64
	StampNS  int64
	Standing limiter.Standing `json:",omitempty"`
	Grants   []limitsGrant    `json:",omitempty"`
	Short    []string         `json:",omitempty"`
}

type limitsGrant struct {
	Workspace    string
	Tokens       float64
	RetryAfterNS int64 `json:",omitempty"`
}

// Lend carries an exchange to the owner at an address.
func (c *Client) Lend(ctx context.Context, address string, exchange limiter.Exchange) (limiter.Answer, error) {
	answer, err := Exchange[limitsRequest, limitsAnswer](ctx, c, address, limitsPath, encodeExchange(exchange))
	if err != nil {
		return limiter.Answer{}, err
	}
	return answer.decode(), nil
}

// HandleLimits serves exchanges.
func HandleLimits(mux *http.ServeMux, lend func(context.Context, limiter.Exchange) (limiter.Answer, error)) {
	mux.Handle("POST "+limitsPath, Handle(func(ctx context.Context, request limitsRequest) (limitsAnswer, error) {
		answer, err := lend(ctx, request.decode())
		if err != nil {
			return limitsAnswer{}, err
		}
		return encodeAnswer(answer), nil
	}))
}

func encodeExchange(exchange limiter.Exchange) limitsRequest {
	request := limitsRequest{
		Holder:   exchange.Holder,
		Session:  exchange.Session,
		Epoch:    exchange.Epoch,
		Sequence: exchange.Sequence,
		Received: exchange.Received,
	}
	for _, account := range exchange.Accounts {
		request.Accounts = append(request.Accounts, encodeAccount(account))
	}
	return request
}

func encodeAccount(account limiter.Account) limitsAccount {
	wire := limitsAccount{
		Workspace: account.Workspace,
		Donated:   account.Donated,
		Overdrawn: account.Overdrawn,
		Need:      account.Need,
		Waiting:   account.Waiting,
		Ahead:     account.Ahead,
	}
	for _, use := range account.Grants {
		wire.Grants = append(wire.Grants, limitsUse(use))
	}
	for _, refund := range account.Refunds {
		wire.Refunds = append(wire.Refunds, limitsRefund{SinceNS: int64(refund.Since), Tokens: refund.Tokens})
	}
	return wire
}

func (r limitsRequest) decode() limiter.Exchange {
	exchange := limiter.Exchange{
		Holder:   r.Holder,
		Session:  r.Session,
		Epoch:    r.Epoch,
		Sequence: r.Sequence,
		Received: r.Received,
	}
	for _, account := range r.Accounts {
		exchange.Accounts = append(exchange.Accounts, account.decode())
	}
	return exchange
}

func (a limitsAccount) decode() limiter.Account {
	account := limiter.Account{
		Workspace: a.Workspace,
		Donated:   a.Donated,
		Overdrawn: a.Overdrawn,
		Need:      a.Need,
		Waiting:   a.Waiting,
		Ahead:     a.Ahead,
	}
	for _, use := range a.Grants {
		account.Grants = append(account.Grants, limiter.GrantUse(use))
	}
	for _, refund := range a.Refunds {
		account.Refunds = append(account.Refunds, limiter.Refund{Since: time.Duration(refund.SinceNS), Tokens: refund.Tokens})
	}
	return account
}

func encodeAnswer(answer limiter.Answer) limitsAnswer {
	wire := limitsAnswer{
		Refused:  answer.Refused,
		Epoch:    answer.Epoch,
		StampNS:  int64(answer.Stamp),
		Standing: answer.Standing,
		Short:    answer.Short,
	}
	for _, grant := range answer.Grants {
		wire.Grants = append(wire.Grants, limitsGrant{
			Workspace: grant.Workspace, Tokens: grant.Tokens, RetryAfterNS: int64(grant.RetryAfter),
		})
	}
	return wire
}

func (a limitsAnswer) decode() limiter.Answer {
	answer := limiter.Answer{
		Refused:  a.Refused,
		Epoch:    a.Epoch,
		Stamp:    time.Duration(a.StampNS),
		Standing: a.Standing,
		Short:    a.Short,
	}
	for _, grant := range a.Grants {
		answer.Grants = append(answer.Grants, limiter.Grant{
			Workspace: grant.Workspace, Tokens: grant.Tokens, RetryAfter: time.Duration(grant.RetryAfterNS),
		})
	}
	return answer
}
