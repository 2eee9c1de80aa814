package scenario

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/standin/link"
)

// addLink (link NAME TARGET) starts a link to an address or to a process.
func addLink(s *scene, args []string) (string, error) {
	if len(args) != 2 {
		return "", eris.New("usage: link NAME TARGET")
	}
	target, err := s.address(args[1])
	if err != nil {
		return "", err
	}
	r, err := link.New(s.ctx, target)
	if err != nil {
		return "", err
	}
	s.links[args[0]] = r
	s.setAddress(args[0], r.Address())
	return "", nil
}

func cut(s *scene, args []string) (string, error) {
	return "", s.setLink(args, link.State{IsCut: true})
}

func heal(s *scene, args []string) (string, error) {
	return "", s.setLink(args, link.State{})
}

func hang(s *scene, args []string) (string, error) {
	return "", s.setLink(args, link.State{IsSilent: true})
}

func slow(s *scene, args []string) (string, error) {
	if len(args) != 2 {
		return "", eris.New("usage: slow NAME MILLISECONDS")
	}
	ms, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	return "", s.setLink(args[:1], link.State{Delay: time.Duration(ms) * time.Millisecond})
}

func (s *scene) setLink(args []string, state link.State) error {
	if len(args) != 1 || s.links[args[0]] == nil {
		return eris.Errorf("one name of a link is needed, got %v", args)
	}
	s.links[args[0]].Set(state)
	return nil
}
