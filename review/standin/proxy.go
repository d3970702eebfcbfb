package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to the store.
type proxy struct {
	addr, target string

	mu    sync.Mutex
	links map[*link]bool
}

// link is a connection that the proxy forwards. A silent one passes nothing on.
type link struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(ip, target string) *proxy {
	ln, err := net.Listen("tcp", ip+":0")
	must(err)
	p := &proxy{addr: ln.Addr().String(), target: target, links: map[*link]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()

	return p
}

func (p *proxy) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	l := &link{}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		_, _ = io.Copy(l.writer(dst), src)
		done <- struct{}{}
	}
	go pump(to, from)
	go pump(from, to)
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// writer returns a writer that drops what is written while the link is silent.
func (l *link) writer(w io.Writer) io.Writer { return linkWriter{l, w} }

type linkWriter struct {
	*link
	w io.Writer
}

func (w linkWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent {
		return len(b), nil
	}

	return w.w.Write(b)
}

// silence makes the open connections silent for good, and returns their number. New
// ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}

	return len(p.links)
}
