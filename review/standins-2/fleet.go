package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Fleet is a small deployment: the store, replicas and nodes.
type Fleet struct {
	Store    *Store
	Replicas []*Replica
	Nodes    []*Node

	logs *os.File
	done chan struct{}
	// mu guards Nodes while the fleet starts.
	mu sync.Mutex
}

var errNotReady = errors.New("the nodes did not get ready")

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000; base < 29000; base += 40 {
		free := true
		for _, ip := range ips {
			for port := base; port < base+7 && free; port++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, internal: base + 4}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// NewFleet starts a store with a desired state, the replicas and a number of nodes in three
// zones, and waits until all nodes are ready. Stop ends everything.
func (p *Play) NewFleet(nodes int, replicas []*Replica, state any) (*Fleet, error) {
	f := &Fleet{done: make(chan struct{}), Replicas: replicas}
	p.setFleet(f)
	logs, err := os.Create(filepath.Join(p.Folder, "nodes.log"))
	if err != nil {
		return f, err
	}
	f.logs = logs
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.Store = NewStore(listener)
	f.Store.Write("config", "main", state)
	for i, replica := range replicas {
		replicaListener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 100+i))
		if err != nil {
			return f, err
		}
		replica.Start(replicaListener, p.Record)
		go replica.Beat(f.Store, f.done)
	}
	var ips []string
	for i := range nodes {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	numbers, err := freePorts(ips)
	if err != nil {
		return f, err
	}
	for i, ip := range ips {
		name := fmt.Sprintf("node-%d", i+1)
		node := &Node{
			Name: name, IP: ip, Zone: string(rune('a' + i%3)), Front: fmt.Sprintf("%s:%d", ip, numbers.front),
			settings: filepath.Join(p.Folder, name+".toml"), binary: p.Binary, log: logs, ports: numbers, store: listener.Addr().String(),
		}
		f.mu.Lock()
		f.Nodes = append(f.Nodes, node)
		f.mu.Unlock()
		if err := node.Start(true); err != nil {
			return f, err
		}
		p.Record.Printf("%s started at %s, zone %s", name, node.Front, node.Zone)
	}
	for range 100 {
		ready := 0
		for _, node := range f.Nodes {
			if node.Ready() {
				ready++
			}
		}
		if ready == nodes {
			return f, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return f, errNotReady
}

// Directories returns the addresses at which the nodes answer where to connect.
func (f *Fleet) Directories() []string {
	var addresses []string
	for _, node := range f.Nodes {
		addresses = append(addresses, fmt.Sprintf("%s:%d", node.IP, node.ports.directory))
	}
	return addresses
}

// Stop ends all processes and servers.
func (f *Fleet) Stop() {
	close(f.done)
	f.mu.Lock()
	nodes := slices.Clone(f.Nodes)
	f.mu.Unlock()
	for _, node := range nodes {
		node.Close()
	}
	for _, replica := range f.Replicas {
		if replica.server != nil {
			_ = replica.server.Close()
		}
	}
	if f.Store != nil {
		_ = f.Store.server.Close()
	}
	if f.logs != nil {
		f.logs.Close()
	}
}

// AwaitDirectory returns the addresses for requesters once all nodes are among them, nil if that
// takes too long.
func (f *Fleet) AwaitDirectory() []string {
	for range 100 {
		if addresses := resolve(f.Directories()); len(addresses) == len(f.Nodes) {
			return addresses
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
