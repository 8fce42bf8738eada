/** Reports to the monitor of the links how requests to backend servers fare. */
import { Effect } from "effect";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IUpstream, IUpstreamRequest, IUpstreamResponse, UpstreamError } from "./opaque_request.ts";
import { UpstreamFault } from "./opaque_request.ts";
import type { ServerLinkMonitor } from "./server_link_monitor.ts";

export class ObservedUpstream implements IUpstream {
  readonly #direct: IUpstream;
  readonly #links: ServerLinkMonitor;

  constructor(direct: IUpstream, links: ServerLinkMonitor) {
    this.#direct = direct;
    this.#links = links;
  }

  get onDidAnnounceLeaving() {
    return this.#direct.onDidAnnounceLeaving;
  }

  get onDidStateLimit() {
    return this.#direct.onDidStateLimit;
  }

  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    const send = this.#links.observe(this.#direct.send(backend, req));
    return Effect.catchTag(send, "UpstreamError", (err) => {
      const isNotSent = err.fault === UpstreamFault.NotSent || err.fault === UpstreamFault.Refused;
      const check = isNotSent ? Effect.forkDetach(this.#links.checkAfterConnectFailure()) : Effect.void;
      return Effect.andThen(check, Effect.fail(err));
    });
  }
}
