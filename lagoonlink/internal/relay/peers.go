package relay

import (
	"context"
	"slices"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/rollout"
)

const (
	// maxPeers limits the VMs that are asked to serve one request.
	maxPeers = 3
	// noPeerRetryAfter is the retry delay if no VM reaches backend servers.
	noPeerRetryAfter = time.Second
)

// finalReasons are the reasons of refusals that other VMs would repeat.
var finalReasons = []rollout.Reason{rollout.ReasonUnknownTarget, rollout.ReasonBadRequest, rollout.ReasonSuspect, rollout.ReasonOriginUnknown}

// Isolated reports whether this VM reaches no backend server. It waits while that is decided.
func (r *Relay) Isolated(ctx context.Context) bool {
	return r.config.Peers != nil && r.config.Peers.Isolated(ctx)
}

// serveIsolated serves a request while this VM reaches no backend server: through another
// VM, unless it came from one.
func (s *servedRequest) serveIsolated(ctx context.Context) (rollout.ForwardedResponse, error) {
	last := error(rollout.Refuse(rollout.ReasonNoServer, "no backend server is reached").WithRetryAfter(noPeerRetryAfter))
	if s.request.FromPeer {
		return rollout.ForwardedResponse{}, s.refusal(last)
	}
	peers := s.relay.config.Peers.Peers(ctx, s.request.ID)
	peers = peers[:min(maxPeers, len(peers))]
	for i, peer := range peers {
		granted := s.grantAttempts(i+1 < len(peers))
		response, err := s.askPeer(ctx, peer, granted)
		if err == nil {
			return response, nil
		}
		last = err
		f := rollout.FailureOf(err)
		if f.Verdict != rollout.NotRun {
			s.verdict = rollout.MayHaveRun
			s.attemptsRun += granted
			if !s.mayRetry(ctx) {
				return rollout.ForwardedResponse{}, s.failure(ctx, err)
			}
			continue
		}
		s.refusals++
		if slices.Contains(finalReasons, f.Reason) || ctx.Err() != nil {
			break
		}
		if f.Reason == rollout.ReasonTooLarge {
			// The other VM has less memory than this one, which took the request.
			last = rollout.Refuse(rollout.ReasonOverloaded, "%s", f.Detail).WithRetryAfter(noPeerRetryAfter)
		}
	}
	return rollout.ForwardedResponse{}, s.refusal(last)
}

// grantAttempts returns how many servers another VM may run the request on. It leaves one
// attempt for a further VM, because all that were granted count as used if the VM is lost.
func (s *servedRequest) grantAttempts(another bool) int {
	if s.route.Kind != rollout.RouteIdempotent {
		return 1
	}
	left := s.maxAttempts(s.route) - s.attemptsRun
	if another {
		left--
	}
	return max(1, left)
}

// askPeer sends the request to another VM.
func (s *servedRequest) askPeer(ctx context.Context, peer rollout.PeerVM, attempts int) (rollout.ForwardedResponse, error) {
	attemptCtx, cancel := s.withAttemptTimeout(ctx)
	r := s.request
	r.MaxAttempts, r.Counted = attempts, s.began
	var version rollout.ConfigurationVersion
	if v := s.relay.config.InForce.Current(); v != nil && v.Routes != nil {
		version = v.Routes.Version()
	}
	start := time.Now()
	response, err := s.relay.config.Peers.Forward(attemptCtx, peer, r, version)
	s.relay.config.Metrics.Tagged(map[string]string{"route": s.route.Name}).Counter("requests_sent_to_peers").Inc(1)
	fields := event.Fields{"Request": s.request.ID, "Route": s.route.Name, "Peer": peer.Name, "Attempts": attempts, "Took": time.Since(start).Seconds(), "Outcome": "Served"}
	if err != nil {
		fields["Outcome"], fields["Error"] = rollout.VerdictOf(err).String(), err
	}
	s.relay.config.Logger.Write(event.PeerAsked, fields)
	if response.Stream != nil {
		response.Stream = &peerStream{ResponseStream: response.Stream, cancel: cancel}
		return response, nil
	}
	cancel()
	return response, err
}

// peerStream is a streamed response of another VM. Closing it before its end cancels the
// request there.
type peerStream struct {
	rollout.ResponseStream
	cancel context.CancelFunc
}

// Close closes the stream.
func (p *peerStream) Close() error {
	err := p.ResponseStream.Close()
	p.cancel()
	return err
}
