package messenger

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/limiter"
)

// LimitsPath is the HTTP path of token exchanges at a node's peer address.
const LimitsPath = "/peer/v1/limits"

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
	Grants    []limitsGrantUse `json:",omitempty"`
	Used      float64          `json:",omitempty"`
	Donated   float64          `json:",omitempty"`
	Overdrawn float64          `json:",omitempty"`
	Refunds   []limitsRefund   `json:",omitempty"`
	Need      float64          `json:",omitempty"`
	Waiting   float64          `json:",omitempty"`
	Ahead     float64          `json:",omitempty"`
}

type limitsGrantUse struct {
	Grant    uint64
	Spent    float64 `json:",omitempty"`
	Returned float64 `json:",omitempty"`
}

type limitsRefund struct {
	// Since is a Stamp of the owner, for example "1m2.003s".
	Since  string
	Tokens float64
}

type limitsAnswer struct {
	Refused bool `json:",omitempty"`
	Epoch   uint64
	Session uint64 `json:",omitempty"`
	// Stamp is the time since the start of the owner's epoch.
	Stamp    string
	Standing string        `json:",omitempty"`
	Grants   []limitsGrant `json:",omitempty"`
	Short    []string      `json:",omitempty"`
	// Attained is rounded to whole tokens.
	Attained []limitsAttained `json:",omitempty"`
}

type limitsAttained struct {
	Workspace string
	Tokens    int64
}

type limitsGrant struct {
	Workspace  string
	Tokens     float64 `json:",omitempty"`
	RetryAfter string  `json:",omitempty"`
}

// ExchangeLimits sends an exchange to the limits owner at address and returns
// its answer.
func (c *Client) ExchangeLimits(ctx context.Context, address string, exchange limiter.Exchange) (limiter.Answer, error) {
	answer, err := Exchange[limitsRequest, limitsAnswer](ctx, c, address, LimitsPath, encodeExchange(exchange))
	if err != nil {
		return limiter.Answer{}, err
	}
	return decodeAnswer(answer)
}

