/** Sends requests to backend servers for other instances, which do not reach them. */
import { Effect } from "effect";
import type { BackendDirectory } from "../../services/backends/common/backend_directory.ts";
import type { IDrainAdmission } from "./drain_admission.ts";
import type { ForwardingUpstream } from "./forwarding_upstream.ts";
import type { ForwardResult, IForwardedSend } from "./forwarding.ts";
import { ForwardRefusal, ForwardRefusedError } from "./forwarding.ts";
import { isNotSent, UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { IPermitClient } from "./permit_client.ts";
import type { ServerLinkMonitor } from "./server_link_monitor.ts";

export interface IForwardServiceOptions {
  readonly upstream: ForwardingUpstream;
  readonly links: ServerLinkMonitor;
  readonly directory: BackendDirectory;
  readonly permits: IPermitClient;
  /** Undefined if this instance never stops gracefully. */
  readonly drain?: IDrainAdmission;
}

export class ForwardService {
  readonly #opts: IForwardServiceOptions;
  #isStopping = false;
  #active = 0;

  constructor(opts: IForwardServiceOptions) {
    this.#opts = opts;
  }

  /** Number of requests that are being forwarded, until their responses have been passed on. */
  get activeCount(): number {
    return this.#active;
  }

  /** Accepts no more requests. Those in progress continue. */
  stopAccepting(): void {
    this.#isStopping = true;
  }

  /** Counts a forwarded request as active until it has ended. */
  track<A, E>(forwarding: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      this.#active += 1;
      return Effect.ensuring(
        forwarding,
        Effect.sync(() => {
          this.#active -= 1;
        }),
      );
    });
  }

  /**
   * Sends a request from this instance, never through a third one. What this instance knows of the server holds as
   * for its own requests: it may have left, or have stated a limit that the sender does not know yet.
   */
  send({ backend, req, hasPermit }: IForwardedSend): ForwardResult {
    return Effect.gen({ self: this }, function* () {
      const { upstream, links, directory, permits, drain } = this.#opts;
      const isTooLate = req.deadlineAtMs !== undefined && drain?.endsInTime(req.deadlineAtMs) === false;
      if (this.#isStopping || isTooLate) {
        return yield* Effect.fail(new ForwardRefusedError(ForwardRefusal.Stopping));
      }
      if (links.isCutOff) return yield* Effect.fail(new ForwardRefusedError(ForwardRefusal.CutOff));
      const isPermitted = hasPermit || (yield* permits.acquire(backend, 0)).isGranted;
      if (!isPermitted || !directory.isAvailable(backend)) {
        return yield* Effect.fail(new UpstreamError(UpstreamFault.NotSent));
      }
      return yield* Effect.catchTag(
        upstream.sendDirect(backend, req),
        "UpstreamError",
        (err) =>
          Effect.flatMap(
            isNotSent(err) ? links.checkAfterConnectFailure() : Effect.succeed(false),
            (isCutOff) => Effect.fail(isCutOff ? new ForwardRefusedError(ForwardRefusal.CutOff, err) : err),
          ),
      );
    });
  }
}
