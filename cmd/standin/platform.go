package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/server"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

type platformArguments struct {
	Listen             string        `arg:"--listen,env:STANDIN_LISTEN" default:"127.0.0.1:0" help:"IP:port to listen on"`
	Reads              float64       `arg:"--reads,env:STANDIN_READS" default:"2000" help:"maximum reads per second"`
	Writes             float64       `arg:"--writes,env:STANDIN_WRITES" default:"400" help:"maximum writes per second"`
	Latency            time.Duration `arg:"--latency,env:STANDIN_LATENCY" default:"2ms"`
	ListLag            time.Duration `arg:"--list-lag,env:STANDIN_LIST_LAG" default:"1s"`
	Transfers          float64       `arg:"--transfers,env:STANDIN_TRANSFERS" default:"3" help:"maximum transfers per second from the weight store"`
	TransferMB         float64       `arg:"--transfer-mb,env:STANDIN_TRANSFER_MB" default:"2000" help:"full speed of a transfer in MB/s"`
	FullSpeedTransfers int           `arg:"--at-full-speed,env:STANDIN_AT_FULL_SPEED" default:"4" help:"number of concurrent transfers up to which each runs at full speed"`
}

func (a *platformArguments) run(ctx context.Context) error {
	clock := clockwork.NewRealClock()
	platform, stop, err := emulator.NewPlatform(emulator.PlatformSettings{
		ReadsPerSecond:      a.Reads,
		WritesPerSecond:     a.Writes,
		Latency:             a.Latency,
		ListLag:             a.ListLag,
		TransfersPerSecond:  a.Transfers,
		TransferMBPerSecond: a.TransferMB,
		FullSpeedTransfers:  a.FullSpeedTransfers,
	}, clock)
	if err != nil {
		return err
	}
	defer stop()
	listener, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return merry.Wrap(err)
	}
	logrus.WithField("Address", listener.Addr().String()).Info("starting platform")
	return server.Serve(ctx, clock, listener, platform, time.Second)
}

type registerArguments struct {
	Platform    string `arg:"--platform,required,env:STANDIN_PLATFORM" help:"IP:port of the platform"`
	Name        string `arg:"--name,required"`
	Address     string `arg:"--address,required" help:"IP:port for callers"`
	PeerAddress string `arg:"--peer-address,required" help:"IP:port for other nodes"`
	DataCentre  string `arg:"--data-centre" default:"dc-1"`
	Region      string `arg:"--region" default:"region-1"`
}

func (a *registerArguments) run(ctx context.Context) error {
	body := encoder.Encode(tracker.Instance{
		Name:        a.Name,
		Kind:        tracker.Entry,
		Address:     a.Address,
		PeerAddress: a.PeerAddress,
		DataCentre:  a.DataCentre,
		Region:      a.Region,
		Phase:       tracker.Live,
	})
	return put(ctx, "http://"+a.Platform+"/instances/"+a.Name, body)
}

type faultsArguments struct {
	Address string `arg:"positional,required" help:"IP:port of the stand-in"`
	Faults  string `arg:"positional,required" help:"faults as a JSON object; {} ends all faults"`
}

func (a *faultsArguments) run(ctx context.Context) error {
	return put(ctx, "http://"+a.Address+"/faults", []byte(a.Faults))
}

type copyArguments struct {
	Address string `arg:"positional,required" help:"IP:port of the platform"`
}

func (a *copyArguments) run(ctx context.Context) error {
	return put(ctx, "http://"+a.Address+"/copy", nil)
}

type restoreArguments struct {
	Address string `arg:"positional,required" help:"IP:port of the platform"`
}

func (a *restoreArguments) run(ctx context.Context) error {
	return put(ctx, "http://"+a.Address+"/restoration", nil)
}

func put(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("%s: %s: %s", url, response.Status, detail)
	}
	return nil
}