// HandleLimits registers the handler of exchanges, which answer responds to.
func HandleLimits(mux *http.ServeMux, answer func(context.Context, limiter.Exchange) (limiter.Answer, error)) {
	mux.Handle("POST "+LimitsPath, Handle(func(ctx context.Context, request limitsRequest) (limitsAnswer, error) {
		exchange, err := decodeExchange(request)
		if err != nil {
			return limitsAnswer{}, err
		}
		result, err := answer(ctx, exchange)
		if err != nil {
			return limitsAnswer{}, err
		}
		return encodeAnswer(result), nil
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
	encoded := limitsAccount{
		Workspace: account.Workspace,
		Used:      account.Used,
		Donated:   account.Donated,
		Overdrawn: account.Overdrawn,
		Need:      account.Need,
		Waiting:   account.Waiting,
		Ahead:     account.Ahead,
	}
	for _, use := range account.Grants {
		encoded.Grants = append(encoded.Grants, limitsGrantUse(use))
	}
	for _, refund := range account.Refunds {
		encoded.Refunds = append(encoded.Refunds, limitsRefund{Since: refund.Since.String(), Tokens: refund.Tokens})
	}
	return encoded
}

func decodeExchange(request limitsRequest) (limiter.Exchange, error) {
	exchange := limiter.Exchange{
		Holder:   request.Holder,
		Session:  request.Session,
		Epoch:    request.Epoch,
		Sequence: request.Sequence,
		Received: request.Received,
	}
	if request.Holder == "" || request.Epoch == 0 || request.Sequence == 0 {
		return exchange, merry.Errorf("Holder, Epoch and Sequence are required; got %q, %d and %d", request.Holder, request.Epoch, request.Sequence)
	}
	for index, account := range request.Accounts {
		decoded, err := decodeAccount(account)
		if err != nil {
			return exchange, merry.Errorf("Accounts[%d].%w", index, err)
		}
		exchange.Accounts = append(exchange.Accounts, decoded)
	}
	return exchange, nil
}

// decodeAccount rejects negative numbers, which would create tokens.
func decodeAccount(account limitsAccount) (limiter.Account, error) {
	decoded := limiter.Account{
		Workspace: account.Workspace,
		Used:      account.Used,
		Donated:   account.Donated,
		Overdrawn: account.Overdrawn,
		Need:      account.Need,
		Waiting:   account.Waiting,
		Ahead:     account.Ahead,
	}
	if min(account.Used, account.Donated, account.Overdrawn, account.Need, account.Waiting, account.Ahead) < 0 {
		return decoded, merry.New("Used, Donated, Overdrawn, Need, Waiting and Ahead must be at least 0")
	}
	for index, use := range account.Grants {
		if min(use.Spent, use.Returned) < 0 {
			return decoded, merry.Errorf("Grants[%d]: Spent and Returned must be at least 0; got %g and %g", index, use.Spent, use.Returned)
		}
		decoded.Grants = append(decoded.Grants, limiter.GrantUse(use))
	}
	for index, refund := range account.Refunds {
		since, err := time.ParseDuration(refund.Since)
		if err != nil || since < 0 || refund.Tokens < 0 {
			return decoded, merry.Errorf("Refunds[%d]: Since must be a duration and, like Tokens, at least 0; got %q and %g", index, refund.Since, refund.Tokens)
		}
		decoded.Refunds = append(decoded.Refunds, limiter.Refund{Since: since, Tokens: refund.Tokens})
	}
	return decoded, nil
}

func encodeAnswer(answer limiter.Answer) limitsAnswer {
	encoded := limitsAnswer{
		Refused:  answer.Refused,
		Epoch:    answer.Epoch,
		Session:  answer.Session,
		Stamp:    answer.Stamp.String(),
		Standing: string(answer.Standing),
		Short:    answer.Short,
	}
	for _, grant := range answer.Grants {
		item := limitsGrant{Workspace: grant.Workspace, Tokens: grant.Tokens}
		if grant.RetryAfter > 0 {
			item.RetryAfter = grant.RetryAfter.String()
		}
		encoded.Grants = append(encoded.Grants, item)
	}
	for _, item := range answer.Attained {
		tokens := int64(math.Round(item.Tokens))
		encoded.Attained = append(encoded.Attained, limitsAttained{Workspace: item.Workspace, Tokens: tokens})
	}
	return encoded
}

func decodeAnswer(answer limitsAnswer) (limiter.Answer, error) {
	decoded := limiter.Answer{
		Refused:  answer.Refused,
		Epoch:    answer.Epoch,
		Session:  answer.Session,
		Standing: limiter.Standing(answer.Standing),
		Short:    answer.Short,
	}
	var err error
	if decoded.Stamp, err = time.ParseDuration(answer.Stamp); err != nil {
		return decoded, merry.Wrap(ErrUnreachable, merry.AppendMessagef("Stamp: %v", err))
	}
	switch decoded.Standing {
	case limiter.StandingNone, limiter.StandingKept, limiter.StandingHeld:
	default:
		return decoded, merry.Wrap(ErrUnreachable, merry.AppendMessagef("Standing: unknown value %q", answer.Standing))
	}
	for _, item := range answer.Grants {
		grant := limiter.Grant{Workspace: item.Workspace, Tokens: item.Tokens}
		if item.RetryAfter != "" {
			if grant.RetryAfter, err = time.ParseDuration(item.RetryAfter); err != nil {
				return decoded, merry.Wrap(ErrUnreachable, merry.AppendMessagef("RetryAfter: %v", err))
			}
		}
		decoded.Grants = append(decoded.Grants, grant)
	}
	for _, item := range answer.Attained {
		attained := limiter.AttainedService{Workspace: item.Workspace, Tokens: float64(item.Tokens)}
		decoded.Attained = append(decoded.Attained, attained)
	}
	return decoded, nil
}
