package runner

import (
	"context"
	"errors"
	"fmt"

	"carobthread/timer"
)

// errAborted ends a graceful stop early.
var errAborted = errors.New("aborted by a second signal")

// stop ends the host in this order: it is not ready and hands out no new keys, the balancer gets its grace period in
// which work is still accepted, unused keys are refused as not run, the servers finish what they have accepted, and the attempts end.
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
	host.logger.Info().Dur("grace", host.settings.Stop.Grace).Msg("stopping, not ready")
	host.control.Leave()
	host.execution.Drain()
	timer.Pause(ctx, host.timer, host.settings.Stop.Grace)
	host.execution.Stop()
	err := host.listeners.callerServer.Shutdown(ctx)
	err = errors.Join(err, host.search.Wait(ctx), host.execution.Wait(ctx))
	err = errors.Join(err, host.listeners.operatorServer.Shutdown(ctx))
	if err != nil {
		err = fmt.Errorf("stop was cut short (%w), %d queries cut: %w", context.Cause(ctx), host.search.Pending(), err)
	}
	host.logger.Info().Err(err).Msg("stopped")
	return err
}
