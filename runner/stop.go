package runner

import (
	"context"
	"errors"
	"fmt"
	"net"

	"carobthread/stopper"
	"carobthread/timer"
)

// errAborted is the cause when a graceful stop is aborted.
var errAborted = errors.New("aborted by a second signal")

// stop shuts the host down in this order: it reports that it is not ready and issues no new keys; during the balancer's
// grace period, it still accepts work that is likely to end before the stop limit; it refuses unused keys as not run; the
// servers finish the requests that they have accepted, each of which is answered before the stop limit; the attempts end.
func (host *Runner) stop(background context.Context, abort <-chan struct{}) error {
	ctx, cancel := context.WithTimeoutCause(background, host.settings.Stop.Limit, errors.New("stop limit reached"))
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	go func() {
		select {
		case <-abort:
			interrupt(errAborted)
		case <-ctx.Done():
		}
	}()
	host.stopping.Store(true)
	host.logger.Info().Dur("grace", host.settings.Stop.Grace).Msg("stopping; the host is no longer ready")
	host.control.Leave()
	answerBy := stopper.AnswerBy(host.timer.Now(), host.settings.Stop.Limit)
	host.search.Stop(answerBy)
	host.execution.Drain(answerBy)
	timer.Sleep(ctx, host.timer, host.settings.Stop.Grace)
	host.execution.Stop()
	host.connections.drain(ctx, host.listeners.caller)
	err := host.listeners.callerServer.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		err = nil // drain has closed the listener
	}
	err = errors.Join(err, host.search.Wait(ctx), host.execution.Wait(ctx))
	err = errors.Join(err, host.listeners.operatorServer.Shutdown(ctx))
	if err != nil {
		err = fmt.Errorf("graceful stop was cut short (%w) with %d queries in flight: %w", context.Cause(ctx), host.search.Pending(), err)
	}
	host.logger.Info().Err(err).Msg("stopped")
	return err
}
